package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.time.TimeSpan;

/** Detects endpoints that fail more than half of their attempts, and schedules new tries. */
final class OutlierDetector {
  /** Interval between attempts at an outlier; they detect its recovery at little cost. */
  static final TimeSpan RETRY_INTERVAL = TimeSpan.ofMs(1000);

  /** How many of an endpoint's last outcomes are considered. */
  static final int COUNTED_OUTCOMES = 6;

  private static final int MIN_OUTCOMES = 3;

  private final RelayActions actions;

  OutlierDetector(RelayActions actions) {
    this.actions = actions;
  }

  /** Whether more than half of the endpoint's last outcomes, of at least three, are failures. */
  boolean isOutlier(Endpoint endpoint) {
    return endpoint.knownResults(COUNTED_OUTCOMES) >= MIN_OUTCOMES
        && 2 * endpoint.failedResults(COUNTED_OUTCOMES) > endpoint.knownResults(COUNTED_OUTCOMES);
  }

  void recordOutcome(Endpoint endpoint, boolean ok) {
    boolean wasOutlier = isOutlier(endpoint);
    endpoint.recordResult(ok);
    if (!wasOutlier && isOutlier(endpoint)) {
      endpoint.nextProbeAt = actions.now().plus(RETRY_INTERVAL);
    }
  }

  /**
   * Records the outcome of an attempt. An overdue attempt was already counted as a failure, so it
   * does not count again when it ends.
   */
  void attemptEnded(Attempt attempt) {
    boolean ok = attempt.outcome() == AttemptOutcome.OK;
    // A cancelled or moot attempt shows nothing about its endpoint.
    boolean conclusive =
        attempt.outcome() != AttemptOutcome.CANCELLED && attempt.outcome() != AttemptOutcome.MOOT;
    if (conclusive && (ok || !attempt.overdue)) {
      recordOutcome(attempt.endpoint, ok);
    }
    if (ok || attempt.answeredWithError()) {
      attempt.endpoint.lastAnsweredAt = actions.now();
    }
  }

  /**
   * Records a health check. After an answered check an outlier may get an attempt at once. An
   * unanswered check counts like an unanswered attempt, so three in a row make an outlier.
   */
  void healthChecked(Endpoint endpoint, boolean answered) {
    if (!answered) {
      recordOutcome(endpoint, false);
    } else if (isOutlier(endpoint)) {
      endpoint.nextProbeAt = actions.now();
    }
  }
}
