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
 * Agents without a connection, ordered by the time of their last message, so that overdue agents
 * are found at the front, whatever the number of agents. Bounded by the number of agents that were
 * ever connected, each of which the engine has recorded. On the loop only.
 */
final class DisconnectedAgents {
  private record Absence(int relay, Timestamp lastMessageTime) {}

  private final Map<Integer, Absence> byRelay = new HashMap<>();
  private final TreeSet<Absence> byLastMessageTime =
      new TreeSet<>(
          Comparator.<Absence>comparingDouble(absence -> absence.lastMessageTime.ms())
              .thenComparingInt(Absence::relay));
  private long entriesExamined;

  /** Records that an agent has lost its connection, and when its last message arrived. */
  void add(int relay, Timestamp lastMessageTime) {
    remove(relay);
    Absence absence = new Absence(relay, lastMessageTime);
    byRelay.put(relay, absence);
    byLastMessageTime.add(absence);
  }

  /** Removes an agent that is connected again, or whose absence the engine has recorded. */
  void remove(int relay) {
    Absence removed = byRelay.remove(relay);
    if (removed != null) {
      byLastMessageTime.remove(removed);
    }
  }

  /**
   * Relays whose agents have sent nothing for longer than a timeout, the longest silence first.
   * They stay listed until {@link #remove}.
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

  /** Number of entries examined so far; tests measure the cost of queries by it. */
  long entriesExamined() {
    return entriesExamined;
  }
}
