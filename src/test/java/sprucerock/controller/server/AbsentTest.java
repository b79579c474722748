package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Which agents are away for too long, and that finding them costs those alone. */
public class AbsentTest {
  private static final TimeSpan LONG = TimeSpan.ofMs(5000);

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  @Test
  public void whoWasHeardLongestAgoComesFirstAndStaysUntilItIsBack() {
    DisconnectedAgents absent = new DisconnectedAgents();
    absent.left(1, at(2000));
    absent.left(2, at(1000)); // its link broke later, but it had said nothing for longer
    absent.left(3, at(3000));
    assertEquals(absent.longer(LONG, at(6000)), List.of());
    assertEquals(absent.longer(LONG, at(7001)), List.of(2, 1));
    assertEquals(absent.longer(LONG, at(7002)), List.of(2, 1)); // nobody noted it
    absent.back(2);
    assertEquals(absent.longer(LONG, at(9000)), List.of(1, 3));
    absent.left(1, at(9000)); // was here again
    assertEquals(absent.longer(LONG, at(9001)), List.of(3));
    absent.back(7);
  }

  @Test
  public void aLookCostsThoseWhoAreAwayForTooLong() {
    for (int agents : new int[] {100, 400, 1600}) {
      DisconnectedAgents absent = new DisconnectedAgents();
      for (int i = 0; i < agents; i++) {
        absent.left(i, at(i < 3 ? 0 : 4000));
      }
      for (int i = 0; i < agents; i++) {
        if (i % 2 == 1 && i > 3) {
          absent.back(i);
        }
      }
      long before = absent.looked();
      assertEquals(absent.longer(LONG, at(5500)).size(), 3);
      System.out.println(
          "counted: a look for silent agents, 3 of them: at "
              + agents
              + " "
              + (absent.looked() - before));
      assertTrue(absent.looked() - before <= 4);
    }
  }
}
