package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.stats.Shares;
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
  void received(Build build, Method method, double attempts, double failed, TimeSpan mean) {
    if (!canary.isOnTrial(build) && arrivals.isQuiet() && attempts > failed) {
      baselinePace.observe(BaselinePaceMonitor.FLEET_COUNTS, method, mean.ms(), attempts - failed);
    }
    CanaryTrial trial = canary.trial();
    if (trial == null || build.number > trial.build.number) {
      return;
    }
    double[] fresh = trial.canaryCounts[method.index];
    double[] earlier = trial.baselineCounts[method.index];
    double[] counts = canary.isCanary(build) ? fresh : earlier;
    counts[0] += attempts;
    counts[1] += failed;
    if (fresh[0] < MIN_ATTEMPTS || fresh[1] < MIN_FAILURES || !isBorneOut()) {
      return;
    }
    double mark = STANDARD_ERRORS * Shares.error(fresh[1], fresh[0], earlier[1], earlier[0]);
    double excess = fresh[1] / fresh[0] - earlier[1] / Math.max(earlier[0], 1);
    double least = canary.isReleased() ? MIN_EXCESS_RELEASED : MIN_EXCESS;
    trial.evidence.worseByCounts |= excess > Math.max(least, mark);
    canaryJudge.consider();
  }

  private boolean isBorneOut() {
    CanaryTrial trial = canary.trial();
    if (canary.isReleased()) {
      return trial.evidence.errorsAfterRelease > 2;
    }
    return settings.peers ? trial.failureLead() > 0.01 * trial.pooledCounts()[0] : trial.errorSeen;
  }
}
