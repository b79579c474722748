package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.AttemptCounts;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.stats.Proportions;
import sprucerock.time.TimeSpan;

/**
 * Judges the canary by what the controller counted in a sample of all relays' attempts. These show
 * builds bad for methods that are never shadowed, and give quiet relays the pace of the baseline.
 * They hold time-outs too: errors that attempts or pairs showed must bear them out.
 */
final class FleetCounts {
  private static final double MIN_ATTEMPTS = 12;
  private static final double MIN_FAILURES = 3;
  private static final double STANDARD_ERRORS = 3.5; // one look in 4,000 by chance
  private static final double MIN_EXCESS = 0.05;
  private static final double MIN_EXCESS_RELEASED = 0.25; // a fifth of endpoints may fail anyway

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

  /** Attempts and failures of one method at one build in one period, and the mean time. */
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
        || !isBorneOutByErrors()) {
      return;
    }
    double error =
        Proportions.standardErrorOfDifference(
            atCanary.failures(), atCanary.attempts(), atBaseline.failures(), atBaseline.attempts());
    double mark = STANDARD_ERRORS * error;
    double excess =
        atCanary.failures() / atCanary.attempts()
            - atBaseline.failures() / Math.max(atBaseline.attempts(), 1);
    double least = canary.isReleased() ? MIN_EXCESS_RELEASED : MIN_EXCESS;
    if (excess > Math.max(least, mark)) {
      trial.evidence().markWorseByCounts();
    }
    canaryJudge.evaluate();
  }

  private boolean isBorneOutByErrors() {
    CanaryTrial trial = canary.trial();
    if (canary.isReleased()) {
      return trial.evidence().errorsAfterRelease() > 2;
    }
    return settings.gossipAllowed
        ? trial.failureLead() > 0.01 * trial.pooledPairs()
        : trial.isErrorSeen();
  }
}
