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
  private record One(int relay, Timestamp heard) {}

  private final Map<Integer, One> known = new HashMap<>();
  private final TreeSet<One> line =
      new TreeSet<>(
          Comparator.<One>comparingDouble(one -> one.heard.ms()).thenComparingInt(One::relay));
  private long looked;

  /** Its link is gone; {@code heard}: when it said something last. */
  void left(int relay, Timestamp heard) {
    back(relay);
    One one = new One(relay, heard);
    known.put(relay, one);
    line.add(one);
  }

  /** It is linked, or its absence is noted and needs no more looks. */
  void back(int relay) {
    One before = known.remove(relay);
    if (before != null) {
      line.remove(before);
    }
  }

  /** Who was not heard for longer; they stay until {@link #back}. */
  List<Integer> longer(TimeSpan than, Timestamp now) {
    List<Integer> found = new ArrayList<>();
    for (One one : line) {
      looked++;
      if (!now.since(one.heard).over(than)) {
        break;
      }
      found.add(one.relay);
    }
    return found;
  }

  /** Entries looked at so far: what tests of its growth count. */
  long looked() {
    return looked;
  }
}
