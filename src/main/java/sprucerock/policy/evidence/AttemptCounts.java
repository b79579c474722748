package sprucerock.policy.evidence;

/** Attempts and failures of one method, as the controller counted them in samples. */
public final class AttemptCounts {
  private double attempts;
  private double failures;

  /** Adds the counts of one period, which may be fractions, as samples are scaled up. */
  public void add(double moreAttempts, double moreFailures) {
    attempts += moreAttempts;
    failures += moreFailures;
  }

  /** The number of attempts. */
  public double attempts() {
    return attempts;
  }

  /** The number of failed attempts, including timeouts. */
  public double failures() {
    return failures;
  }
}
