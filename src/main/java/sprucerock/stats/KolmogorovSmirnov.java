package sprucerock.stats;

import java.util.Arrays;

/** The Kolmogorov-Smirnov distance between two samples. */
public final class KolmogorovSmirnov {
  private KolmogorovSmirnov() {}

  /**
   * The one-sided distance, from 0 to 1: over all values v, the largest difference between the
   * share of {@code slow} above v and the share of {@code fast} above v.
   */
  public static double oneSidedDistance(double[] slow, double[] fast) {
    double[] sortedSlow = slow.clone();
    double[] sortedFast = fast.clone();
    Arrays.sort(sortedSlow);
    Arrays.sort(sortedFast);
    double distance = 0;
    int i = 0;
    for (int j = 0; j < sortedFast.length; j++) {
      while (i < sortedSlow.length && sortedSlow[i] <= sortedFast[j]) {
        i++;
      }
      distance = Math.max(distance, (j + 1.0) / sortedFast.length - (double) i / sortedSlow.length);
    }
    return distance;
  }
}
