package sprucerock.stats;

/** Comparison of two proportions. */
public final class Proportions {
  private Proportions() {}

  /**
   * The standard error of the difference of two proportions, if both samples come from the same
   * population. The population's proportion is estimated from both samples together, with one hit
   * and one miss added.
   */
  public static double standardErrorOfDifference(
      double hits, double size, double otherHits, double otherSize) {
    double pooled = (hits + otherHits + 1) / (size + otherSize + 2);
    return Math.sqrt(pooled * (1 - pooled) * (1 / size + 1 / Math.max(otherSize, 1)));
  }
}
