package sprucerock.controller;

import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What the time that has passed, and the votes that stand, allow of a rollout. */
final class StageClock {
  private final RolloutRules rules;
  private final BallotBox ballots;

  StageClock(RolloutRules rules, BallotBox ballots) {
    this.rules = rules;
    this.ballots = ballots;
  }

  /** Its endpoints were not there in time. */
  boolean startTimedOut(Rollout rollout, Timestamp now) {
    return rollout.clockStart == null
        && !rollout.heldByOperator
        && now.since(rollout.since).over(rules.startTimeout());
  }

  /** Under the clock: whether so few relays hold the stage that its time counts. */
  boolean running(Timestamp now) {
    return ballots.count(Vote.HOLD, now) < rules.votesToPause();
  }

  /** Under the clock: the time since the last update does not count if the clock stood then. */
  void addPausedTime(Rollout rollout, Timestamp now) {
    if (!rollout.clockRunning && rollout.clockUpdatedAt != null && rollout.clockStart != null) {
      rollout.pausedTime = rollout.pausedTime.plus(now.since(rollout.clockUpdatedAt));
    }
    rollout.clockUpdatedAt = now;
  }

  /** Its stage has lasted long enough, and by votes or the clock the next may begin. */
  boolean mayAdvance(Rollout rollout, Timestamp now) {
    if (rollout.clockStart == null || rollout.heldByOperator) {
      return false;
    }
    TimeSpan elapsed = now.since(rollout.clockStart).minus(rollout.pausedTime);
    if (rules.control() != RolloutRules.Control.CLOCKED) {
      return elapsed.over(rules.minStageTime())
          && ballots.count(Vote.ON, now) >= rules.votesToAdvance();
    }
    return running(now) && rollout.clockRunning && elapsed.over(rules.clockedStageTime());
  }

  /** Enough relays vote to go back. */
  boolean mustRollBack(Timestamp now) {
    return ballots.count(Vote.BACK, now) >= rules.votesToRollBack();
  }

  /** A released build can still be sent back for a time, if there is one to go back to. */
  boolean underObservation(Rollout rollout, int previousBuild, Timestamp now) {
    return rollout.state == State.RELEASED
        && previousBuild != rollout.build
        && !now.since(rollout.since).over(rules.observationTime());
  }

  /** It was told as going back for so long that it is withdrawn. */
  boolean rollbackOver(Rollout rollout, Timestamp now) {
    return now.since(rollout.since).over(rules.rollbackTime());
  }
}
