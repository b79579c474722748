package sprucerock.policy.evidence;

/** Attempts and failures of one method, as the controller counted them in samples. */
public final class AttemptCounts {
  private double attempts;
  private double failures;

  /** Adds one period's counts; fractions are possible, since samples are scaled up. */
  public void add(double moreAttempts, double moreFailures) {
    attempts += moreAttempts;
    failures += moreFailures;
  }

  /** All attempts that were counted. */
  public double attempts() {
    return attempts;
  }

  /** Those of them that failed, timed out ones too. */
  public double failures() {
    return failures;
  }
}
