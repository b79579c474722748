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
 * Agents without a connection, ordered by when they were last heard, so that those overdue are
 * found at the front, whatever the number of agents. Bounded by the number of agents that were ever
 * connected, each of which is known to the engine. On the loop only.
 */
final class DisconnectedAgents {
  private record Absence(int relay, Timestamp lastMessageTime) {}

  private final Map<Integer, Absence> byRelay = new HashMap<>();
  private final TreeSet<Absence> byLastMessageTime =
      new TreeSet<>(
          Comparator.<Absence>comparingDouble(absence -> absence.lastMessageTime.ms())
              .thenComparingInt(Absence::relay));
  private long entriesExamined;

  /** An agent's connection is gone; {@code lastHeard}: when its last message came. */
  void disconnected(int relay, Timestamp lastHeard) {
    remove(relay);
    Absence absence = new Absence(relay, lastHeard);
    byRelay.put(relay, absence);
    byLastMessageTime.add(absence);
  }

  /** An agent is connected again, or its absence is recorded. */
  void remove(int relay) {
    Absence before = byRelay.remove(relay);
    if (before != null) {
      byLastMessageTime.remove(before);
    }
  }

  /**
   * Relays whose agents were not heard for longer than a time, the longest first; they stay until
   * {@link #remove}.
   */
  List<Integer> silentLongerThan(TimeSpan timeout, Timestamp now) {
    List<Integer> overdue = new ArrayList<>();
    for (Absence absence : byLastMessageTime) {
      entriesExamined++;
      if (!now.since(absence.lastMessageTime).over(timeout)) {
        break;
      }
      overdue.add(absence.relay);
    }
    return overdue;
  }

  /** Entries examined so far, by which tests count the cost. */
  long entriesExamined() {
    return entriesExamined;
  }
}
