package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.policy.evidence.LastVote;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Evaluates all evidence on the canary, votes on it and reports this relay's pairs to peers. */
final class CanaryJudge {
  private static final double REPORT_INTERVAL_MS = 500;
  private static final TimeSpan RECAST_INTERVAL = TimeSpan.ofMs(300);
  private static final TimeSpan MISSING_ENDPOINTS_TIMEOUT = TimeSpan.ofMs(8000);
  private static final int PAIRS_TO_ADVANCE = 20;

  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;
  private final BaselinePaceMonitor baselinePace;
  private final LastVote lastVote = new LastVote();

  // Whether neither gossip nor the controller's counts add up what all relays see.
  private final boolean withoutFleetEvidence;

  // Threshold in standard deviations: by chance, one relay of all exceeds it in twenty days.
  private final double detectionDeviations;

  CanaryJudge(
      RelayActions actions,
      Settings settings,
      CanaryStatus canary,
      ArrivalRate arrivals,
      BaselinePaceMonitor baselinePace) {
    this.actions = actions;
    this.settings = settings;
    this.canary = canary;
    this.arrivals = arrivals;
    this.baselinePace = baselinePace;
    withoutFleetEvidence = !settings.gossip && !settings.countsEvery.over(TimeSpan.ZERO);
    detectionDeviations = Math.sqrt(2 * Math.log(20 * settings.relays));
  }

  void stageEntered() {
    lastVote.reset();
  }

  void voteAnswered(VoteReply reply) {
    lastVote.recordReply(reply);
  }

  /** Takes in a peer's latest report of its shadow pairs. */
  void reportReceived(int sender, byte[] report) {
    canary.trial().receiveReport(sender, report);
    evaluate();
  }

  /** Reports new pair counts to peers, twice a second at most; each relay adds them up. */
  void reportToPeers(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean unreported =
        settings.gossip && canary.judgedBuild() != null && !trial.evidence().isReportedToPeers();
    if (unreported
        && (trial.lastReportSentAt() == null
            || TimeChecks.longerThan(REPORT_INTERVAL_MS, trial.lastReportSentAt(), now))) {
      actions.sendToPeers(trial.encodeReport(now));
    }
  }

  /** Votes if the present evidence calls for it. */
  void evaluate() {
    Timestamp now = actions.now();
    if (!baselinePace.isActive(now)) {
      return;
    }
    boolean isReleased = canary.isReleased();
    int failureLead = canary.trial().failureLead();
    boolean failing = isFailing();
    if (!isReleased) {
      baselinePace.updateShadowPause(now);
    }
    StageEvidence evidence = canary.trial().evidence();
    boolean isBlamed = baselinePace.isCanaryBlamed();
    boolean provenWorse =
        failing
            || isBlamed
            || evidence.isSlowerByLatency()
            || evidence.isWorseByCounts()
            || withoutFleetEvidence && isCanarySlower(now);
    if (provenWorse || isReleased && failsAfterRelease(now)) {
      castVote(Verdict.BACK);
    } else if (!isReleased && settings.control == Settings.Control.CLOCKED) {
      if (failureLead > 0 || baselinePace.isInvestigating(now)) {
        castVote(Verdict.HOLD);
      } else if (lastVote.verdict() != Verdict.NONE) {
        castVote(Verdict.NONE);
      }
    } else if (!isReleased && !baselinePace.isInvestigating(now) && mayAdvance(now)) {
      castVote(Verdict.ON);
    }
  }

  /**
   * Whether shadow requests show that the canary fails more than the baseline. Three failures to
   * none suffice, ten to three do not. A single failing endpoint of several does not condemn the
   * build.
   */
  private boolean isFailing() {
    CanaryTrial trial = canary.trial();
    int failureLead = trial.failureLead();
    boolean onSeveralEndpoints =
        trial.failingEndpoints() >= Math.min(2, trial.build.endpoints.size());
    double minDeviations = withoutFleetEvidence ? detectionDeviations / 2 : 1.5;
    return onSeveralEndpoints
            && failureLead >= 3
            && failureLead > 0.01 * trial.pooledPairs()
            && failureLead > minDeviations * trial.leadDeviation()
        || onSeveralEndpoints
            && failureLead > 0
            && failureLead + trial.earlierStagesLead()
                >= Math.max(
                    5, minDeviations * (trial.leadDeviation() + trial.earlierStagesDeviation()));
  }

  /** Whether the canary's latencies exceed the baseline's, compared method by method. */
  private boolean isCanarySlower(Timestamp now) {
    CanaryTrial trial = canary.trial();
    double count = trial.logLatencyExcess.count(now);
    double threshold = Math.max(0.5, detectionDeviations * 0.9 / Math.sqrt(count));
    return count >= 4 && trial.logLatencyExcess.at(now, 0, 1e-9) > threshold;
  }

  /** Whether many endpoints fail, or a slowdown lasts for longer than most bursts do. */
  private boolean failsAfterRelease(Timestamp now) {
    CanaryTrial trial = canary.trial();
    StageEvidence evidence = trial.evidence();
    boolean paceLost = !(baselinePace.meanLogSlowdown(now) < 0.6 || !baselinePace.isSlowed(now));
    trial.lostPace.update(paceLost, baselinePace.meanLogSlowdown(now), now);
    // A fifth of the endpoints may fail for other reasons, so errors count only beyond their share,
    // or if most endpoints have a few.
    boolean highErrorRate =
        withoutFleetEvidence
            && evidence.failingEndpointsAfterRelease() >= 3
            && evidence.errorsAfterRelease() > Math.max(3, 0.25 * evidence.attemptsAfterRelease());
    boolean manyEndpoints =
        evidence.failingEndpointsAfterRelease() >= Math.max(3, 0.6 * trial.build.endpoints.size())
            && evidence.errorsAfterRelease() >= 5;
    return highErrorRate
        || manyEndpoints && evidence.errorsAfterRelease() > 0.02 * evidence.attemptsAfterRelease()
        || trial.lostPace.lostLogSeconds() > (arrivals.reliesOnFleetCounts() ? 4 : 6);
  }

  // Advances after 20 pairs or at a fallback age. Where a single vote advances the stage, relays
  // with few pairs leave the vote to others for two more seconds, and the last stage waits for a
  // KS test, for many pairs or for three more seconds.
  private boolean mayAdvance(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean singleVote = settings.control == Settings.Control.SINGLE;
    int pooledPairs = trial.pooledPairs();
    boolean lastStage = trial.stage() == settings.caps.size() - 1;
    boolean latencyUntested =
        singleVote
            && lastStage
            && trial.evidence().timedPairs() < PAIRS_TO_ADVANCE
            && pooledPairs < 100;
    double fallbackMs = latencyUntested ? 6000 : singleVote && pooledPairs < 5 ? 5000 : 3000;
    // Without fleet evidence, the busiest of many relays must get the time to see enough.
    if (singleVote && withoutFleetEvidence) {
      fallbackMs *= Math.max(1, Math.min(3, Math.log(settings.relays) / Math.log(16)));
    }
    // The age counts from the newest start time in the endpoint list. While the list lacks the
    // stage's new endpoints, the age does not count, for up to 8 s.
    TimeSpan stageAge = now.since(trial.stageStartedAt());
    Timestamp newest = trial.build.newestStart();
    boolean endpointsMissing =
        newest == null
            || trial.stageStartedAt().after(newest) && MISSING_ENDPOINTS_TIMEOUT.over(stageAge);
    boolean fallbackAgeReached =
        !endpointsMissing && now.since(newest).atMost(stageAge).over(TimeSpan.ofMs(fallbackMs));
    return pooledPairs >= PAIRS_TO_ADVANCE && !latencyUntested || fallbackAgeReached;
  }

  /**
   * Casts a vote, or casts it again: votes expire, get lost or arrive too early. A vote that counts
   * is renewed at half its lifetime; one that does not count is repeated soon.
   */
  private void castVote(Verdict verdict) {
    Timestamp now = actions.now();
    boolean isNewVerdict = verdict != lastVote.verdict();
    TimeSpan renewAfter = settings.voteLifetime.times(0.5);
    if (!isNewVerdict && !lastVote.isDue(renewAfter, settings.callTimeout, RECAST_INTERVAL, now)) {
      return;
    }
    CanaryTrial trial = canary.trial();
    // Hundreds of relays cast the same vote ON; only the first relay logs it.
    boolean logged = isNewVerdict && (verdict != Verdict.ON || settings.index == 0);
    if (logged) {
      actions.log(
          "vote " + verdict + " on " + trial + ", pace " + baselinePace.meanLogSlowdown(now));
    }
    lastVote.recordCast(verdict, now);
    actions.vote(trial.build, trial.stage(), verdict);
  }
}
