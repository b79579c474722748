package sprucerock.relay.healthcheck;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Compares the endpoint that the scheduler returns with a full scan of all endpoints' due times.
 */
public class HealthCheckSchedulerTest {
  private double randomDraw;

  /**
   * Returns the endpoint that a full scan finds: the one that has been due longest, and among
   * endpoints due at the same time the one with the highest id.
   */
  private static long firstByFullScan(Map<Long, Double> dueMs, double nowMs) {
    long found = -1;
    double earliestMs = nowMs;
    for (Map.Entry<Long, Double> endpoint : dueMs.entrySet()) {
      if (endpoint.getValue() > earliestMs) {
        continue;
      }
      found = endpoint.getKey();
      earliestMs = endpoint.getValue();
    }
    return found;
  }

  @Test
  public void nextIsWhatAFullScanFinds() {
    for (int seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      HealthCheckScheduler scheduler = new HealthCheckScheduler(() -> randomDraw);
      Map<Long, Double> dueMs = new TreeMap<>();
      double nowMs = 0;
      int checks = 0;
      for (int i = 0; i < 5000; i++) {
        nowMs += random.nextInt(4) * 25;
        // There are only eight values, so that many endpoints are due at the same time.
        randomDraw = random.nextInt(8) / 8.0;
        long endpoint = random.nextInt(50);
        Timestamp now = Timestamp.ofMs(nowMs);
        switch (random.nextInt(6)) {
          case 0 -> {
            scheduler.add(endpoint, now);
            dueMs.putIfAbsent(endpoint, nowMs + 2000 * randomDraw);
          }
          case 1 -> {
            if (random.nextInt(4) > 0) {
              continue;
            }
            scheduler.remove(endpoint);
            dueMs.remove(endpoint);
          }
          case 2 -> {
            boolean busy = random.nextBoolean();
            scheduler.recordAnswer(endpoint, TimeSpan.ofMs(busy ? 100 : 5000), now);
            if (dueMs.containsKey(endpoint)) {
              dueMs.put(endpoint, nowMs + (busy ? 10_000 : 2000) * (0.75 + 0.5 * randomDraw));
            }
          }
          case 3 -> {
            scheduler.recordTimeout(endpoint, now);
            if (dueMs.containsKey(endpoint)) {
              dueMs.put(endpoint, nowMs + 1000 * (0.75 + 0.5 * randomDraw));
            }
          }
          default -> {
            long next = firstByFullScan(dueMs, nowMs);
            assertEquals(scheduler.takeNext(now), next, "seed " + seed + ", step " + i);
            if (next >= 0) {
              dueMs.put(next, nowMs + 10_000);
            }
            if (next >= 0) {
              checks++;
            }
          }
        }
        assertEquals(scheduler.size(), dueMs.size());
      }
      assertEquals(checks > 100, true, "endpoints returned: " + checks);
    }
  }
}
