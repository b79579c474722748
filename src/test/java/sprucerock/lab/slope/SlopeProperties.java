package sprucerock.lab.slope;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Scale;

/**
 * Whatever the cost is worth and however it grows, noise of a percent doesn't hide the exponent.
 */
class SlopeProperties {
  @Property(seed = "20261202", tries = 2000, shrinking = ShrinkingMode.BOUNDED)
  void theExponentIsFoundThroughNoise(
      @ForAll @DoubleRange(min = 0.001, max = 1000) @Scale(3) double c,
      @ForAll @DoubleRange(min = 0, max = 2.5) double k,
      @ForAll long seed) {
    Random noise = new Random(seed);
    Slope slope =
        Slope.of(
            Made.points(
                n -> c * Math.pow(n, k) * (1 + 0.01 * (2 * noise.nextDouble() - 1)), Made.SIZES));
    assertEquals(slope.power().k(), k, 0.05);
  }

  @Property(seed = "20261203", tries = 1000, shrinking = ShrinkingMode.BOUNDED)
  void exactCostsArePredictedExactly(
      @ForAll @DoubleRange(min = 0.001, max = 1000) @Scale(3) double c,
      @ForAll @DoubleRange(min = 0, max = 2.5) double k) {
    Slope slope = Slope.of(Made.points(n -> c * Math.pow(n, k), Made.SIZES));
    assertEquals(slope.predict(7700).byPower() / (c * Math.pow(7700, k)), 1, 1e-6);
  }
}
