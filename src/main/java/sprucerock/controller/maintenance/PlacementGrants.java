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
 * What one incarnation of the controller has granted to which relay, and which relays still hold a
 * grant into a window. Not kept on disk: what a former incarnation granted expires within a notice,
 * and until then nobody is said to have given everything back. Not thread-safe.
 *
 * <p>A request is what comes most often, so it looks at no other relay: grants stand in the order
 * of their requests, from whose front those go that have expired, and those of one sequence stand
 * together, the last one to ask first. There are as many sequences as there were steps within a
 * notice.
 */
public final class PlacementGrants {
  private record Grant(int relay, long sequence, long grantedMs) {}

  private static final Comparator<Grant> BY_TIME =
      Comparator.comparingLong(Grant::grantedMs).thenComparingInt(Grant::relay);

  /**
   * In the order of their requests. A relay is forgotten once all that it was granted has expired.
   */
  private final LinkedHashMap<Integer, Grant> grants = new LinkedHashMap<>();

  private final TreeMap<Long, TreeSet<Grant>> bySequence = new TreeMap<>();
  private final MaintenanceWindows windows;
  private final long startedMs;
  private long entriesExamined;

  /** {@code nowMs}: when this incarnation began to grant. */
  public PlacementGrants(MaintenanceWindows windows, long nowMs) {
    this.windows = windows;
    startedMs = nowMs;
  }

  /**
   * A relay asks, and is granted anew: what it holds is of that sequence, or of none (0), and of no
   * earlier one. {@code nowMs} never goes back.
   */
  public void recordRequest(int relay, long heldSequence, long nowMs) {
    Grant before = grants.remove(relay);
    if (before != null) {
      removeFromSequence(before);
    }
    // a request that was long on its way does not take back what a later one said; what it will be
    // told now, it may never hear
    Grant now =
        new Grant(
            relay, before == null ? heldSequence : Math.max(heldSequence, before.sequence), nowMs);
    grants.put(relay, now);
    bySequence.computeIfAbsent(now.sequence, any -> new TreeSet<>(BY_TIME)).add(now);
    for (Iterator<Grant> oldest = grants.values().iterator(); oldest.hasNext(); ) {
      entriesExamined++;
      Grant one = oldest.next();
      if (nowMs - one.grantedMs <= windows.index().longestNoticeMs()) {
        break;
      }
      oldest.remove();
      removeFromSequence(one);
    }
  }

  private void removeFromSequence(Grant one) {
    TreeSet<Grant> same = bySequence.get(one.sequence);
    same.remove(one);
    if (same.isEmpty()) {
      bySequence.remove(one.sequence);
    }
  }

  /**
   * For how long from now on a relay may place work on a rack, in milliseconds; 0: it is in a
   * window, or draining for one.
   */
  public long permitDurationMs(String rack, long nowMs) {
    return windows.index().freeForMs(rack, nowMs);
  }

  /**
   * The racks that are granted for less than their notice, by their names, in milliseconds; all
   * others are for just that.
   */
  public Map<String, Long> shortenedPermits(long nowMs) {
    return windows.index().freeForLessThanNotice(nowMs);
  }

  /**
   * Relays that may still hold a grant into it, by their numbers; -1: such as are not known,
   * because this incarnation began since.
   */
  public Set<Integer> outstandingRelays(MaintenanceWindow window, long nowMs) {
    Set<Integer> out = new TreeSet<>();
    if (nowMs >= window.permitExpiryMs()) {
      return out;
    }
    if (nowMs < startedMs + window.noticeMs()) {
      out.add(-1);
    }
    for (TreeSet<Grant> same : bySequence.headMap(window.bindingSequence()).values()) {
      for (Grant one : same.descendingSet()) {
        entriesExamined++;
        if (nowMs >= one.grantedMs + window.noticeMs()) {
          break;
        }
        out.add(one.relay);
      }
    }
    return out;
  }

  /** The same as whether {@link #outstandingRelays} finds none, by the last of each state. */
  private boolean allPermitsReturned(MaintenanceWindow window, long nowMs) {
    if (nowMs >= window.permitExpiryMs()) {
      return true;
    }
    if (nowMs < startedMs + window.noticeMs()) {
      return false;
    }
    for (Map.Entry<Long, TreeSet<Grant>> same :
        bySequence.headMap(window.bindingSequence()).entrySet()) {
      entriesExamined++;
      if (nowMs < same.getValue().last().grantedMs + window.noticeMs()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Windows whose time has come and into which nobody holds a grant any more: to be recorded as
   * {@link MaintenanceWindows#permitsReturned}.
   */
  public List<Long> windowsWithPermitsReturned(long nowMs) {
    List<Long> found = new ArrayList<>();
    for (MaintenanceWindow one : windows.index().draining()) {
      entriesExamined++;
      if (allPermitsReturned(one, nowMs)) {
        found.add(one.number);
      }
    }
    return found;
  }

  /** Entries that were examined so far: what tests of its growth count. */
  public long entriesExamined() {
    return entriesExamined;
  }
}
