package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Which agents are away for too long, and that finding them costs those alone. */
public class DisconnectedAgentsTest {
  private static final TimeSpan TIMEOUT = TimeSpan.ofMs(5000);

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  @Test
  public void longestUnheardAgentComesFirstUntilRemoved() {
    DisconnectedAgents absent = new DisconnectedAgents();
    absent.disconnected(1, at(2000));
    absent.disconnected(2, at(1000)); // its link broke later, but it had said nothing for longer
    absent.disconnected(3, at(3000));
    assertEquals(absent.unheardLongerThan(TIMEOUT, at(6000)), List.of());
    assertEquals(absent.unheardLongerThan(TIMEOUT, at(7001)), List.of(2, 1));
    assertEquals(absent.unheardLongerThan(TIMEOUT, at(7002)), List.of(2, 1)); // nobody noted it
    absent.remove(2);
    assertEquals(absent.unheardLongerThan(TIMEOUT, at(9000)), List.of(1, 3));
    absent.disconnected(1, at(9000)); // was here again
    assertEquals(absent.unheardLongerThan(TIMEOUT, at(9001)), List.of(3));
    absent.remove(7);
  }

  @Test
  public void queryExaminesOnlyOverdueAgents() {
    for (int agents : new int[] {100, 400, 1600}) {
      DisconnectedAgents absent = new DisconnectedAgents();
      for (int i = 0; i < agents; i++) {
        absent.disconnected(i, at(i < 3 ? 0 : 4000));
      }
      for (int i = 0; i < agents; i++) {
        if (i % 2 == 1 && i > 3) {
          absent.remove(i);
        }
      }
      long before = absent.entriesExamined();
      assertEquals(absent.unheardLongerThan(TIMEOUT, at(5500)).size(), 3);
      System.out.println(
          "counted: a look for silent agents, 3 of them: at "
              + agents
              + " "
              + (absent.entriesExamined() - before));
      assertTrue(absent.entriesExamined() - before <= 4);
    }
  }
}
