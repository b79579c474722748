package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.ShadowPair;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Compares the two attempts of a pair, and notes failures and times as evidence. */
final class ShadowPairJudge {
  private static final int FEW_ENDPOINTS = 3;
  private static final int MAX_MISMATCHES = 2;

  /** The design's age, under which shadow requests look slow as their endpoint is cold. */
  private static final TimeSpan WARM_AGE = TimeSpan.ofMs(5000);

  private final RelayActions actions;
  private final CanaryStatus canary;
  private final LatencyTracker latency;
  private final CanaryJudge canaryJudge;

  ShadowPairJudge(
      RelayActions actions, CanaryStatus canary, LatencyTracker latency, CanaryJudge canaryJudge) {
    this.actions = actions;
    this.canary = canary;
    this.latency = latency;
    this.canaryJudge = canaryJudge;
  }

  /** Judges the pair once, as soon as both sides are known. */
  void judge(ShadowPair pair) {
    Attempt fresh = pair.fresh;
    Attempt earlier = pair.earlier;
    if (pair.judged || earlier == null || !isDecided(fresh, earlier)) {
      return;
    }
    pair.judged = true;
    // Full, out of reach, cancelled or cut off says nothing of a build; time-outs are slowness, for
    // KS.
    if (canary.judgedBuild() != fresh.endpoint.build || fresh.voidsPair() || earlier.voidsPair()) {
      return;
    }
    noteFailures(fresh, earlier);
    noteTimes(fresh, earlier);
    canaryJudge.consider();
  }

  /** An overdue attempt beside one that is done would be seen too late: it counts as that slow. */
  private static boolean isDecided(Attempt fresh, Attempt earlier) {
    if (fresh.outcome() == null && (!fresh.overdue || earlier.outcome() == null)) {
      return false;
    }
    return earlier.outcome() != null || earlier.overdue;
  }

  private void noteFailures(Attempt fresh, Attempt earlier) {
    StageEvidence seen = canary.trial().evidence;
    seen.pairs++;
    boolean few =
        fresh.endpoint.build.endpoints.size()
            < FEW_ENDPOINTS; // else one endpoint gives two mismatches at most
    boolean freshOnly = fresh.erred() && !earlier.erred();
    if (freshOnly && (++fresh.endpoint.excess <= MAX_MISMATCHES || few)) {
      seen.canaryFailed(fresh.endpoint);
    }
    if (earlier.erred() && !fresh.erred()) {
      seen.baselineFailures++;
    }
  }

  private void noteTimes(Attempt fresh, Attempt earlier) {
    StageEvidence seen = canary.trial().evidence;
    Timestamp now = actions.now();
    boolean alike =
        fresh.endpoint.kind == earlier.endpoint.kind
            && !fresh.erred()
            && !earlier.erred()
            && fresh.endpoint.olderThan(WARM_AGE, now)
            && earlier.endpoint.olderThan(WARM_AGE, now);
    int n =
        alike
            ? seen.addTimes(latency.relativeTime(fresh, now), latency.relativeTime(earlier, now))
            : 0;
    boolean test = n == 20 || n == 40 || n == 80;
    seen.slowerByTimes |= test && seen.slowerSide() > Math.max(0.25, 1.63 * Math.sqrt(2.0 / n));
  }

  /** A wrong answer that a client reported stands as a mismatch of its side. */
  void answerReportedWrong(Endpoint endpoint) {
    if (canary.trial() == null) {
      return;
    }
    if (canary.isCanary(endpoint.build)) {
      canary.trial().evidence.canaryFailed(endpoint);
    } else {
      canary.trial().evidence.baselineFailures++;
    }
    canaryJudge.consider();
  }
}
