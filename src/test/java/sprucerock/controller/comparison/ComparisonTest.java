package sprucerock.controller.comparison;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import sprucerock.controller.comparison.Comparison.Result;

/**
 * What is told of old and new side by side; chance from seeds, so each verdict is the same every
 * time.
 */
public class ComparisonTest {
  private final SplittableRandom random = new SplittableRandom(7);

  /** A relay's window: so many RPCs, of which a share is not served in time, as chance has it. */
  private Window window(int rpcs, double unserved, double ms) {
    int missed = 0;
    for (int i = 0; i < rpcs; i++) {
      if (random.nextDouble() < unserved) {
        missed++;
      }
    }
    double noise = 1 + 0.1 * (random.nextDouble() - 0.5);
    return new Window(
        rpcs,
        rpcs,
        rpcs - missed,
        missed,
        0,
        0,
        rpcs - missed,
        (rpcs - missed) * ms * noise,
        rpcs * noise,
        50,
        100,
        rpcs);
  }

  private Comparison compare(int couples, int windows, double old, double fresh, double freshMs) {
    Comparison comparison = new Comparison(0.02, 0.1, 0.05, 0.02, 0.01);
    MatchedWindows[] all = new MatchedWindows[couples];
    for (int i = 0; i < couples; i++) {
      all[i] = comparison.newPair();
      for (int w = 0; w < 30; w++) {
        all[i].recordBefore(window(40, old, 60), window(40, old, 60));
      }
    }
    for (int w = 0; w < windows; w++) {
      double shared = w % 20 < 5 ? 0.2 : 0; // now and then everybody is worse
      for (MatchedWindows one : all) {
        one.recordAfter(window(40, fresh + shared, freshMs), window(40, old + shared, 60));
      }
    }
    return comparison;
  }

  @Test
  public void aGoodVersionIsFoundNoWorse() {
    int stopped = 0;
    int known = 0;
    for (int i = 0; i < 200; i++) {
      Result answer = compare(5, 60, 0.02, 0.02, 60).result(1);
      if (answer == Result.WORSE) {
        stopped++;
      }
      if (answer == Result.NO_WORSE) {
        known++;
      }
    }
    assertTrue(stopped <= 4, "stopped " + stopped + " of 200, where 2% are allowed");
    assertTrue(known >= 190, "no worse than 5% was known for " + known + " of 200");
  }

  @Test
  public void aLossOfOneInTwentyIsFoundByFewRelays() {
    int found = 0;
    for (int i = 0; i < 50; i++) {
      if (compare(5, 60, 0.02, 0.07, 60).result(0) == Result.WORSE) {
        found++;
      }
    }
    assertTrue(found >= 48, "found " + found + " of 50");
  }

  @Test
  public void higherLatencyAloneIsFoundWorse() {
    assertEquals(compare(5, 60, 0.02, 0.02, 90).result(0), Result.WORSE);
    assertTrue(
        compare(5, 60, 0.02, 0.02, 90).explanation().startsWith("latency"),
        compare(5, 60, 0.02, 0.02, 90).explanation());
  }

  @Test
  public void withoutDataTheResultIsNotSure() {
    Comparison comparison = new Comparison(0.02, 0.1);
    assertEquals(comparison.result(0), Result.NOT_SURE);
    comparison
        .newPair()
        .recordAfter(window(20, 0, 60), window(400, 0, 60)); // one of them too quiet for a look
    assertEquals(comparison.result(0), Result.NOT_SURE);
    assertEquals(comparison.explanation(), "no windows were compared yet");
  }

  @Test
  public void aDifferenceBeforeTheUpdateIsNotBlamedOnIt() {
    Comparison comparison = new Comparison(0.02, 0.1);
    MatchedWindows couple = comparison.newPair();
    for (int w = 0; w < 30; w++) {
      couple.recordBefore(window(40, 0.10, 90), window(40, 0.02, 60));
    }
    for (int w = 0; w < 300; w++) {
      couple.recordAfter(window(40, 0.10, 90), window(40, 0.02, 60));
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
    int rich = 0;
    for (int i = 0; i < 1000; i++) {
      BettingTest wager = new BettingTest();
      for (int n = 0; n < 500; n++) {
        wager.add(random.nextBoolean() ? 0.5 : -0.5);
      }
      if (wager.everExceeded(0.05)) {
        rich++;
      }
    }
    assertTrue(rich <= 50, rich + " of 1000 passed 1/0.05 by chance");
    assertTrue(rich > 0, "a bound that is never met is none");
  }
}
