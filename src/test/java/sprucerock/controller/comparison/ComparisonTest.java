package sprucerock.controller.comparison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import sprucerock.controller.comparison.Comparison.Result;

/**
 * Tests the comparison of an old and a new version. The random numbers are seeded, so each result
 * is the same in every run.
 */
public class ComparisonTest {
  private final SplittableRandom random = new SplittableRandom(7);

  /** Creates a random window in which each RPC is not served in time with a given probability. */
  private Window window(int rpcs, double unservedProbability, double latencyMs) {
    int unserved = 0;
    for (int i = 0; i < rpcs; i++) {
      if (random.nextDouble() < unservedProbability) {
        unserved++;
      }
    }
    double noise = 1 + 0.1 * (random.nextDouble() - 0.5);
    return new Window(
        rpcs,
        rpcs,
        rpcs - unserved,
        unserved,
        0,
        0,
        rpcs - unserved,
        (rpcs - unserved) * latencyMs * noise,
        rpcs * noise,
        50,
        100,
        rpcs);
  }

  /** Compares pairs of relays; in 5 of every 20 windows a disturbance makes both sides worse. */
  private Comparison compare(
      int pairCount, int windows, double oldUnserved, double newUnserved, double newLatencyMs) {
    Comparison comparison = new Comparison(0.02, 0.1, 0.05, 0.02, 0.01);
    MatchedWindows[] pairs = new MatchedWindows[pairCount];
    for (int i = 0; i < pairCount; i++) {
      pairs[i] = comparison.newPair();
      for (int w = 0; w < 30; w++) {
        pairs[i].recordBefore(window(40, oldUnserved, 60), window(40, oldUnserved, 60));
      }
    }
    for (int w = 0; w < windows; w++) {
      double disturbance = w % 20 < 5 ? 0.2 : 0;
      for (MatchedWindows pair : pairs) {
        pair.recordAfter(
            window(40, newUnserved + disturbance, newLatencyMs),
            window(40, oldUnserved + disturbance, 60));
      }
    }
    return comparison;
  }

  @Test
  public void aGoodVersionIsFoundNoWorse() {
    int stopped = 0;
    int noWorse = 0;
    for (int i = 0; i < 200; i++) {
      Result result = compare(5, 60, 0.02, 0.02, 60).result(1);
      if (result == Result.WORSE) {
        stopped++;
      }
      if (result == Result.NO_WORSE) {
        noWorse++;
      }
    }
    assertTrue(
        stopped <= 4, stopped + " of 200 good versions were found worse, but at most 2% may be");
    assertTrue(
        noWorse >= 190, "only " + noWorse + " of 200 good versions were found no worse by 5%");
  }

  @Test
  public void aLossOfOneInTwentyIsFoundByFewRelays() {
    int found = 0;
    for (int i = 0; i < 50; i++) {
      if (compare(5, 60, 0.02, 0.07, 60).result(0) == Result.WORSE) {
        found++;
      }
    }
    assertTrue(found >= 48, "only " + found + " of 50 harmful versions were found worse");
  }

  @Test
  public void higherLatencyAloneIsFoundWorse() {
    assertEquals(compare(5, 60, 0.02, 0.02, 90).result(0), Result.WORSE);
    assertTrue(
        compare(5, 60, 0.02, 0.02, 90).explanation().startsWith("latency"),
        compare(5, 60, 0.02, 0.02, 90).explanation());
  }

  /**
   * Guards against a sample that leaves out windows of the updated relay: the window that completes
   * a sample is always good here, and those before it are bad.
   */
  @Test
  public void allWindowsOfASampleCount() {
    Comparison comparison = new Comparison(0.02, 0.1);
    MatchedWindows pair = comparison.newPair();
    for (int w = 0; w < 1000; w++) {
      boolean completesSample = w % 5 == 4;
      pair.recordAfter(quietWindow(10, completesSample ? 0 : 3), quietWindow(5, 0));
    }
    assertEquals(comparison.result(0), Result.WORSE, comparison.explanation());
  }

  /** A window without noise, of whose RPCs some are not served in time. */
  private static Window quietWindow(int rpcs, int unserved) {
    int served = rpcs - unserved;
    return new Window(rpcs, rpcs, served, unserved, 0, 0, served, served * 60, rpcs, 50, 100, rpcs);
  }

  @Test
  public void withoutDataTheResultIsNotSure() {
    Comparison comparison = new Comparison(0.02, 0.1);
    assertEquals(comparison.result(0), Result.NOT_SURE);
    // One of the relays has too few RPCs for a sample.
    comparison.newPair().recordAfter(window(20, 0, 60), window(400, 0, 60));
    assertEquals(comparison.result(0), Result.NOT_SURE);
    assertEquals(comparison.explanation(), "no windows were compared yet");
  }

  @Test
  public void aDifferenceBeforeTheUpdateIsNotBlamedOnIt() {
    Comparison comparison = new Comparison(0.02, 0.1);
    MatchedWindows pair = comparison.newPair();
    for (int w = 0; w < 30; w++) {
      pair.recordBefore(window(40, 0.10, 90), window(40, 0.02, 60));
    }
    for (int w = 0; w < 300; w++) {
      pair.recordAfter(window(40, 0.10, 90), window(40, 0.02, 60));
    }
    assertTrue(comparison.result(0) != Result.WORSE, comparison.explanation());
  }

  @Test
  public void harmToRelaysThatWereNotUpdatedIsSeenAndEnds() {
    BaselineLevel level = new BaselineLevel(15);
    for (int w = 0; w < 15; w++) {
      level.record(window(1000, 0.02, 60));
    }
    level.stageStarted();
    for (int w = 0; w < 8; w++) {
      level.record(window(1000, 0.10, 60));
    }
    assertEquals(level.windowsBelowBaseline(), 8);
    level.record(window(1000, 0.02, 60));
    assertEquals(level.windowsBelowBaseline(), 0);
  }

  @Test
  public void aBettingTestOnNoiseKeepsItsFalseAlarmRate() {
    int exceeded = 0;
    for (int i = 0; i < 1000; i++) {
      BettingTest test = new BettingTest();
      for (int n = 0; n < 500; n++) {
        test.add(random.nextBoolean() ? 0.5 : -0.5);
      }
      if (test.everExceeded(0.05)) {
        exceeded++;
      }
    }
    assertTrue(exceeded <= 50, exceeded + " of 1000 tests exceeded 1/0.05 by chance");
    assertTrue(exceeded > 0, "no test ever exceeded the bound, so the bound is too loose to test");
  }
}
