package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.AttemptCounts;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.stats.Proportions;
import sprucerock.time.TimeSpan;

/**
 * Judges the canary by the controller's counts of a sample of all relays' attempts.
 *
 * <p>The counts reveal builds that are bad for methods without shadow requests, and tell relays
 * with little traffic the baseline's latency. The counted failures include timeouts. So they are
 * held against the canary only if this relay's attempts or the shadow pairs showed errors too.
 */
final class FleetCounts {
  private static final double MIN_ATTEMPTS = 12;
  private static final double MIN_FAILURES = 3;

  // By chance, one evaluation in 4,000 exceeds so many standard errors.
  private static final double MIN_STANDARD_ERRORS = 3.5;

  // The canary's failure rate minus the baseline's.
  private static final double MIN_EXCESS_RATE = 0.05;

  // Higher, as a fifth of the endpoints may fail for reasons other than the build.
  private static final double MIN_EXCESS_RATE_RELEASED = 0.25;

  private final Settings settings;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;
  private final BaselinePaceMonitor baselinePace;
  private final CanaryJudge canaryJudge;

  FleetCounts(
      Settings settings,
      CanaryStatus canary,
      ArrivalRate arrivals,
      BaselinePaceMonitor baselinePace,
      CanaryJudge canaryJudge) {
    this.settings = settings;
    this.canary = canary;
    this.arrivals = arrivals;
    this.baselinePace = baselinePace;
    this.canaryJudge = canaryJudge;
  }

  /**
   * Adds one period's attempts and failures of one method at one build.
   *
   * @param mean the mean latency
   */
  void countsReceived(Build build, Method method, double attempts, double failed, TimeSpan mean) {
    if (!canary.isOnTrial(build) && arrivals.reliesOnFleetCounts() && attempts > failed) {
      baselinePace.observe(BaselinePaceMonitor.FLEET_COUNTS, method, mean.ms(), attempts - failed);
    }
    CanaryTrial trial = canary.trial();
    if (trial == null || build.number > trial.build.number) {
      return;
    }
    AttemptCounts atCanary = trial.canaryCounts(method.index);
    AttemptCounts atBaseline = trial.baselineCounts(method.index);
    AttemptCounts counts = canary.isCanary(build) ? atCanary : atBaseline;
    counts.add(attempts, failed);
    if (atCanary.attempts() < MIN_ATTEMPTS
        || atCanary.failures() < MIN_FAILURES
        || !isConfirmedByErrors()) {
      return;
    }
    double standardError =
        Proportions.standardErrorOfDifference(
            atCanary.failures(), atCanary.attempts(), atBaseline.failures(), atBaseline.attempts());
    double excessByChance = MIN_STANDARD_ERRORS * standardError;
    double excess =
        atCanary.failures() / atCanary.attempts()
            - atBaseline.failures() / Math.max(atBaseline.attempts(), 1);
    double minExcess = canary.isReleased() ? MIN_EXCESS_RATE_RELEASED : MIN_EXCESS_RATE;
    if (excess > Math.max(minExcess, excessByChance)) {
      trial.evidence().markWorseByCounts();
    }
    canaryJudge.evaluate();
  }

  private boolean isConfirmedByErrors() {
    CanaryTrial trial = canary.trial();
    if (canary.isReleased()) {
      return trial.evidence().errorsAfterRelease() > 2;
    }
    return settings.gossipAllowed
        ? trial.failureLead() > 0.01 * trial.pooledPairs()
        : trial.isErrorSeen();
  }
}
