package sprucerock.agent;

import sprucerock.time.TimeSpan;

/**
 * Counts failed runs in a row, and has the pause before the next start: it doubles up to a bound.
 */
final class RestartBackoff {
  /** Of a new version; a single start may fail for reasons that are not the version's. */
  private static final int MAX_FAILED_RUNS = 3;

  /** As long as a start takes. */
  private static final TimeSpan FIRST_PAUSE = TimeSpan.ofMs(500);

  /** A version that ran well will again, once what ails the machine is over. */
  private static final TimeSpan MAX_PAUSE = TimeSpan.ofMs(30_000);

  /** The bound is reached long before this. */
  private static final int MAX_DOUBLINGS = 19;

  private int failedRuns;

  void reset() {
    failedRuns = 0;
  }

  void runFailed() {
    failedRuns++;
  }

  /** Whether a version that never ran well has had all its attempts. */
  boolean isExhausted() {
    return failedRuns >= MAX_FAILED_RUNS;
  }

  /** The pause after the last failed run. */
  TimeSpan pause() {
    int doublings = Math.min(failedRuns - 1, MAX_DOUBLINGS);
    return FIRST_PAUSE.times(Math.pow(2, doublings)).atMost(MAX_PAUSE);
  }
}
