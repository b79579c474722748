package sprucerock.lab.slope;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.Locale;

/** Numbers as the page has them: three digits that mean something, the same in every country. */
final class Numbers {
  private Numbers() {}

  static String text(double value) {
    if (Double.isNaN(value) || Double.isInfinite(value)) {
      return "-";
    }
    if (Math.abs(value) < 1e-12) {
      return "0"; // what least squares leave of a nothing
    }
    if (Math.abs(value) < 0.001) {
      return String.format(Locale.ROOT, "%.2e", value);
    }
    if (Math.abs(value) >= 1000) {
      return String.format(
          Locale.ROOT, "%,d", new BigDecimal(value).round(new MathContext(4)).longValue());
    }
    BigDecimal short3 = new BigDecimal(value).round(new MathContext(3)).stripTrailingZeros();
    return short3.toPlainString();
  }

  static String fixed(double value) {
    return Double.isNaN(value)
        ? "-"
        : String.format(Locale.ROOT, "%.2f", value + 0.0).replaceFirst("^-(0\\.00)$", "$1");
  }

  static String percent(double share) {
    return Double.isNaN(share)
        ? "-"
        : Double.isInfinite(share)
            ? "without bound"
            : String.format(Locale.ROOT, "%+.1f%%", 100 * share)
                .replaceFirst("^[+-](0\\.0%)$", "$1");
  }
}
