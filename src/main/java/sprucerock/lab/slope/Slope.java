package sprucerock.lab.slope;

import java.util.List;
import java.util.function.Function;

/**
 * What a cost does as N grows: both forms, and which of them to believe. The form is chosen by its
 * mean relative error at each measured size that it was not told, as a fit to all of them would
 * flatter whichever bends more. Neither form knows of a limit that lies beyond what was measured.
 */
public final class Slope {
  /**
   * Three points fit a curve of two parameters with one to spare; one more leaves something to
   * choose by when one is left out.
   */
  public static final int LEAST_SIZES = 4;

  /** Over less than a decade, a fixed part and a power below 1 can't be told apart. */
  public static final double LEAST_SPAN = 10;

  /**
   * How near an exponent must be to 0, 1 or 2 to be called so: noise of a percent moves one by
   * under 0.01 over a decade, caches and batches by about this.
   */
  private static final double NEAR = 0.15;

  /** An exponent known no better than this is not named. */
  private static final double CLEAR = 0.3;

  /** Errors that differ by less are equal; then the form with no curve in it is taken. */
  private static final double TIE = 1e-9;

  /** What is expected at one size. */
  public record Prediction(double byPower, double byLinear, boolean powerChosen) {
    /** That of the form which is believed. */
    public double value() {
      return powerChosen ? byPower : byLinear;
    }

    /** Its name. */
    public String form() {
      return powerChosen ? "power" : "linear";
    }
  }

  private final String notMeasured;
  private final Form.Power power;
  private final Form.Linear linear;
  private final double powerError;
  private final double linearError;
  private final double least;
  private final double most;

  private Slope(
      String notMeasured,
      Form.Power power,
      Form.Linear linear,
      double powerError,
      double linearError,
      double least,
      double most) {
    this.notMeasured = notMeasured;
    this.power = power;
    this.linear = linear;
    this.powerError = powerError;
    this.linearError = linearError;
    this.least = least;
    this.most = most;
  }

  /** Fits; a slope with too little to go by says so and predicts nothing. */
  public static Slope of(List<Point> points) {
    double[] sizes = points.stream().mapToDouble(Point::size).distinct().sorted().toArray();
    double least = sizes.length == 0 ? Double.NaN : sizes[0];
    double most = sizes.length == 0 ? Double.NaN : sizes[sizes.length - 1];
    if (sizes.length < LEAST_SIZES) {
      return new Slope(
          "not measured: "
              + sizes.length
              + (sizes.length == 1 ? " size" : " sizes")
              + ", at least "
              + LEAST_SIZES
              + " are needed",
          null,
          null,
          Double.NaN,
          Double.NaN,
          least,
          most);
    }
    if (most < LEAST_SPAN * least) {
      return new Slope(
          "not measured: sizes from "
              + Numbers.text(least)
              + " to "
              + Numbers.text(most)
              + " span less than a factor of "
              + Numbers.text(LEAST_SPAN),
          null,
          null,
          Double.NaN,
          Double.NaN,
          least,
          most);
    }
    boolean logs = points.stream().allMatch(point -> point.value() > 0);
    return new Slope(
        "",
        logs ? Form.Power.fit(points) : null,
        Form.Linear.fit(points),
        logs ? leaveOneOut(points, sizes, Form.Power::fit) : Double.NaN,
        logs ? leaveOneOut(points, sizes, Form.Linear::fit) : Double.NaN,
        least,
        most);
  }

  /** All runs of a size are left out together: a second run of it would give the first away. */
  private static double leaveOneOut(
      List<Point> points, double[] sizes, Function<List<Point>, Form> fit) {
    double sum = 0;
    for (double out : sizes) {
      Form form = fit.apply(points.stream().filter(point -> point.size() != out).toList());
      sum +=
          points.stream()
              .filter(point -> point.size() == out)
              .mapToDouble(point -> Math.abs(form.at(out) / point.value() - 1))
              .average()
              .orElseThrow();
    }
    return sum / sizes.length;
  }

  /** Why there is no slope; empty if there is one. */
  public String notMeasured() {
    return notMeasured;
  }

  public boolean measured() {
    return notMeasured.isEmpty();
  }

  /** The power form; null where a value is 0, which has no logarithm, or nothing is measured. */
  public Form.Power power() {
    return power;
  }

  /** The linear form; null if nothing is measured. */
  public Form.Linear linear() {
    return linear;
  }

  /** Mean relative error of the power form at sizes that it was not told; NaN without one. */
  public double powerError() {
    return powerError;
  }

  /**
   * Mean relative error of the linear form at sizes that it was not told; NaN without the other to
   * compare with.
   */
  public double linearError() {
    return linearError;
  }

  /** Which form is believed. */
  public boolean powerChosen() {
    return power != null && powerError < linearError - TIE;
  }

  /** The least size measured. */
  public double least() {
    return least;
  }

  /** The largest size measured. */
  public double most() {
    return most;
  }

  /** The growth in one word or a few. */
  public String growth() {
    if (!measured()) {
      return notMeasured;
    }
    if (power == null) {
      return linear.a() == 0 && linear.b() == 0 ? "always 0" : "some 0: no exponent";
    }
    if (power.halfWidth() <= CLEAR) {
      String[] names = {"constant", "linear", "quadratic"};
      for (int k = 0; k < names.length; k++) {
        if (Math.abs(power.k() - k) <= NEAR) {
          return names[k];
        }
      }
    }
    if (!powerChosen() && linear.a() > 0 && linear.b() > 0) {
      return "fixed part and linear";
    }
    if (power.halfWidth() > CLEAR) {
      return "unclear";
    }
    return power.k() < 0
        ? "falling"
        : power.k() < 1
            ? "less than linear"
            : power.k() < 2 ? "more than linear" : "more than quadratic";
  }

  /**
   * What is expected at a size, by both forms. A line that has fallen below 0 there is not
   * believed; only for a measured slope.
   */
  public Prediction predict(double size) {
    if (!measured()) {
      throw new IllegalStateException(notMeasured);
    }
    double straight = linear.at(size);
    double curved = power == null ? Double.NaN : power.at(size);
    return new Prediction(curved, straight, powerChosen() || straight < 0 && power != null);
  }
}
