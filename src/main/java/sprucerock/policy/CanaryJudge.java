package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.policy.evidence.LastVote;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Weighs all evidence on the canary, votes on it, and tells peers of the pairs seen here. */
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
  private final boolean
      withoutFleetEvidence; // neither peers nor the controller's counts add up what relays see
  private final double detectionDeviations; // marks for one unlucky relay among all in twenty days

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

  /** A peer's latest report of its pairs. */
  void reportReceived(int sender, byte[] report) {
    canary.trial().receiveReport(sender, report);
    evaluate();
  }

  /** Peers tell each other their pairs, twice a second at most, and add them up. */
  void reportToPeers(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean news =
        settings.gossip && canary.judgedBuild() != null && !trial.evidence().isReportedToPeers();
    if (news
        && (trial.lastReportSentAt() == null
            || TimeChecks.longerThan(REPORT_INTERVAL_MS, trial.lastReportSentAt(), now))) {
      actions.sendToPeers(trial.encodeReport(now));
    }
  }

  /** Votes, where the evidence as it stands now says so. */
  void evaluate() {
    Timestamp now = actions.now();
    if (!baselinePace.isActive(now)) {
      return;
    }
    boolean released = canary.isReleased();
    int lead = canary.trial().failureLead();
    boolean failing = isFailing();
    if (!released) {
      baselinePace.updateShadowPause(now);
    }
    StageEvidence seen = canary.trial().evidence();
    boolean blamed = baselinePace.isCanaryBlamed();
    boolean proven =
        failing
            || blamed
            || seen.isSlowerByLatency()
            || seen.isWorseByCounts()
            || withoutFleetEvidence && isCanarySlower(now);
    if (proven || released && failsAfterRelease(now)) {
      castVote(Verdict.BACK);
    } else if (!released && settings.control == Settings.Control.CLOCKED) {
      if (lead > 0 || baselinePace.isInvestigating(now)) {
        castVote(Verdict.HOLD);
      } else if (lastVote.verdict() != Verdict.NONE) {
        castVote(Verdict.NONE);
      }
    } else if (!released && !baselinePace.isInvestigating(now) && mayAdvance(now)) {
      castVote(Verdict.ON);
    }
  }

  /** Three to none is enough, ten to three is not; one sick endpoint of several is no bad build. */
  private boolean isFailing() {
    CanaryTrial trial = canary.trial();
    int lead = trial.failureLead();
    boolean spread = trial.failingEndpoints() >= Math.min(2, trial.build.endpoints.size());
    double few = withoutFleetEvidence ? detectionDeviations / 2 : 1.5;
    return spread
            && lead >= 3
            && lead > 0.01 * trial.pooledPairs()
            && lead > few * trial.leadDeviation()
        || spread
            && lead > 0
            && lead + trial.earlierStagesLead()
                >= Math.max(5, few * (trial.leadDeviation() + trial.earlierStagesDeviation()));
  }

  /** By its pace, against the baseline by method. */
  private boolean isCanarySlower(Timestamp now) {
    CanaryTrial trial = canary.trial();
    double count = trial.logLatencyExcess.count(now);
    double mark = Math.max(0.5, detectionDeviations * 0.9 / Math.sqrt(count));
    return count >= 4 && trial.logLatencyExcess.at(now, 0, 1e-9) > mark;
  }

  /** Failures on many endpoints, or a pace that is gone for longer than most bursts last. */
  private boolean failsAfterRelease(Timestamp now) {
    CanaryTrial trial = canary.trial();
    StageEvidence seen = trial.evidence();
    boolean lost = !(baselinePace.meanLogSlowdown(now) < 0.6 || !baselinePace.isSlowed(now));
    trial.lostPace.update(lost, baselinePace.meanLogSlowdown(now), now);
    // more than a fifth of the endpoints that fail for other reasons; or a few errors on most
    boolean share =
        withoutFleetEvidence
            && seen.failingEndpointsAfterRelease() >= 3
            && seen.errorsAfterRelease() > Math.max(3, 0.25 * seen.attemptsAfterRelease());
    boolean many =
        seen.failingEndpointsAfterRelease() >= Math.max(3, 0.6 * trial.build.endpoints.size())
            && seen.errorsAfterRelease() >= 5;
    return share
        || many && seen.errorsAfterRelease() > 0.02 * seen.attemptsAfterRelease()
        || trial.lostPace.lostLogSeconds() > (arrivals.reliesOnFleetCounts() ? 4 : 6);
  }

  // After 20 pairs or at the fallback age. Where one vote moves the stage, relays that saw little
  // leave it to others for two seconds more; the last stage waits for a KS test or many pairs, or
  // three seconds more.
  private boolean mayAdvance(Timestamp now) {
    CanaryTrial trial = canary.trial();
    boolean single = settings.control == Settings.Control.SINGLE;
    int pairs = trial.pooledPairs();
    boolean last = trial.stage() == settings.caps.size() - 1;
    boolean untested =
        single && last && trial.evidence().timedPairs() < PAIRS_TO_ADVANCE && pairs < 100;
    double fallbackMs = untested ? 6000 : single && pairs < 5 ? 5000 : 3000;
    // alone, the busiest of many relays must see enough first
    if (single && withoutFleetEvidence) {
      fallbackMs *= Math.max(1, Math.min(3, Math.log(settings.relays) / Math.log(16)));
    }
    // by the start times in the list; while a stage's new endpoints aren't listed, none up to 8 s
    TimeSpan known = now.since(trial.stageStartedAt());
    Timestamp newest = trial.build.newestStart();
    boolean missing =
        newest == null
            || trial.stageStartedAt().after(newest) && MISSING_ENDPOINTS_TIMEOUT.over(known);
    boolean old = !missing && now.since(newest).atMost(known).over(TimeSpan.ofMs(fallbackMs));
    return pairs >= PAIRS_TO_ADVANCE && !untested || old;
  }

  /**
   * Votes expire, get lost or come early: cast anew at half their life, soon where one did not
   * count.
   */
  private void castVote(Verdict verdict) {
    Timestamp now = actions.now();
    boolean anew = verdict != lastVote.verdict();
    TimeSpan renew = settings.voteLifetime.times(0.5);
    if (!anew && !lastVote.isDue(renew, settings.callTimeout, RECAST_INTERVAL, now)) {
      return;
    }
    CanaryTrial trial = canary.trial();
    boolean logged = anew && (verdict != Verdict.ON || settings.index == 0); // hundreds say it
    if (logged) {
      actions.log(
          "vote " + verdict + " on " + trial + ", pace " + baselinePace.meanLogSlowdown(now));
    }
    lastVote.recordCast(verdict, now);
    actions.vote(trial.build, trial.stage(), verdict);
  }
}
