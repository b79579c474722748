package sprucerock.hardware;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.IntPredicate;
import org.testng.annotations.Test;

/**
 * The model fitted to observations of hardware families with known cores and speeds, the errors of
 * its estimates, and translation by it.
 */
public class LeastSquaresFitTest {
  private static final IntPredicate ALL_BUILDS = build -> true;
  private static final IntPredicate SETTLED = build -> build < 2;

  /**
   * A bound with a confidence of 95% must hold in at least 93% of cases, and the errors must be
   * small enough to be useful.
   */
  @Test
  public void boundsHoldAtTheirConfidence() {
    int bounds = 0;
    int timeBoundsHeld = 0;
    int capacityBoundsHeld = 0;
    double widestError = 0;
    for (int seed = 0; seed < 60; seed++) {
      SimulatedHardware hardware = new SimulatedHardware(seed, 4);
      HardwareModel model = LeastSquaresFit.fit(hardware.observe(12, 1500, 3), 0, ALL_BUILDS, 1);
      double errors = model.standardErrors(0.95);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          if (a == b) {
            continue;
          }
          for (int m = 0; m < 3; m++) {
            bounds++;
            HardwareModel.Estimate time = model.timeRatio(m, a, b);
            if (Math.log(hardware.timeFactor(a, m) / hardware.timeFactor(b, m))
                < time.logValue() + errors * time.standardError()) {
              timeBoundsHeld++;
            }
            HardwareModel.Estimate capacity = model.capacityRatio(m, a, b);
            if (Math.log(hardware.capacity(a, m) / hardware.capacity(b, m))
                < capacity.logValue() + errors * capacity.standardError()) {
              capacityBoundsHeld++;
            }
            widestError = Math.max(widestError, time.standardError());
          }
        }
      }
    }
    assertTrue(timeBoundsHeld >= 0.93 * bounds, "times: " + timeBoundsHeld + " of " + bounds);
    assertTrue(
        capacityBoundsHeld >= 0.93 * bounds, "capacities: " + capacityBoundsHeld + " of " + bounds);
    assertTrue(widestError < 0.15, "errors too wide to be useful: " + widestError);
  }

  @Test
  public void familiesNeverSeenTogetherAreLinkedThroughOthersOrUnknown() {
    SimulatedHardware hardware = new SimulatedHardware(5, 4);
    Observation observation = new Observation();
    int[][] pairs = {{0, 1}, {1, 2}, {3, 3}};
    for (int w = 1; w <= 20; w++) {
      hardware.beginWindow();
      SampleSums sums = new SampleSums(0, w);
      int[] pair = pairs[w % 3];
      for (int i = 0; i < 400; i++) {
        int family = pair[hardware.randomInt(2)];
        sums.add(0, family, 1, 0, hardware.attemptMs(family, 0, 0, 1));
      }
      observation.add(sums);
    }
    HardwareModel model = LeastSquaresFit.fit(observation, 0, ALL_BUILDS, 1);
    HardwareModel.Estimate linked = model.timeRatio(0, 0, 2);
    assertEquals(
        linked.logValue(),
        Math.log(hardware.timeFactor(0, 0) / hardware.timeFactor(2, 0)),
        4 * linked.standardError());
    assertTrue(
        linked.standardError() > model.timeRatio(0, 0, 1).standardError()
            && linked.standardError() < 0.2,
        "" + linked);
    CapacityTranslator translator = new CapacityTranslator(model, List.of(), 0.95);
    assertTrue(
        translator.requiredEndpoints(0, 10, 0, 1).limit() == CapacityTranslator.Limit.NOT_KNOWN,
        "no attempt was sent to a busy endpoint, so the concurrency must not be known");
    assertTrue(translator.maxTimeMs(0, 100, 0, 2) > 0);
    assertTrue(Double.isNaN(translator.maxTimeMs(0, 100, 0, 3)));
    assertEquals(
        translator.requiredEndpoints(0, 10, 0, 9).limit(), CapacityTranslator.Limit.NOT_KNOWN);
  }

  @Test
  public void duplicateAndLateSumsCountOnce() {
    SimulatedHardware hardware = new SimulatedHardware(6, 3);
    Observation observation = hardware.observe(10, 600, 2);
    HardwareModel model = LeastSquaresFit.fit(observation, 0, ALL_BUILDS, 1);
    // An earlier state of the same relay's last window.
    SampleSums earlier = new SampleSums(0, 10);
    earlier.add(0, 0, 1, 0, 5);
    assertFalse(observation.add(earlier));
    assertFalse(observation.add(new SampleSums(7, 10 - Observation.MAX_WINDOWS)));
    assertEquals(
        LeastSquaresFit.fit(observation, 0, ALL_BUILDS, 1).timeRatio(0, 0, 1),
        model.timeRatio(0, 0, 1));
  }

  @Test
  public void translationThereAndBackNeverGainsCapacity() {
    for (int seed = 0; seed < 20; seed++) {
      SimulatedHardware hardware = new SimulatedHardware(seed, 4);
      List<Family> declared =
          List.of(
              new Family(0, 8, 4000),
              new Family(1, 32, 2000),
              new Family(2, 0, 0),
              new Family(3, 16, 16_000));
      CapacityTranslator translator =
          new CapacityTranslator(
              LeastSquaresFit.fit(hardware.observe(10, 2000, 2), 0, ALL_BUILDS, 1), declared, 0.9);
      for (int a = 0; a < 4; a++) {
        for (int b = 0; b < 4; b++) {
          CapacityTranslator.Answer forward = translator.requiredEndpoints(1, 40, a, b);
          if (!forward.isKnown()) {
            continue;
          }
          CapacityTranslator.Answer back =
              translator.guaranteedEndpoints(1, forward.endpoints(), b, a);
          assertTrue(back.endpoints() <= 40 * (1 + 1e-9), a + " to " + b + " and back: " + back);
          assertEquals(
              translator.requiredEndpoints(1, 15, a, b).endpoints()
                  + translator.requiredEndpoints(1, 25, a, b).endpoints(),
              forward.endpoints(),
              1e-9);
        }
      }
    }
  }

  @Test
  public void translationIsLimitedByMemorySlotsOrTime() {
    SimulatedHardware hardware = new SimulatedHardware(9, 2);
    hardware.speed[0] = 1;
    hardware.speed[1] = 0.4;
    hardware.cores[0] = 4;
    hardware.cores[1] = 4;
    HardwareModel model = LeastSquaresFit.fit(hardware.observe(20, 3000, 2), 0, ALL_BUILDS, 1);
    CapacityTranslator translator =
        new CapacityTranslator(
            model, List.of(new Family(0, 0, 8000), new Family(1, 0, 1000)), 0.95);
    assertEquals(
        translator.requiredEndpoints(0, 10, 0, 1).limit(), CapacityTranslator.Limit.MEMORY);
    assertEquals(translator.requiredEndpoints(0, 10, 0, 1).endpoints(), 80, 1e-9);
    assertEquals(
        translator.requiredEndpoints(0, 10, 0, 1, 100, 150).limit(), CapacityTranslator.Limit.TIME);
    assertEquals(
        translator.requiredEndpoints(0, 10, 0, 1, 100, 5000).limit(),
        CapacityTranslator.Limit.MEMORY);
    assertEquals(translator.requiredEndpoints(0, 10, 1, 0).limit(), CapacityTranslator.Limit.CORES);
  }

  /**
   * Returns observations of five families. From window 11 on one of them, or a new build on it, is
   * slower.
   */
  private static Observation observeSlowdown(int slowFamily, boolean byBuild) {
    SimulatedHardware hardware = new SimulatedHardware(11, 5);
    Observation observation = new Observation();
    for (int w = 1; w <= 20; w++) {
      hardware.beginWindow();
      SampleSums sums = new SampleSums(0, w);
      for (int i = 0; i < 4000; i++) {
        int family = hardware.randomInt(5);
        int method = hardware.randomInt(3);
        int build = w > 10 && hardware.randomInt(4) == 0 ? 2 : 1;
        boolean slow = w > 10 && family == slowFamily && (!byBuild || build == 2);
        sums.add(method, family, build, 0, hardware.attemptMs(family, method, 0, slow ? 1.4 : 1));
      }
      observation.add(sums);
    }
    return observation;
  }

  @Test
  public void distinguishesASlowFamilyFromASlowBuild() {
    Observation slowFamily = observeSlowdown(3, false);
    assertEquals(
        OutlierScore.slowFamilies(slowFamily, 0, 11, SETTLED).stream()
            .map(OutlierScore.Finding::family)
            .toList(),
        List.of(3));
    assertEquals(OutlierScore.slowBuilds(slowFamily, 0, 2, SETTLED), List.of());
    Observation slowBuild = observeSlowdown(3, true);
    assertEquals(OutlierScore.slowFamilies(slowBuild, 0, 11, SETTLED), List.of());
    assertEquals(
        OutlierScore.slowBuilds(slowBuild, 0, 2, SETTLED).stream()
            .map(OutlierScore.Finding::family)
            .toList(),
        List.of(3));
    Observation healthy = observeSlowdown(-1, false);
    assertEquals(OutlierScore.slowFamilies(healthy, 0, 11, SETTLED), List.of());
    assertEquals(OutlierScore.slowBuilds(healthy, 0, 2, SETTLED), List.of());
  }

  @Test
  public void canaryDoesNotChangeAFamilysTimes() {
    double logRatioWithCanary =
        LeastSquaresFit.fit(observeSlowdown(3, true), 0, SETTLED, 1).timeRatio(0, 3, 1).logValue();
    double logRatioWithoutCanary =
        LeastSquaresFit.fit(observeSlowdown(-1, false), 0, SETTLED, 1)
            .timeRatio(0, 3, 1)
            .logValue();
    assertEquals(logRatioWithCanary, logRatioWithoutCanary, 0.08);
  }

  @Test
  public void oneUnusualWindowChangesLittle() {
    SimulatedHardware hardware = new SimulatedHardware(12, 3);
    Observation observation = hardware.observe(20, 1500, 1);
    double logRatioBefore =
        LeastSquaresFit.fit(observation, 0, ALL_BUILDS, 1).timeRatio(0, 0, 1).logValue();
    SampleSums unusual = new SampleSums(0, 21);
    for (int i = 0; i < 300; i++) {
      unusual.add(0, 0, 1, 0, hardware.attemptMs(0, 0, 0, 20));
      unusual.add(0, 1, 1, 0, hardware.attemptMs(1, 0, 0, 1));
    }
    observation.add(unusual);
    assertEquals(
        LeastSquaresFit.fit(observation, 0, ALL_BUILDS, 1).timeRatio(0, 0, 1).logValue(),
        logRatioBefore,
        0.15);
  }

  @Test
  public void sampleSumsAreBounded() {
    SampleSums sums = new SampleSums(0, 1);
    for (int method = 0; method < 1000; method++) {
      sums.add(method, 0, 1, 0, 5);
    }
    assertEquals(sums.cells().size(), SampleSums.MAX_CELLS);
    assertEquals(sums.droppedSamples(), 1000 - SampleSums.MAX_CELLS);
    assertEquals(LeastSquaresFit.fit(new Observation(), 0, ALL_BUILDS, 1), null);
  }
}
