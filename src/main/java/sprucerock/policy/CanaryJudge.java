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

  // Whether this relay can use its own observations only, as there are no reports of peers and no
  // counts from the controller.
  private final boolean withoutFleetEvidence;

  // In standard deviations. By chance, one relay of the whole fleet exceeds this threshold in
  // twenty days.
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
    withoutFleetEvidence =
        !settings.gossipAllowed && !settings.fleetCountsPeriod.over(TimeSpan.ZERO);
    detectionDeviations = Math.sqrt(2 * Math.log(20 * settings.relayCount));
  }

  void stageEntered() {
    lastVote.reset();
  }

  void voteAnswered(VoteReply reply) {
    lastVote.recordReply(reply);
  }

  /** Stores a peer's latest report of its shadow pairs and evaluates the canary again. */
  void reportReceived(int sender, byte[] report) {
    canary.trial().receiveReport(sender, report);
    evaluate();
  }

  /**
   * Reports this relay's pair counts to all peers if they changed, at most twice a second. Each
   * relay adds up the counts of all relays.
   */
  void reportToPeers(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean unreported =
        settings.gossipAllowed
            && canary.judgedBuild() != null
            && !trial.evidence().isReportedToPeers();
    if (unreported
        && (trial.lastReportSentAt() == null
            || TimeChecks.longerThan(REPORT_INTERVAL_MS, trial.lastReportSentAt(), now))) {
      actions.sendToPeers(trial.encodeReport(now));
    }
  }

  /**
   * Casts the vote that the present evidence calls for: BACK if the canary is worse, ON if the
   * stage may advance. Where stages advance by the clock, HOLD to pause the stage, and NONE to
   * withdraw a HOLD.
   */
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
   * Whether shadow pairs show that the canary fails more often than the baseline, either in this
   * stage or in all stages together. Three failures of the canary and none of the baseline suffice;
   * ten and three do not. If only one of several endpoints fails, the build is not failing.
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

  /**
   * Whether the canary's latencies, as this relay measured them, exceed the baseline's by more than
   * chance explains. Latencies are compared within each method.
   */
  private boolean isCanarySlower(Timestamp now) {
    CanaryTrial trial = canary.trial();
    double count = trial.logLatencyExcess.count(now);
    // The standard deviation of the logarithms of latencies is 0.9.
    double threshold = Math.max(0.5, detectionDeviations * 0.9 / Math.sqrt(count));
    return count >= 4 && trial.logLatencyExcess.at(now, 0, 1e-9) > threshold;
  }

  /**
   * Whether the released build must be rolled back: many of its endpoints answer with errors, or
   * the fleet has been slower for longer than most bursts of traffic last.
   */
  private boolean failsAfterRelease(Timestamp now) {
    CanaryTrial trial = canary.trial();
    StageEvidence evidence = trial.evidence();
    boolean fleetSlowed = !(baselinePace.meanLogSlowdown(now) < 0.6 || !baselinePace.isSlowed(now));
    trial.lostPace.update(fleetSlowed, baselinePace.meanLogSlowdown(now), now);
    // A fifth of the endpoints may fail for reasons other than the build. So the errors must exceed
    // the share that these endpoints explain, or come from most endpoints.
    boolean highErrorRate =
        withoutFleetEvidence
            && evidence.failingEndpointsAfterRelease() >= 3
            && evidence.errorsAfterRelease() > Math.max(3, 0.25 * evidence.attemptsAfterRelease());
    boolean manyEndpointsFail =
        evidence.failingEndpointsAfterRelease() >= Math.max(3, 0.6 * trial.build.endpoints.size())
            && evidence.errorsAfterRelease() >= 5;
    return highErrorRate
        || manyEndpointsFail
            && evidence.errorsAfterRelease() > 0.02 * evidence.attemptsAfterRelease()
        || trial.lostPace.logSlowdownSeconds() > (arrivals.reliesOnFleetCounts() ? 4 : 6);
  }

  // Whether the stage may advance: after 20 pairs, or at a fallback age of 3 s. If a single vote
  // advances the stage, two cases wait longer. A relay that knows of fewer than 5 pairs waits until
  // 5 s, so that a relay with more evidence votes first. The last stage waits for the first KS test
  // (20 pairs with latencies) or for 100 pairs, until 6 s.
  private boolean mayAdvance(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean singleVote = settings.control == Settings.Control.SINGLE;
    int pooledPairs = trial.pooledPairs();
    boolean lastStage = trial.stage() == settings.exposureCaps.size() - 1;
    boolean latencyUntested =
        singleVote
            && lastStage
            && trial.evidence().timedPairs() < PAIRS_TO_ADVANCE
            && pooledPairs < 100;
    double fallbackMs = latencyUntested ? 6000 : singleVote && pooledPairs < 5 ? 5000 : 3000;
    // Without fleet evidence, the votes of relays with little traffic must not come before the
    // busiest relay has seen enough pairs. This takes longer in a larger fleet.
    if (singleVote && withoutFleetEvidence) {
      fallbackMs *= Math.max(1, Math.min(3, Math.log(settings.relayCount) / Math.log(16)));
    }
    // The fallback age counts from the start of the stage or of the build's newest endpoint,
    // whichever is later. The stage does not advance by age while the endpoint list lacks the
    // endpoints that the stage added; this exception ends 8 s after the stage's start. Nor does it
    // advance by age if no endpoint of the build has a known start.
    TimeSpan stageAge = now.since(trial.stageStartedAt());
    Timestamp newest = trial.build.latestStart();
    boolean endpointsMissing =
        newest == null
            || trial.stageStartedAt().after(newest) && MISSING_ENDPOINTS_TIMEOUT.over(stageAge);
    boolean fallbackAgeReached =
        !endpointsMissing && now.since(newest).atMost(stageAge).over(TimeSpan.ofMs(fallbackMs));
    return pooledPairs >= PAIRS_TO_ADVANCE && !latencyUntested || fallbackAgeReached;
  }

  /**
   * Casts a new vote at once, and repeats an unchanged vote when it is due, because votes expire,
   * get lost or arrive too early. A vote that counts is repeated after half its lifetime. A vote
   * that does not count is repeated after 300 ms, an unanswered one after the call timeout.
   */
  private void castVote(Verdict verdict) {
    Timestamp now = actions.now();
    boolean isNewVerdict = verdict != lastVote.verdict();
    TimeSpan renewAfter = settings.voteLifetime.times(0.5);
    if (!isNewVerdict
        && !lastVote.isDue(renewAfter, settings.controllerCallTimeout, RECAST_INTERVAL, now)) {
      return;
    }
    CanaryTrial trial = canary.trial();
    // Hundreds of relays cast the same vote ON; only the first relay logs it.
    boolean logged = isNewVerdict && (verdict != Verdict.ON || settings.relayIndex == 0);
    if (logged) {
      actions.log(
          "vote " + verdict + " on " + trial + ", pace " + baselinePace.meanLogSlowdown(now));
    }
    lastVote.recordCast(verdict, now);
    actions.vote(trial.build, trial.stage(), verdict);
  }
}
