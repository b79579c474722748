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
public class LeastSquaresFitTest {
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
      SimulatedHardware truth = new SimulatedHardware(seed, 4);
      HardwareModel model = LeastSquaresFit.fit(truth.seen(12, 1500, 3), 0, ALL, 1);
      double errors = model.standardErrors(0.95);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          if (a == b) {
            continue;
          }
          for (int m = 0; m < 3; m++) {
            times++;
            HardwareModel.Estimate time = model.timeRatio(m, a, b);
            if (Math.log(truth.time(a, m) / truth.time(b, m))
                < time.log() + errors * time.error()) {
              timesHeld++;
            }
            HardwareModel.Estimate capacity = model.capacityRatio(m, a, b);
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
    SimulatedHardware truth = new SimulatedHardware(5, 4);
    Observation seen = new Observation();
    int[][] pairs = {{0, 1}, {1, 2}, {3, 3}};
    for (int w = 1; w <= 20; w++) {
      truth.window();
      SampleSums tally = new SampleSums(0, w);
      int[] pair = pairs[w % 3];
      for (int i = 0; i < 400; i++) {
        int family = pair[truth.draw(2)];
        tally.add(0, family, 1, 0, truth.ms(family, 0, 0, 1));
      }
      seen.add(tally);
    }
    HardwareModel model = LeastSquaresFit.fit(seen, 0, ALL, 1);
    HardwareModel.Estimate connected = model.timeRatio(0, 0, 2);
    assertEquals(
        connected.log(), Math.log(truth.time(0, 0) / truth.time(2, 0)), 4 * connected.error());
    assertTrue(
        connected.error() > model.timeRatio(0, 0, 1).error() && connected.error() < 0.2,
        "" + connected);
    CapacityTranslator translation = new CapacityTranslator(model, List.of(), 0.95);
    assertTrue(
        translation.needed(0, 10, 0, 1).limit() == CapacityTranslator.Limit.NOT_KNOWN,
        "no pick ever met a busy unit, so cores are not known");
    assertTrue(translation.atMost(0, 100, 0, 2) > 0);
    assertTrue(Double.isNaN(translation.atMost(0, 100, 0, 3)));
    assertEquals(translation.needed(0, 10, 0, 9).limit(), CapacityTranslator.Limit.NOT_KNOWN);
  }

  @Test
  public void whatComesTwiceOrLateCountsOnce() {
    SimulatedHardware truth = new SimulatedHardware(6, 3);
    Observation once = truth.seen(10, 600, 2);
    HardwareModel model = LeastSquaresFit.fit(once, 0, ALL, 1);
    SampleSums part = new SampleSums(0, 10); // an earlier state of that relay's last window
    part.add(0, 0, 1, 0, 5);
    assertFalse(once.add(part));
    assertFalse(once.add(new SampleSums(7, 10 - Observation.WINDOWS)));
    assertEquals(LeastSquaresFit.fit(once, 0, ALL, 1).timeRatio(0, 0, 1), model.timeRatio(0, 0, 1));
  }

  @Test
  public void thereAndBackNeverYieldsMoreThanWasAskedAndSumsAddUp() {
    for (int seed = 0; seed < 20; seed++) {
      SimulatedHardware truth = new SimulatedHardware(seed, 4);
      List<Family> declared =
          List.of(
              new Family(0, 8, 4000),
              new Family(1, 32, 2000),
              new Family(2, 0, 0),
              new Family(3, 16, 16_000));
      CapacityTranslator translation =
          new CapacityTranslator(
              LeastSquaresFit.fit(truth.seen(10, 2000, 2), 0, ALL, 1), declared, 0.9);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          CapacityTranslator.Answer there = translation.needed(1, 40, a, b);
          if (!there.known()) {
            continue;
          }
          CapacityTranslator.Answer back = translation.counted(1, there.endpoints(), b, a);
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
    SimulatedHardware truth = new SimulatedHardware(9, 2);
    truth.speed[0] = 1;
    truth.speed[1] = 0.4;
    truth.cores[0] = 4;
    truth.cores[1] = 4;
    HardwareModel model = LeastSquaresFit.fit(truth.seen(20, 3000, 2), 0, ALL, 1);
    CapacityTranslator translation =
        new CapacityTranslator(
            model, List.of(new Family(0, 0, 8000), new Family(1, 0, 1000)), 0.95);
    assertEquals(translation.needed(0, 10, 0, 1).limit(), CapacityTranslator.Limit.MEMORY);
    assertEquals(translation.needed(0, 10, 0, 1).endpoints(), 80, 1e-9);
    assertEquals(translation.needed(0, 10, 0, 1, 100, 150).limit(), CapacityTranslator.Limit.TIME);
    assertEquals(
        translation.needed(0, 10, 0, 1, 100, 5000).limit(), CapacityTranslator.Limit.MEMORY);
    assertEquals(translation.needed(0, 10, 1, 0).limit(), CapacityTranslator.Limit.CORES);
  }

  /** Five families; from window 11 on one is slower, or a new build is on that one. */
  private static Observation troubled(int slowFamily, boolean byBuild) {
    SimulatedHardware truth = new SimulatedHardware(11, 5);
    Observation seen = new Observation();
    for (int w = 1; w <= 20; w++) {
      truth.window();
      SampleSums tally = new SampleSums(0, w);
      for (int i = 0; i < 4000; i++) {
        int family = truth.draw(5);
        int method = truth.draw(3);
        int build = w > 10 && truth.draw(4) == 0 ? 2 : 1;
        boolean slow = w > 10 && family == slowFamily && (!byBuild || build == 2);
        tally.add(method, family, build, 0, truth.ms(family, method, 0, slow ? 1.4 : 1));
      }
      seen.add(tally);
    }
    return seen;
  }

  @Test
  public void aFamilyThatGrowsSlowAndABuildThatIsSlowThereAreToldApart() {
    Observation ill = troubled(3, false);
    assertEquals(
        OutlierScore.slowFamilies(ill, 0, 11, OLD).stream()
            .map(OutlierScore.Finding::family)
            .toList(),
        List.of(3));
    assertEquals(OutlierScore.slowBuilds(ill, 0, 2, OLD), List.of());
    Observation bad = troubled(3, true);
    assertEquals(OutlierScore.slowFamilies(bad, 0, 11, OLD), List.of());
    assertEquals(
        OutlierScore.slowBuilds(bad, 0, 2, OLD).stream().map(OutlierScore.Finding::family).toList(),
        List.of(3));
    Observation well = troubled(-1, false);
    assertEquals(OutlierScore.slowFamilies(well, 0, 11, OLD), List.of());
    assertEquals(OutlierScore.slowBuilds(well, 0, 2, OLD), List.of());
  }

  @Test
  public void aBuildOnTrialIsNoPartOfAFamilysWorth() {
    double with = LeastSquaresFit.fit(troubled(3, true), 0, OLD, 1).timeRatio(0, 3, 1).log();
    double without = LeastSquaresFit.fit(troubled(-1, false), 0, OLD, 1).timeRatio(0, 3, 1).log();
    assertEquals(with, without, 0.08);
  }

  @Test
  public void oneOddWindowMovesLittle() {
    SimulatedHardware truth = new SimulatedHardware(12, 3);
    Observation seen = truth.seen(20, 1500, 1);
    double before = LeastSquaresFit.fit(seen, 0, ALL, 1).timeRatio(0, 0, 1).log();
    SampleSums odd = new SampleSums(0, 21);
    for (int i = 0; i < 300; i++) {
      odd.add(0, 0, 1, 0, truth.ms(0, 0, 0, 20));
      odd.add(0, 1, 1, 0, truth.ms(1, 0, 0, 1));
    }
    seen.add(odd);
    assertEquals(LeastSquaresFit.fit(seen, 0, ALL, 1).timeRatio(0, 0, 1).log(), before, 0.15);
  }

  @Test
  public void whatARelayKeepsIsBounded() {
    SampleSums tally = new SampleSums(0, 1);
    for (int method = 0; method < 1000; method++) {
      tally.add(method, 0, 1, 0, 5);
    }
    assertEquals(tally.cells().size(), SampleSums.MAX_CELLS);
    assertEquals(tally.droppedSamples(), 1000 - SampleSums.MAX_CELLS);
    assertEquals(LeastSquaresFit.fit(new Observation(), 0, ALL, 1), null);
  }
}
