package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.ShadowPair;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Compares the two attempts of a shadow pair and records failures and latencies as evidence. */
final class ShadowPairJudge {
  // Builds with fewer endpoints have no limit of mismatches per endpoint.
  private static final int MIN_ENDPOINTS_FOR_LIMIT = 3;

  private static final int MAX_MISMATCHES_PER_ENDPOINT = 2;

  /** Below this age, set by the design, an endpoint is cold and its answers look slow. */
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

  /** Judges the pair once, as soon as the results of both attempts are known. */
  void judge(ShadowPair pair) {
    Attempt shadow = pair.canary;
    Attempt baseline = pair.baseline;
    if (pair.judged || baseline == null || !isDecided(shadow, baseline)) {
      return;
    }
    pair.judged = true;
    // An attempt that was rejected as full, not connected, cancelled or cut off says nothing about
    // the build. Timeouts count as slowness, for the KS test.
    if (canary.judgedBuild() != shadow.endpoint.build
        || shadow.voidsShadowPair()
        || baseline.voidsShadowPair()) {
      return;
    }
    recordFailures(shadow, baseline);
    recordLatencies(shadow, baseline);
    canaryJudge.evaluate();
  }

  /**
   * Whether the results of both attempts are known. If one attempt has ended, the other one may be
   * overdue instead, and its age so far counts as its latency: its end would come too late for the
   * trial.
   */
  private static boolean isDecided(Attempt shadow, Attempt baseline) {
    if (shadow.outcome() == null && (!shadow.overdue || baseline.outcome() == null)) {
      return false;
    }
    return baseline.outcome() != null || baseline.overdue;
  }

  private void recordFailures(Attempt shadow, Attempt baseline) {
    StageEvidence evidence = canary.trial().evidence();
    evidence.pairs++;
    // One endpoint adds at most two mismatches, unless the build has too few endpoints.
    boolean isUnlimited = shadow.endpoint.build.endpoints.size() < MIN_ENDPOINTS_FOR_LIMIT;
    boolean onlyShadowFailed = shadow.answeredWithError() && !baseline.answeredWithError();
    if (onlyShadowFailed
        && (++shadow.endpoint.trialFailures <= MAX_MISMATCHES_PER_ENDPOINT || isUnlimited)) {
      evidence.recordCanaryFailure(shadow.endpoint);
    }
    if (baseline.answeredWithError() && !shadow.answeredWithError()) {
      evidence.baselineFailures++;
    }
  }

  private void recordLatencies(Attempt shadow, Attempt baseline) {
    StageEvidence evidence = canary.trial().evidence();
    Timestamp now = actions.now();
    boolean comparable =
        shadow.endpoint.hardwareFamily == baseline.endpoint.hardwareFamily
            && !shadow.answeredWithError()
            && !baseline.answeredWithError()
            && shadow.endpoint.olderThan(MIN_ENDPOINT_AGE, now)
            && baseline.endpoint.olderThan(MIN_ENDPOINT_AGE, now);
    int timedPairs =
        comparable
            ? evidence.addLatencies(
                latency.relativeLatency(shadow, now), latency.relativeLatency(baseline, now))
            : 0;
    boolean isTestDue = timedPairs == 20 || timedPairs == 40 || timedPairs == 80;
    // 1.63 gives the one-sided KS test a significance level of 0.5%.
    if (isTestDue
        && evidence.slownessDistance() > Math.max(0.25, 1.63 * Math.sqrt(2.0 / timedPairs))) {
      evidence.markSlowerByLatency();
    }
  }

  /** Counts a wrong answer that a client reported as a mismatch against the endpoint's build. */
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
