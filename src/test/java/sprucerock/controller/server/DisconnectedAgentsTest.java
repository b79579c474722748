package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Tests which agents are overdue, and that a query examines only the overdue agents. */
public class DisconnectedAgentsTest {
  private static final TimeSpan TIMEOUT = TimeSpan.ofMs(5000);

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  @Test
  public void longestSilentAgentComesFirstUntilRemoved() {
    DisconnectedAgents agents = new DisconnectedAgents();
    agents.add(1, at(2000));
    // agent 2 disconnects after agent 1, but its last message is older
    agents.add(2, at(1000));
    agents.add(3, at(3000));
    assertEquals(agents.silentLongerThan(TIMEOUT, at(6000)), List.of());
    assertEquals(agents.silentLongerThan(TIMEOUT, at(7001)), List.of(2, 1));
    // overdue agents stay listed until they are removed
    assertEquals(agents.silentLongerThan(TIMEOUT, at(7002)), List.of(2, 1));
    agents.remove(2);
    assertEquals(agents.silentLongerThan(TIMEOUT, at(9000)), List.of(1, 3));
    // agent 1 had connected again in between
    agents.add(1, at(9000));
    assertEquals(agents.silentLongerThan(TIMEOUT, at(9001)), List.of(3));
    agents.remove(7);
  }

  @Test
  public void queryExaminesOnlyOverdueAgents() {
    for (int count : new int[] {100, 400, 1600}) {
      DisconnectedAgents agents = new DisconnectedAgents();
      for (int i = 0; i < count; i++) {
        agents.add(i, at(i < 3 ? 0 : 4000));
      }
      for (int i = 0; i < count; i++) {
        if (i % 2 == 1 && i > 3) {
          agents.remove(i);
        }
      }
      long before = agents.entriesExamined();
      assertEquals(agents.silentLongerThan(TIMEOUT, at(5500)).size(), 3);
      System.out.println(
          "counted: a look for silent agents, 3 of them: at "
              + count
              + " "
              + (agents.entriesExamined() - before));
      assertTrue(agents.entriesExamined() - before <= 4);
    }
  }
}
