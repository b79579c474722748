package sprucerock.lab.slope;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class SlopeTest {
  @Test
  public void growthsAreToldApart() {
    Slope constant = Slope.of(Made.points(n -> 7, Made.SIZES));
    assertEquals(constant.growth(), "constant");
    assertEquals(constant.power().k(), 0, 1e-9);
    Slope linear = Slope.of(Made.points(n -> 0.02 * n, Made.SIZES));
    assertEquals(linear.growth(), "linear");
    assertEquals(linear.power().k(), 1, 1e-9);
    Slope quadratic = Slope.of(Made.points(n -> 3e-4 * n * n, Made.SIZES));
    assertEquals(quadratic.growth(), "quadratic");
    assertEquals(quadratic.power().k(), 2, 1e-9);
    assertTrue(quadratic.powerChosen());
    assertEquals(Slope.of(Made.points(n -> Math.sqrt(n), Made.SIZES)).growth(), "less than linear");
    assertEquals(
        Slope.of(Made.points(n -> Math.pow(n, 1.5), Made.SIZES)).growth(), "more than linear");
    assertEquals(Slope.of(Made.points(n -> 1 / n, Made.SIZES)).growth(), "falling");
    assertEquals(
        Slope.of(Made.points(n -> 100 + 0.2 * n, Made.SIZES)).growth(), "fixed part and linear");
  }

  /** Values far off any curve have an exponent too, but the interval says what it is worth. */
  @Test
  public void aScatteredSeriesIsUnclear() {
    Slope slope =
        Slope.of(
            List.of(new Point(30, 50), new Point(100, 2), new Point(300, 90), new Point(1000, 8)));
    assertEquals(slope.growth(), "unclear");
    assertTrue(slope.power().halfWidth() > 0.3);
  }

  /**
   * Against the textbook: logarithms on a line but for one residual pattern, t(0.975, 2) = 4.3027.
   */
  @Test
  public void theIntervalIsThatOfLeastSquares() {
    double[] ys = {0, 1.1, 1.9, 3};
    List<Point> points = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      points.add(new Point(Math.exp(i), Math.exp(ys[i])));
    }
    Slope slope = Slope.of(points);
    // mean x 1.5, Sxx 5, Sxy 4.9, Syy 4.82, so k 0.98, SSE 0.018, error of k sqrt(0.018 / 2 / 5)
    assertEquals(slope.power().k(), 0.98, 1e-9);
    assertEquals(slope.power().halfWidth(), 4.30265 * Math.sqrt(0.018 / 2 / 5), 1e-4);
  }

  @Test
  public void predictionsAreExactOnExactData() {
    Slope.Prediction line = Slope.of(Made.points(n -> 5 + 0.25 * n, Made.SIZES)).predict(7700);
    assertFalse(line.powerChosen());
    assertEquals(line.value(), 5 + 0.25 * 7700, 1e-6);
    Slope.Prediction curve =
        Slope.of(Made.points(n -> 0.5 * Math.pow(n, 1.3), Made.SIZES)).predict(7700);
    assertTrue(curve.powerChosen());
    assertEquals(curve.value() / (0.5 * Math.pow(7700, 1.3)), 1, 1e-9);
    assertTrue(
        Math.abs(curve.byLinear() / curve.byPower() - 1) > 0.1,
        "the forms part, so the choice matters");
    assertEquals(Slope.of(Made.points(n -> 7, Made.SIZES)).predict(7700).value(), 7, 1e-6);
  }

  @Test
  public void theFormIsChosenByWhatItWasNotTold() {
    Slope slope = Slope.of(Made.points(n -> 100 + 0.2 * n, Made.SIZES));
    assertEquals(slope.linearError(), 0, 1e-9);
    assertTrue(slope.powerError() > 0.05, slope.powerError() + "");
    assertFalse(slope.powerChosen());
  }

  /**
   * By hand, in powers of ten: 0, 0, 0, 1 at 0, 1, 2, 3; the lines through the other three give
   * -2/3, 1/7, 4/7 and 0.
   */
  @Test
  public void theErrorIsThatAtASizeLeftOut() {
    Slope slope =
        Slope.of(
            List.of(new Point(1, 1), new Point(10, 1), new Point(100, 1), new Point(1000, 10)));
    double sum =
        (1 - Math.pow(10, -2.0 / 3))
            + (Math.pow(10, 1.0 / 7) - 1)
            + (Math.pow(10, 4.0 / 7) - 1)
            + (1 - 0.1);
    assertEquals(slope.powerError(), sum / 4, 1e-9);
  }

  /**
   * A second run of a size would tell what its twin gives, if only one of them were left out: the
   * error of both forms would fall.
   */
  @Test
  public void aSizeIsLeftOutWithAllItsRuns() {
    List<Point> once = Made.points(n -> n < 500 ? n : 3 * n, Made.SIZES);
    List<Point> twice = new ArrayList<>(once);
    twice.addAll(once);
    assertEquals(Slope.of(twice).powerError(), Slope.of(once).powerError(), 1e-9);
    assertEquals(Slope.of(twice).linearError(), Slope.of(once).linearError(), 1e-9);
  }

  @Test
  public void tooLittleSaysSo() {
    Slope three = Slope.of(Made.points(n -> n, 30, 300, 3000));
    assertEquals(three.growth(), "not measured: 3 sizes, at least 4 are needed");
    assertEquals(
        Slope.of(Made.points(n -> n, 30, 30, 300, 3000)).notMeasured(),
        three.notMeasured(),
        "a size run twice is one size");
    assertEquals(
        Slope.of(Made.points(n -> n, 100, 200, 400, 999)).notMeasured(),
        "not measured: sizes from 100 to 999 span less than a factor of 10");
    assertTrue(
        Slope.of(Made.points(n -> n, 100, 200, 400, 1000)).measured(), "a factor of ten is enough");
    assertEquals(Slope.of(List.of()).notMeasured(), "not measured: 0 sizes, at least 4 are needed");
    expectThrows(IllegalStateException.class, () -> three.predict(7700));
  }

  @Test
  public void zerosHaveNoExponentButALine() {
    Slope never = Slope.of(Made.points(n -> 0, Made.SIZES));
    assertNull(never.power());
    assertEquals(never.growth(), "always 0");
    assertEquals(never.predict(7700).value(), 0.0);
    Slope some = Slope.of(Made.points(n -> n - 30, Made.SIZES));
    assertEquals(some.growth(), "some 0: no exponent");
    assertEquals(some.predict(7700).value(), 7670, 1e-6);
  }

  /** No cost is below 0: a line that gets there has left what it knows. */
  @Test
  public void aLineBelowZeroIsNotBelieved() {
    Slope slope = Slope.of(Made.points(n -> 100 - 0.09 * n, Made.SIZES));
    assertFalse(slope.powerChosen());
    Slope.Prediction prediction = slope.predict(7700);
    assertTrue(prediction.byLinear() < 0);
    assertEquals(prediction.value(), prediction.byPower());
  }

  @Test
  public void aMissOverAFifthIsFlagged() {
    assertHeldOut(60, 0, false);
    assertHeldOut(60 * 1.19, 0.19, false);
    assertHeldOut(60 * 1.21, 0.21, true);
    assertHeldOut(60 * 0.81, -0.19, false);
    assertHeldOut(60 * 0.79, -0.21, true);
  }

  private static void assertHeldOut(double result, double miss, boolean flagged) {
    List<Point> points = Made.points(n -> 0.02 * n, Made.SIZES);
    points.add(new Point(3000, result));
    HeldOut held =
        HeldOut.of(new Series("mean", new Figure("controller", "cpu, all", "cores"), points), 3000);
    assertEquals(held.prediction().value(), 60, 1e-6, "not told what came");
    assertEquals(held.miss(), miss, 1e-6);
    assertEquals(held.flagged(), flagged, "at " + result);
  }

  @Test
  public void withoutAResultNothingIsFlagged() {
    HeldOut held =
        HeldOut.of(
            new Series("mean", new Figure("count", "refused", ""), Made.points(n -> n, Made.SIZES)),
            3000);
    assertTrue(held.result().isEmpty());
    assertFalse(held.flagged());
    assertEquals(held.prediction().value(), 3000, 1e-6);
  }

  @Test
  public void whatComesWhereNothingWasExpectedIsFlagged() {
    List<Point> points = Made.points(n -> 0, Made.SIZES);
    points.add(new Point(3000, 1));
    HeldOut held = HeldOut.of(new Series("mean", new Figure("count", "refused", ""), points), 3000);
    assertTrue(held.flagged());
    assertEquals(Numbers.percent(held.miss()), "without bound");
  }

  @Test
  public void numbersReadAlikeEverywhere() {
    assertEquals(Numbers.text(7700), "7,700");
    assertEquals(Numbers.text(0.046), "0.046");
    assertEquals(Numbers.text(123.456), "123");
    assertEquals(Numbers.text(1234567), "1,235,000");
    assertEquals(Numbers.text(0.00012), "1.20e-04");
    assertEquals(Numbers.text(0), "0");
    assertEquals(Numbers.percent(0.213), "+21.3%");
    assertEquals(Numbers.percent(-0.00001), "0.0%");
    assertEquals(Numbers.fixed(-0.001), "0.00");
  }
}
