package sprucerock.lab.slope;

import java.util.OptionalDouble;

/**
 * What a series comes to at a size, and how that is known.
 *
 * @param value NaN if it isn't known
 * @param standing "measured", "extrapolated from N <= ...", "interpolated ..." or "not measured:
 *     ..."
 */
public record Estimate(double value, String standing) {
  static Estimate of(Series series, Slope slope, double size) {
    OptionalDouble measured = series.at(size);
    if (measured.isPresent()) {
      return new Estimate(measured.getAsDouble(), "measured");
    }
    if (!slope.measured()) {
      return new Estimate(Double.NaN, slope.notMeasured());
    }
    Slope.Prediction prediction = slope.predict(size);
    String how =
        size > slope.most()
            ? "extrapolated from N <= " + Numbers.text(slope.most())
            : size < slope.least()
                ? "extrapolated from N >= " + Numbers.text(slope.least())
                : "interpolated from N "
                    + Numbers.text(slope.least())
                    + " to "
                    + Numbers.text(slope.most());
    return new Estimate(prediction.value(), how + ", " + prediction.form());
  }

  boolean known() {
    return !Double.isNaN(value);
  }
}
