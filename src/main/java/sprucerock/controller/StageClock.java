package sprucerock.controller;

import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Decides from the elapsed time and the counted votes which transitions a rollout may make. */
final class StageClock {
  private final RolloutRules rules;
  private final BallotBox ballots;

  StageClock(RolloutRules rules, BallotBox ballots) {
    this.rules = rules;
    this.ballots = ballots;
  }

  /** Whether the stage's endpoints were not ready in time. */
  boolean startTimedOut(Rollout rollout, Timestamp now) {
    return rollout.clockStart == null
        && !rollout.heldByOperator
        && now.since(rollout.since).over(rules.startTimeout());
  }

  /**
   * Whether the stage clock runs, which it does unless enough relays vote to hold. It matters only
   * under {@link RolloutRules.Control#CLOCKED}.
   */
  boolean running(Timestamp now) {
    return ballots.count(Vote.HOLD, now) < rules.votesToPause();
  }

  /**
   * Adds the time since the last update to the paused time if the stage clock was paused. Used only
   * under {@link RolloutRules.Control#CLOCKED}.
   */
  void addPausedTime(Rollout rollout, Timestamp now) {
    if (!rollout.clockRunning && rollout.clockUpdatedAt != null && rollout.clockStart != null) {
      rollout.pausedTime = rollout.pausedTime.plus(now.since(rollout.clockUpdatedAt));
    }
    rollout.clockUpdatedAt = now;
  }

  /** Whether the stage has lasted long enough, and the votes or the clock allow the next one. */
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

  /** Whether enough relays vote to roll back. */
  boolean mustRollBack(Timestamp now) {
    return ballots.count(Vote.BACK, now) >= rules.votesToRollBack();
  }

  /**
   * Whether a released build can still be rolled back: it can during the observation time, if there
   * is a previous build.
   */
  boolean underObservation(Rollout rollout, int previousBuild, Timestamp now) {
    return rollout.state == State.RELEASED
        && previousBuild != rollout.build
        && !now.since(rollout.since).over(rules.observationTime());
  }

  /** Whether relays have been notified of the rollback for long enough to withdraw the build. */
  boolean rollbackOver(Rollout rollout, Timestamp now) {
    return now.since(rollout.since).over(rules.rollbackTime());
  }
}
