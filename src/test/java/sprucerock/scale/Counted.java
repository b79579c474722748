package sprucerock.scale;

import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.function.IntToDoubleFunction;

/**
 * A cost that is counted, never timed, at several sizes of one thing: entries looked at, messages,
 * bytes, records. Its verdict is the form in which it grows, so it does not hang on the machine.
 * Whether such a test can fail is shown once against the form that it was written for.
 */
final class Counted {
  private final String what;
  private final int[] sizes;
  private final double[] costs;

  private Counted(String what, int[] sizes, double[] costs) {
    this.what = what;
    this.sizes = sizes;
    this.costs = costs;
  }

  static Counted at(String what, IntToDoubleFunction cost, int... sizes) {
    double[] costs = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      costs[i] = cost.applyAsDouble(sizes[i]);
      System.out.printf(Locale.ROOT, "counted: %s: at %d %.2f%n", what, sizes[i], costs[i]);
    }
    return new Counted(what, sizes, costs);
  }

  /**
   * It does not grow with the size, but for that factor; {@code and} is the most that it may be at
   * all.
   */
  void isFlat(double factor, double most) {
    for (int i = 0; i < sizes.length; i++) {
      assertTrue(
          costs[i] <= Math.max(costs[0], 1) * factor && costs[i] <= most,
          what
              + " costs "
              + costs[i]
              + " at "
              + sizes[i]
              + " and "
              + costs[0]
              + " at "
              + sizes[0]
              + "; at most "
              + most
              + " is meant");
    }
  }

  /** It grows as the size does, or less: a slope, not a product. */
  void growsAsTheSize(double factor) {
    for (int i = 1; i < sizes.length; i++) {
      double allowed = Math.max(costs[0], 1) * sizes[i] / sizes[0] * factor;
      assertTrue(
          costs[i] <= allowed,
          what
              + " costs "
              + costs[i]
              + " at "
              + sizes[i]
              + ", more than "
              + allowed
              + ": it grows faster than the size");
    }
  }
}
