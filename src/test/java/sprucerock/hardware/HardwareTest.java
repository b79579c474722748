package sprucerock.hardware;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.IntPredicate;
import org.testng.annotations.Test;

/**
 * Families whose cores and speeds are known, seen by relays: what is made of them, and how well
 * that is known.
 */
public class HardwareTest {
  private static final IntPredicate ALL = build -> true;
  private static final IntPredicate OLD = build -> build < 2;

  /**
   * A bound that is to hold in 95 of 100 holds in 93 at least; and it isn't bought by bounds that
   * say nothing.
   */
  @Test
  public void boundsHoldAsOftenAsTheySay() {
    int times = 0;
    int timesHeld = 0;
    int capacitiesHeld = 0;
    double widest = 0;
    for (int seed = 0; seed < 60; seed++) {
      Truth truth = new Truth(seed, 4);
      Model model = LeastSquaresFit.of(truth.seen(12, 1500, 3), 0, ALL, 1);
      double errors = model.errors(0.95);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          if (a == b) {
            continue;
          }
          for (int m = 0; m < 3; m++) {
            times++;
            Model.Estimate time = model.time(m, a, b);
            if (Math.log(truth.time(a, m) / truth.time(b, m))
                < time.log() + errors * time.error()) {
              timesHeld++;
            }
            Model.Estimate capacity = model.capacity(m, a, b);
            if (Math.log(truth.capacity(a, m) / truth.capacity(b, m))
                < capacity.log() + errors * capacity.error()) {
              capacitiesHeld++;
            }
            widest = Math.max(widest, time.error());
          }
        }
      }
    }
    assertTrue(timesHeld >= 0.93 * times, "times: " + timesHeld + " of " + times);
    assertTrue(capacitiesHeld >= 0.93 * times, "capacities: " + capacitiesHeld + " of " + times);
    assertTrue(widest < 0.15, "so wide that they say nothing: " + widest);
  }

  @Test
  public void familiesThatWereNeverSeenTogetherAreLinkedThroughOthersOrNotKnown() {
    Truth truth = new Truth(5, 4);
    Observation seen = new Observation();
    int[][] pairs = {{0, 1}, {1, 2}, {3, 3}};
    for (int w = 1; w <= 20; w++) {
      truth.window();
      SampleSums tally = new SampleSums(0, w);
      int[] pair = pairs[w % 3];
      for (int i = 0; i < 400; i++) {
        int family = pair[truth.draw(2)];
        tally.ended(0, family, 1, 0, truth.ms(family, 0, 0, 1));
      }
      seen.told(tally);
    }
    Model model = LeastSquaresFit.of(seen, 0, ALL, 1);
    Model.Estimate connected = model.time(0, 0, 2);
    assertEquals(
        connected.log(), Math.log(truth.time(0, 0) / truth.time(2, 0)), 4 * connected.error());
    assertTrue(
        connected.error() > model.time(0, 0, 1).error() && connected.error() < 0.2, "" + connected);
    Translation translation = new Translation(model, List.of(), 0.95);
    assertTrue(
        translation.needed(0, 10, 0, 1).limit() == Translation.Limit.NOT_KNOWN,
        "no pick ever met a busy unit, so cores are not known");
    assertTrue(translation.atMost(0, 100, 0, 2) > 0);
    assertTrue(Double.isNaN(translation.atMost(0, 100, 0, 3)));
    assertEquals(translation.needed(0, 10, 0, 9).limit(), Translation.Limit.NOT_KNOWN);
  }

  @Test
  public void whatComesTwiceOrLateCountsOnce() {
    Truth truth = new Truth(6, 3);
    Observation once = truth.seen(10, 600, 2);
    Model model = LeastSquaresFit.of(once, 0, ALL, 1);
    SampleSums part = new SampleSums(0, 10); // an earlier state of that relay's last window
    part.ended(0, 0, 1, 0, 5);
    assertFalse(once.told(part));
    assertFalse(once.told(new SampleSums(7, 10 - Observation.WINDOWS)));
    assertEquals(LeastSquaresFit.of(once, 0, ALL, 1).time(0, 0, 1), model.time(0, 0, 1));
  }

  @Test
  public void thereAndBackNeverYieldsMoreThanWasAskedAndSumsAddUp() {
    for (int seed = 0; seed < 20; seed++) {
      Truth truth = new Truth(seed, 4);
      List<Family> declared =
          List.of(
              new Family(0, 8, 4000),
              new Family(1, 32, 2000),
              new Family(2, 0, 0),
              new Family(3, 16, 16_000));
      Translation translation =
          new Translation(LeastSquaresFit.of(truth.seen(10, 2000, 2), 0, ALL, 1), declared, 0.9);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          Translation.Answer there = translation.needed(1, 40, a, b);
          if (!there.known()) {
            continue;
          }
          Translation.Answer back = translation.counted(1, there.endpoints(), b, a);
          assertTrue(back.endpoints() <= 40 * (1 + 1e-9), a + " to " + b + " and back: " + back);
          assertEquals(
              translation.needed(1, 15, a, b).endpoints()
                  + translation.needed(1, 25, a, b).endpoints(),
              there.endpoints(),
              1e-9);
        }
      }
    }
  }

  @Test
  public void memoryOrSlotsLimitWhereCoresDoNotAndTimeWhereNoNumberHelps() {
    Truth truth = new Truth(9, 2);
    truth.speed[0] = 1;
    truth.speed[1] = 0.4;
    truth.cores[0] = 4;
    truth.cores[1] = 4;
    Model model = LeastSquaresFit.of(truth.seen(20, 3000, 2), 0, ALL, 1);
    Translation translation =
        new Translation(model, List.of(new Family(0, 0, 8000), new Family(1, 0, 1000)), 0.95);
    assertEquals(translation.needed(0, 10, 0, 1).limit(), Translation.Limit.MEMORY);
    assertEquals(translation.needed(0, 10, 0, 1).endpoints(), 80, 1e-9);
    assertEquals(translation.needed(0, 10, 0, 1, 100, 150).limit(), Translation.Limit.TIME);
    assertEquals(translation.needed(0, 10, 0, 1, 100, 5000).limit(), Translation.Limit.MEMORY);
    assertEquals(translation.needed(0, 10, 1, 0).limit(), Translation.Limit.CORES);
  }

  /** Five families; from window 11 on one is slower, or a new build is on that one. */
  private static Observation troubled(int slowFamily, boolean byBuild) {
    Truth truth = new Truth(11, 5);
    Observation seen = new Observation();
    for (int w = 1; w <= 20; w++) {
      truth.window();
      SampleSums tally = new SampleSums(0, w);
      for (int i = 0; i < 4000; i++) {
        int family = truth.draw(5);
        int method = truth.draw(3);
        int build = w > 10 && truth.draw(4) == 0 ? 2 : 1;
        boolean slow = w > 10 && family == slowFamily && (!byBuild || build == 2);
        tally.ended(method, family, build, 0, truth.ms(family, method, 0, slow ? 1.4 : 1));
      }
      seen.told(tally);
    }
    return seen;
  }

  @Test
  public void aFamilyThatGrowsSlowAndABuildThatIsSlowThereAreToldApart() {
    Observation ill = troubled(3, false);
    assertEquals(
        OutlierScore.families(ill, 0, 11, OLD).stream().map(OutlierScore.Finding::family).toList(),
        List.of(3));
    assertEquals(OutlierScore.builds(ill, 0, 2, OLD), List.of());
    Observation bad = troubled(3, true);
    assertEquals(OutlierScore.families(bad, 0, 11, OLD), List.of());
    assertEquals(
        OutlierScore.builds(bad, 0, 2, OLD).stream().map(OutlierScore.Finding::family).toList(),
        List.of(3));
    Observation well = troubled(-1, false);
    assertEquals(OutlierScore.families(well, 0, 11, OLD), List.of());
    assertEquals(OutlierScore.builds(well, 0, 2, OLD), List.of());
  }

  @Test
  public void aBuildOnTrialIsNoPartOfAFamilysWorth() {
    double with = LeastSquaresFit.of(troubled(3, true), 0, OLD, 1).time(0, 3, 1).log();
    double without = LeastSquaresFit.of(troubled(-1, false), 0, OLD, 1).time(0, 3, 1).log();
    assertEquals(with, without, 0.08);
  }

  @Test
  public void oneOddWindowMovesLittle() {
    Truth truth = new Truth(12, 3);
    Observation seen = truth.seen(20, 1500, 1);
    double before = LeastSquaresFit.of(seen, 0, ALL, 1).time(0, 0, 1).log();
    SampleSums odd = new SampleSums(0, 21);
    for (int i = 0; i < 300; i++) {
      odd.ended(0, 0, 1, 0, truth.ms(0, 0, 0, 20));
      odd.ended(0, 1, 1, 0, truth.ms(1, 0, 0, 1));
    }
    seen.told(odd);
    assertEquals(LeastSquaresFit.of(seen, 0, ALL, 1).time(0, 0, 1).log(), before, 0.15);
  }

  @Test
  public void whatARelayKeepsIsBounded() {
    SampleSums tally = new SampleSums(0, 1);
    for (int method = 0; method < 1000; method++) {
      tally.ended(method, 0, 1, 0, 5);
    }
    assertEquals(tally.cells().size(), SampleSums.MOST_CELLS);
    assertEquals(tally.leftOut(), 1000 - SampleSums.MOST_CELLS);
    assertEquals(LeastSquaresFit.of(new Observation(), 0, ALL, 1), null);
  }
}
