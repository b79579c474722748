package sprucerock.relay.healthcheck;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Which endpoint is next, compared with a scan of all endpoints that knows only when each is due.
 */
public class HealthCheckSchedulerTest {
  private double randomDraw;

  /** What a full scan finds: of those due, the one due longest, of these the highest number. */
  private static long firstByFullScan(Map<Long, Double> due, double nowMs) {
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
  public void nextIsWhatAFullScanFinds() {
    for (int seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      HealthCheckScheduler scheduler = new HealthCheckScheduler(() -> randomDraw);
      Map<Long, Double> due = new TreeMap<>();
      double nowMs = 0;
      int checks = 0;
      for (int i = 0; i < 5000; i++) {
        nowMs += random.nextInt(4) * 25;
        randomDraw =
            random.nextInt(8) / 8.0; // few draws, so that many endpoints are due at one time
        long endpoint = random.nextInt(50);
        Timestamp now = Timestamp.ofMs(nowMs);
        switch (random.nextInt(6)) {
          case 0 -> {
            scheduler.add(endpoint, now);
            due.putIfAbsent(endpoint, nowMs + 2000 * randomDraw);
          }
          case 1 -> {
            if (random.nextInt(4) > 0) {
              continue;
            }
            scheduler.remove(endpoint);
            due.remove(endpoint);
          }
          case 2 -> {
            boolean busy = random.nextBoolean();
            scheduler.recordAnswer(endpoint, TimeSpan.ofMs(busy ? 100 : 5000), now);
            if (due.containsKey(endpoint)) {
              due.put(endpoint, nowMs + (busy ? 10_000 : 2000) * (0.75 + 0.5 * randomDraw));
            }
          }
          case 3 -> {
            scheduler.recordTimeout(endpoint, now);
            if (due.containsKey(endpoint)) {
              due.put(endpoint, nowMs + 1000 * (0.75 + 0.5 * randomDraw));
            }
          }
          default -> {
            long next = firstByFullScan(due, nowMs);
            assertEquals(scheduler.takeNext(now), next, "seed " + seed + ", step " + i);
            if (next >= 0) {
              due.put(next, nowMs + 10_000);
            }
            if (next >= 0) {
              checks++;
            }
          }
        }
        assertEquals(scheduler.size(), due.size());
      }
      assertEquals(checks > 100, true, "turns " + checks);
    }
  }
}
