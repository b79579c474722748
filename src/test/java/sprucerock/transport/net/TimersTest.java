package sprucerock.transport.net;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Timeouts for peers, set by a loop that may stall itself. */
public class TimersTest {
  /**
   * Guards against a relay that stalls at its cold start and takes all connections being made for
   * failed.
   */
  @Test
  public void timeoutStartsAnewIfTheLoopStalled() {
    SimulatedNet net = new SimulatedNet(0, 1);
    int[] ran = {0};
    net.stallTolerantTimeout(TimeSpan.ofMs(100), () -> ran[0]++);
    net.stall(150);
    net.settle();
    assertEquals(ran[0], 0);
    net.pass(99);
    assertEquals(ran[0], 0);
    net.pass(2);
    assertEquals(ran[0], 1);
  }

  @Test
  public void timeoutFiresOnceIfTheLoopRuns() {
    SimulatedNet net = new SimulatedNet(0, 1);
    int[] ran = {0};
    net.stallTolerantTimeout(TimeSpan.ofMs(100), () -> ran[0]++);
    net.pass(101);
    assertEquals(ran[0], 1);
    Timers.Timer cancelled = net.stallTolerantTimeout(TimeSpan.ofMs(100), () -> ran[0]++);
    net.stall(150);
    net.settle();
    cancelled.cancel();
    net.pass(300);
    assertEquals(ran[0], 1);
  }
}
