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
 * Tracks which rack permits one incarnation of the controller has granted to which relay, and which
 * relays still hold a permit into a window. The grants are not stored on disk: the permits of an
 * earlier incarnation expire within one notice, and until then no window counts as free of permits.
 * Not thread-safe.
 *
 * <p>Relays' requests are the most frequent calls, so recording a request does not iterate over the
 * relays. Grants are kept in the order of their requests, and expired grants are removed from the
 * front. Grants are also grouped by sequence number, and a group is examined from the latest
 * request backwards. There are about as many groups as there were transitions within one notice.
 */
public final class PlacementGrants {
  /**
   * A relay's last request.
   *
   * @param sequence the highest sequence number of permits that the relay has reported as held
   */
  private record Grant(int relay, long sequence, long grantedMs) {}

  private static final Comparator<Grant> BY_TIME =
      Comparator.comparingLong(Grant::grantedMs).thenComparingInt(Grant::relay);

  /**
   * Grants by relay, in the order of the requests. A relay is removed once all its permits have
   * expired.
   */
  private final LinkedHashMap<Integer, Grant> grants = new LinkedHashMap<>();

  /** The same grants by sequence number. */
  private final TreeMap<Long, TreeSet<Grant>> bySequence = new TreeMap<>();

  private final MaintenanceWindows windows;
  private final long startedMs;
  private long entriesExamined;

  /** {@code startedMs} is when this incarnation began to grant permits. */
  public PlacementGrants(MaintenanceWindows windows, long startedMs) {
    this.windows = windows;
    this.startedMs = startedMs;
  }

  /**
   * Records that a relay requests, and is granted, new permits.
   *
   * @param heldSequence the sequence number of the permits that the relay holds; 0 if it holds
   *     none. The relay no longer uses permits with lower sequence numbers
   * @param nowMs the wall-clock time in milliseconds; it never goes back
   */
  public void recordRequest(int relay, long heldSequence, long nowMs) {
    Grant previous = grants.remove(relay);
    if (previous != null) {
      removeFromSequence(previous);
    }
    // A request that arrives late must not lower the recorded sequence number. The sequence number
    // of the answer is not recorded, because the answer may be lost.
    Grant current =
        new Grant(
            relay,
            previous == null ? heldSequence : Math.max(heldSequence, previous.sequence),
            nowMs);
    grants.put(relay, current);
    bySequence.computeIfAbsent(current.sequence, sequence -> new TreeSet<>(BY_TIME)).add(current);
    for (Iterator<Grant> oldest = grants.values().iterator(); oldest.hasNext(); ) {
      entriesExamined++;
      Grant grant = oldest.next();
      if (nowMs - grant.grantedMs <= windows.index().longestNoticeMs()) {
        break;
      }
      oldest.remove();
      removeFromSequence(grant);
    }
  }

  private void removeFromSequence(Grant grant) {
    TreeSet<Grant> sameSequence = bySequence.get(grant.sequence);
    sameSequence.remove(grant);
    if (sameSequence.isEmpty()) {
      bySequence.remove(grant.sequence);
    }
  }

  /**
   * Returns for how many milliseconds from now a relay may place work on a rack; 0 if the rack is
   * in a window that is draining or in force.
   */
  public long permitDurationMs(String rack, long nowMs) {
    return windows.index().freeForMs(rack, nowMs);
  }

  /**
   * Returns the racks whose permit is shorter than their notice, with its length in milliseconds.
   * The permits of all other racks last for their notice.
   */
  public Map<String, Long> shortenedPermits(long nowMs) {
    return windows.index().freeForLessThanNotice(nowMs);
  }

  /**
   * Returns the numbers of the relays that may still hold a permit into a window. The number -1
   * stands for unknown relays, whose permits an earlier incarnation may have granted.
   */
  public Set<Integer> outstandingRelays(MaintenanceWindow window, long nowMs) {
    Set<Integer> relays = new TreeSet<>();
    if (nowMs >= window.permitExpiryMs()) {
      return relays;
    }
    if (nowMs < startedMs + window.noticeMs()) {
      relays.add(-1);
    }
    for (TreeSet<Grant> sameSequence : bySequence.headMap(window.bindingSequence()).values()) {
      for (Grant grant : sameSequence.descendingSet()) {
        entriesExamined++;
        if (nowMs >= grant.grantedMs + window.noticeMs()) {
          break;
        }
        relays.add(grant.relay);
      }
    }
    return relays;
  }

  /**
   * Returns whether {@link #outstandingRelays} is empty. Examines only the latest grant of each
   * sequence number.
   */
  private boolean allPermitsReturned(MaintenanceWindow window, long nowMs) {
    if (nowMs >= window.permitExpiryMs()) {
      return true;
    }
    if (nowMs < startedMs + window.noticeMs()) {
      return false;
    }
    for (Map.Entry<Long, TreeSet<Grant>> sameSequence :
        bySequence.headMap(window.bindingSequence()).entrySet()) {
      entriesExamined++;
      if (nowMs < sameSequence.getValue().last().grantedMs + window.noticeMs()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the draining windows into which no relay holds a permit any more, for {@link
   * MaintenanceWindows#permitsReturned}.
   */
  public List<Long> windowsWithPermitsReturned(long nowMs) {
    List<Long> numbers = new ArrayList<>();
    for (MaintenanceWindow window : windows.index().draining()) {
      entriesExamined++;
      if (allPermitsReturned(window, nowMs)) {
        numbers.add(window.number);
      }
    }
    return numbers;
  }

  /** Returns how many entries were examined so far; for the scale tests. */
  public long entriesExamined() {
    return entriesExamined;
  }
}
