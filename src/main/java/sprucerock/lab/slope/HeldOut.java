package sprucerock.lab.slope;

import java.util.OptionalDouble;

/**
 * A prediction at a size whose runs the fit was not told, and what they gave.
 *
 * @param result empty if no run of that size kept up
 */
public record HeldOut(
    Series series, Slope slope, double size, Slope.Prediction prediction, OptionalDouble result) {
  /** A prediction that is further off than this is flagged. */
  public static final double ALLOWED_MISS = 0.20;

  /** Holds a size out of a series; null if what is left has no slope. */
  public static HeldOut of(Series series, double size) {
    Series told = series.without(size);
    Slope slope = Slope.of(told.points());
    return slope.measured()
        ? new HeldOut(told, slope, size, slope.predict(size), series.at(size))
        : null;
  }

  /**
   * Result over prediction, less 1; NaN without a result, infinite where nothing was expected and
   * something came.
   */
  public double miss() {
    if (result.isEmpty()) {
      return Double.NaN;
    }
    double came = result.getAsDouble();
    double expected = prediction.value();
    return came == expected ? 0 : came / expected - 1;
  }

  /** Whether the result is further off than allowed. */
  public boolean flagged() {
    return result.isPresent() && !(Math.abs(miss()) <= ALLOWED_MISS);
  }
}
