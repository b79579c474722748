package sprucerock.transport.net.nio;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import sprucerock.transport.net.Timers.Timer;

/** The timer wheel compared with a plain heap. */
public class TimerWheelTest {
  private record Due(double when, int id) {}

  /** Guards against a loop that wakes for cancelled timers: a relay cancels nearly all of them. */
  @Test
  public void cancelledTimersDoNotWakeTheLoop() {
    TimerWheel wheel = new TimerWheel();
    Timer cancelled = wheel.add(10, () -> {});
    Timer live = wheel.add(20, () -> {});
    wheel.add(20, () -> {}).cancel();
    cancelled.cancel();
    cancelled.cancel();
    assertEquals(wheel.nextDueMs(), 20.0);
    live.cancel();
    assertEquals(wheel.nextDueMs(), Double.POSITIVE_INFINITY);
    int[] ran = {0};
    wheel.add(20, () -> ran[0]++);
    wheel.run(30, Runnable::run);
    assertEquals(ran[0], 1);
  }

  @Test
  public void runsTimersInTheOrderOfAHeapNeverEarlyAndAtMostOneSlotLate() {
    for (int seed = 0; seed < 30; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      TimerWheel wheel = new TimerWheel();
      PriorityQueue<Due> heap =
          new PriorityQueue<>(
              (a, b) -> a.when != b.when ? Double.compare(a.when, b.when) : a.id - b.id);
      List<Due> ran = new ArrayList<>();
      double now = 0;
      for (int i = 0; i < 3000; i++) {
        double ahead =
            switch (random.nextInt(4)) {
              case 0 -> 0;
              case 1 -> random.nextInt(4) * 0.25;
              case 2 -> random.nextDouble() * 500;
              default -> random.nextDouble() * 30_000;
            };
        Due due = new Due(now + ahead, i);
        var timer = wheel.add(due.when, () -> ran.add(due));
        if (random.nextInt(5) == 0) {
          timer.cancel();
        } else {
          heap.add(due);
        }
        if (random.nextInt(3) > 0) {
          continue;
        }
        assertTrue(
            heap.isEmpty() || wheel.nextDueMs() <= heap.peek().when + 0.125,
            "sleeps past what is due");
        now += random.nextInt(10) == 0 ? random.nextDouble() * 20_000 : random.nextDouble() * 20;
        int before = ran.size();
        wheel.run(now, Runnable::run);
        for (Due one : ran.subList(before, ran.size())) {
          assertTrue(one.when <= now, "early");
        }
        while (!heap.isEmpty() && heap.peek().when <= now - 0.125) {
          heap.poll();
        }
        for (Due left : heap) {
          assertTrue(!ran.contains(left) || left.when > now - 0.126);
        }
        heap.removeAll(ran.subList(before, ran.size()));
        List<Due> sorted = new ArrayList<>(ran.subList(before, ran.size()));
        sorted.sort((a, b) -> a.when != b.when ? Double.compare(a.when, b.when) : a.id - b.id);
        assertEquals(ran.subList(before, ran.size()), sorted);
      }
      wheel.run(now + 100_000, Runnable::run);
      heap.removeAll(ran);
      assertTrue(heap.isEmpty(), "never ran: " + heap);
    }
  }
}
