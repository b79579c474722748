package sprucerock.stats;

import java.util.Arrays;

/** The Kolmogorov-Smirnov distance between two samples. */
public final class KolmogorovSmirnov {
  private KolmogorovSmirnov() {}

  /**
   * One-sided: how far the share of {@code slow} above some value exceeds that of {@code fast}, at
   * most.
   */
  public static double slowerSide(double[] slow, double[] fast) {
    double[] s = slow.clone();
    double[] f = fast.clone();
    Arrays.sort(s);
    Arrays.sort(f);
    double most = 0;
    int i = 0;
    for (int j = 0; j < f.length; j++) {
      while (i < s.length && s[i] <= f[j]) {
        i++;
      }
      most = Math.max(most, (j + 1.0) / f.length - (double) i / s.length);
    }
    return most;
  }
}
