package sprucerock.stats;

/** Two shares beside each other. */
public final class Proportions {
  private Proportions() {}

  /**
   * The standard error of the difference of two shares, if both samples came from one population.
   */
  public static double error(double hits, double size, double otherHits, double otherSize) {
    double pooled = (hits + otherHits + 1) / (size + otherSize + 2);
    return Math.sqrt(pooled * (1 - pooled) * (1 / size + 1 / Math.max(otherSize, 1)));
  }
}
