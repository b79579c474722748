package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one controller's life has promised to which relay, and which relays still hold a promise
 * into a freeze. Not kept on disk: what a former life promised runs out within a notice, and until
 * then nobody is said to have given everything back.
 *
 * <p>An ask is what comes most often, so it looks at no other relay: who asked last stands last in
 * one line, from whose front those go whose promises have run out, and those of one state stand
 * together, the last one to ask first. There are as many states as there were steps within a
 * notice.
 */
public final class PlacementGrants {
  private record Held(int relay, long sequence, long since) {}

  private static final Comparator<Held> BY_TIME =
      Comparator.comparingLong(Held::since).thenComparingInt(Held::relay);

  /** In the order of their asks. A relay is forgotten once all that it was promised has run out. */
  private final LinkedHashMap<Integer, Held> held = new LinkedHashMap<>();

  private final TreeMap<Long, TreeSet<Held>> byState = new TreeMap<>();
  private final MaintenanceWindows windows;
  private final long startedMs;
  private long entriesExamined;

  /** {@code nowMs}: when this life began to promise. */
  public PlacementGrants(MaintenanceWindows freezes, long nowMs) {
    this.windows = freezes;
    startedMs = nowMs;
  }

  /**
   * A relay asks, and is promised anew: what it holds is of that state, or of none (0), and of no
   * earlier one. {@code nowMs} never goes back.
   */
  public void request(int relay, long holds, long nowMs) {
    Held before = held.remove(relay);
    if (before != null) {
      leave(before);
    }
    // an ask that was long on its way does not take back what a later one said; what it will be
    // told now, it may never hear
    Held now = new Held(relay, before == null ? holds : Math.max(holds, before.sequence), nowMs);
    held.put(relay, now);
    byState.computeIfAbsent(now.sequence, any -> new TreeSet<>(BY_TIME)).add(now);
    for (Iterator<Held> oldest = held.values().iterator(); oldest.hasNext(); ) {
      entriesExamined++;
      Held one = oldest.next();
      if (nowMs - one.since <= windows.longestMs()) {
        break;
      }
      oldest.remove();
      leave(one);
    }
  }

  private void leave(Held one) {
    TreeSet<Held> same = byState.get(one.sequence);
    same.remove(one);
    if (same.isEmpty()) {
      byState.remove(one.sequence);
    }
  }

  /**
   * For how long from now on nothing will be frozen on a rack, in milliseconds; 0: it is frozen or
   * draining.
   */
  public long grantedForMs(String rack, long nowMs) {
    return windows.freeForMs(rack, nowMs);
  }

  /**
   * The racks that are promised for less than their notice, by their names, in milliseconds: all
   * others are for just that.
   */
  public Map<String, Long> shortened(long nowMs) {
    return windows.freeForLessThanNotice(nowMs);
  }

  /**
   * Relays that may still hold a promise into it, by their numbers; -1: such as are not known,
   * because this life began since.
   */
  public Set<Integer> outstanding(MaintenanceWindow freeze, long nowMs) {
    Set<Integer> out = new TreeSet<>();
    if (nowMs >= windows.grantsEndMs(freeze)) {
      return out;
    }
    if (nowMs < startedMs + windows.noticeMs(freeze)) {
      out.add(-1);
    }
    for (TreeSet<Held> same : byState.headMap(freeze.boundBy).values()) {
      for (Held one : same.descendingSet()) {
        entriesExamined++;
        if (nowMs >= one.since + windows.noticeMs(freeze)) {
          break;
        }
        out.add(one.relay);
      }
    }
    return out;
  }

  /** The same as whether {@link #out} finds none, by the last of each state. */
  private boolean nobodyOut(MaintenanceWindow freeze, long nowMs) {
    if (nowMs >= windows.grantsEndMs(freeze)) {
      return true;
    }
    if (nowMs < startedMs + windows.noticeMs(freeze)) {
      return false;
    }
    for (Map.Entry<Long, TreeSet<Held>> same : byState.headMap(freeze.boundBy).entrySet()) {
      entriesExamined++;
      if (nowMs < same.getValue().last().since + windows.noticeMs(freeze)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Freezes whose time has come and into which nobody holds a promise any more: to be recorded as
   * {@link MaintenanceWindows#cleared}.
   */
  public List<Long> returned(long nowMs) {
    List<Long> found = new ArrayList<>();
    for (MaintenanceWindow one : windows.draining()) {
      entriesExamined++;
      if (nobodyOut(one, nowMs)) {
        found.add(one.number);
      }
    }
    return found;
  }

  /** Entries that were looked at so far: what tests of its growth count. */
  public long entriesExamined() {
    return entriesExamined;
  }
}
