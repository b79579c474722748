package sprucerock.controller.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Agents that are not linked, those first that were heard longest ago: who has been away for too
 * long is found at the front, whatever the number of agents. As large as the number of agents that
 * were ever linked, each of which is known to the changes.
 */
final class DisconnectedAgents {
  private record Absence(int relay, Timestamp heard) {}

  private final Map<Integer, Absence> byRelay = new HashMap<>();
  private final TreeSet<Absence> byLastHeard =
      new TreeSet<>(
          Comparator.<Absence>comparingDouble(one -> one.heard.ms())
              .thenComparingInt(Absence::relay));
  private long entriesExamined;

  /** Its link is gone; {@code heard}: when it said something last. */
  void disconnected(int relay, Timestamp heard) {
    remove(relay);
    Absence one = new Absence(relay, heard);
    byRelay.put(relay, one);
    byLastHeard.add(one);
  }

  /** It is linked, or its absence is noted and needs no more looks. */
  void remove(int relay) {
    Absence before = byRelay.remove(relay);
    if (before != null) {
      byLastHeard.remove(before);
    }
  }

  /** Who was not heard for longer; they stay until {@link #back}. */
  List<Integer> unheardLongerThan(TimeSpan than, Timestamp now) {
    List<Integer> found = new ArrayList<>();
    for (Absence one : byLastHeard) {
      entriesExamined++;
      if (!now.since(one.heard).over(than)) {
        break;
      }
      found.add(one.relay);
    }
    return found;
  }

  /** Entries looked at so far: what tests of its growth count. */
  long entriesExamined() {
    return entriesExamined;
  }
}
