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
  private static final TimeSpan MIN_ENDPOINT_AGE = TimeSpan.ofMs(5000);

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
    Attempt shadow = pair.canary;
    Attempt baseline = pair.baseline;
    if (pair.judged || baseline == null || !isDecided(shadow, baseline)) {
      return;
    }
    pair.judged = true;
    // Full, out of reach, cancelled or cut off says nothing of a build; time-outs are slowness, for
    // KS.
    if (canary.judgedBuild() != shadow.endpoint.build
        || shadow.voidsPair()
        || baseline.voidsPair()) {
      return;
    }
    recordFailures(shadow, baseline);
    recordLatencies(shadow, baseline);
    canaryJudge.evaluate();
  }

  /** An overdue attempt beside one that is done would be seen too late: it counts as that slow. */
  private static boolean isDecided(Attempt shadow, Attempt baseline) {
    if (shadow.outcome() == null && (!shadow.overdue || baseline.outcome() == null)) {
      return false;
    }
    return baseline.outcome() != null || baseline.overdue;
  }

  private void recordFailures(Attempt shadow, Attempt baseline) {
    StageEvidence seen = canary.trial().evidence();
    seen.pairs++;
    boolean few =
        shadow.endpoint.build.endpoints.size()
            < FEW_ENDPOINTS; // else one endpoint gives two mismatches at most
    boolean shadowOnly = shadow.answeredWithError() && !baseline.answeredWithError();
    if (shadowOnly && (++shadow.endpoint.excess <= MAX_MISMATCHES || few)) {
      seen.recordCanaryFailure(shadow.endpoint);
    }
    if (baseline.answeredWithError() && !shadow.answeredWithError()) {
      seen.baselineFailures++;
    }
  }

  private void recordLatencies(Attempt shadow, Attempt baseline) {
    StageEvidence seen = canary.trial().evidence();
    Timestamp now = actions.now();
    boolean alike =
        shadow.endpoint.kind == baseline.endpoint.kind
            && !shadow.answeredWithError()
            && !baseline.answeredWithError()
            && shadow.endpoint.olderThan(MIN_ENDPOINT_AGE, now)
            && baseline.endpoint.olderThan(MIN_ENDPOINT_AGE, now);
    int n =
        alike
            ? seen.addLatencies(
                latency.relativeLatency(shadow, now), latency.relativeLatency(baseline, now))
            : 0;
    boolean test = n == 20 || n == 40 || n == 80;
    if (test && seen.slownessDistance() > Math.max(0.25, 1.63 * Math.sqrt(2.0 / n))) {
      seen.markSlowerByLatency();
    }
  }

  /** A wrong answer that a client reported stands as a mismatch of its side. */
  void answerReportedWrong(Endpoint endpoint) {
    if (canary.trial() == null) {
      return;
    }
    if (canary.isCanary(endpoint.build)) {
      canary.trial().evidence().recordCanaryFailure(endpoint);
    } else {
      canary.trial().evidence().baselineFailures++;
    }
    canaryJudge.evaluate();
  }
}
