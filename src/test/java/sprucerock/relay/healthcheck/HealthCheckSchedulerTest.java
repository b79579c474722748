package sprucerock.relay.healthcheck;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Whose turn it is, held against a walk over all units that knows only when each was said to be
 * due.
 */
public class HealthCheckSchedulerTest {
  private double draw;

  /** What a walk finds: of those due, the one due longest, of these the highest number. */
  private static long walked(Map<Long, Double> due, double nowMs) {
    long found = -1;
    double first = nowMs;
    for (Map.Entry<Long, Double> one : due.entrySet()) {
      if (one.getValue() > first) {
        continue;
      }
      found = one.getKey();
      first = one.getValue();
    }
    return found;
  }

  @Test
  public void turnsAreThoseThatAWalkOverAllUnitsFinds() {
    for (int seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      HealthCheckScheduler lookout = new HealthCheckScheduler(() -> draw);
      Map<Long, Double> due = new TreeMap<>();
      double nowMs = 0;
      int turns = 0;
      for (int i = 0; i < 5000; i++) {
        nowMs += random.nextInt(4) * 25;
        draw = random.nextInt(8) / 8.0; // few draws, so that many units are due at one moment
        long endpoint = random.nextInt(50);
        Timestamp now = Timestamp.ofMs(nowMs);
        switch (random.nextInt(6)) {
          case 0 -> {
            lookout.add(endpoint, now);
            due.putIfAbsent(endpoint, nowMs + 2000 * draw);
          }
          case 1 -> {
            if (random.nextInt(4) > 0) {
              continue;
            }
            lookout.remove(endpoint);
            due.remove(endpoint);
          }
          case 2 -> {
            boolean busy = random.nextBoolean();
            lookout.answered(endpoint, TimeSpan.ofMs(busy ? 100 : 5000), now);
            if (due.containsKey(endpoint)) {
              due.put(endpoint, nowMs + (busy ? 10_000 : 2000) * (0.75 + 0.5 * draw));
            }
          }
          case 3 -> {
            lookout.timedOut(endpoint, now);
            if (due.containsKey(endpoint)) {
              due.put(endpoint, nowMs + 1000 * (0.75 + 0.5 * draw));
            }
          }
          default -> {
            long next = walked(due, nowMs);
            assertEquals(lookout.next(now), next, "seed " + seed + ", step " + i);
            if (next >= 0) {
              due.put(next, nowMs + 10_000);
            }
            if (next >= 0) {
              turns++;
            }
          }
        }
        assertEquals(lookout.size(), due.size());
      }
      assertEquals(turns > 100, true, "turns " + turns);
    }
  }
}
