package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.time.TimeSpan;

/** Tells which endpoints fail more than half of what they get, and when to look at them again. */
final class OutlierDetector {
  /** An attempt a second at an outlier shows its recovery at little cost. */
  static final TimeSpan RETRY_INTERVAL = TimeSpan.ofMs(1000);

  /** How many of an endpoint's last outcomes count. */
  static final int COUNTED_OUTCOMES = 6;

  private static final int MIN_OUTCOMES = 3;

  private final RelayActions actions;

  OutlierDetector(RelayActions actions) {
    this.actions = actions;
  }

  /** Under half successes among its last outcomes, of at least three: it is left alone. */
  boolean isOutlier(Endpoint endpoint) {
    return endpoint.knownResults(COUNTED_OUTCOMES) >= MIN_OUTCOMES
        && 2 * endpoint.failedResults(COUNTED_OUTCOMES) > endpoint.knownResults(COUNTED_OUTCOMES);
  }

  void recordOutcome(Endpoint endpoint, boolean ok) {
    boolean before = isOutlier(endpoint);
    endpoint.recordResult(ok);
    if (!before && isOutlier(endpoint)) {
      endpoint.nextProbeAt = actions.now().plus(RETRY_INTERVAL);
    }
  }

  /** Silence counts when the attempt is overdue, so it doesn't count again at the attempt's end. */
  void attemptEnded(Attempt attempt) {
    boolean ok = attempt.outcome() == AttemptOutcome.OK;
    boolean tells =
        attempt.outcome() != AttemptOutcome.CANCELLED && attempt.outcome() != AttemptOutcome.MOOT;
    if (tells && (ok || !attempt.overdue)) {
      recordOutcome(attempt.endpoint, ok);
    }
    if (ok || attempt.answeredWithError()) {
      attempt.endpoint.lastAnsweredAt = actions.now();
    }
  }

  /**
   * A health check that was answered makes an outlier worth an attempt at once; silence counts like
   * that of an attempt, so three in a row leave it alone.
   */
  void healthChecked(Endpoint endpoint, boolean answered) {
    if (!answered) {
      recordOutcome(endpoint, false);
    } else if (isOutlier(endpoint)) {
      endpoint.nextProbeAt = actions.now();
    }
  }
}
