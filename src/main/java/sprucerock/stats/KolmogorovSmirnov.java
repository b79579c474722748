package sprucerock.stats;

import java.util.Arrays;

/** The Kolmogorov-Smirnov distance between two samples. */
public final class KolmogorovSmirnov {
  private KolmogorovSmirnov() {}

  /**
   * The one-sided distance: the largest excess, over all values, of the share of {@code slow} above
   * the value beyond the share of {@code fast} above it; 0 to 1.
   */
  public static double oneSidedDistance(double[] slow, double[] fast) {
    double[] s = slow.clone();
    double[] f = fast.clone();
    Arrays.sort(s);
    Arrays.sort(f);
    double distance = 0;
    int i = 0;
    for (int j = 0; j < f.length; j++) {
      while (i < s.length && s[i] <= f[j]) {
        i++;
      }
      distance = Math.max(distance, (j + 1.0) / f.length - (double) i / s.length);
    }
    return distance;
  }
}
