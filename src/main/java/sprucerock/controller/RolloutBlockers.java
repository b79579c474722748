package sprucerock.controller;

import java.util.ArrayList;
import java.util.List;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Describes for people what the current rollout waits for. */
final class RolloutBlockers {
  private final RolloutManager manager;
  private final RolloutRules rules;
  private final BallotBox ballots;

  RolloutBlockers(RolloutManager manager, RolloutRules rules, BallotBox ballots) {
    this.manager = manager;
    this.rules = rules;
    this.ballots = ballots;
  }

  /** Returns a line for each condition that holds the rollout up; empty if no rollout is open. */
  List<String> lines(Timestamp now) {
    List<String> lines = new ArrayList<>();
    Rollout open = manager.openRollout();
    if (open == null) {
      return lines;
    }
    if (open.heldByOperator) {
      lines.add("an operator holds it");
    }
    if (open.state == State.ANNOUNCED) {
      lines.add("the rollback of build " + manager.current.build + " to end");
    }
    if (open.state == State.GOING_BACK) {
      lines.add("the rollback time to end");
    }
    boolean running = open.state == State.STARTING || open.state == State.ON_TRIAL;
    if (running && open.readyEndpoints < manager.desiredEndpoints(open.stage)) {
      lines.add(
          "units: "
              + open.readyEndpoints
              + " of "
              + manager.desiredEndpoints(open.stage)
              + " are there");
    }
    if (open.state != State.ON_TRIAL || open.clockStart == null) {
      return lines;
    }
    addVotes(open, lines, now);
    return lines;
  }

  private void addVotes(Rollout open, List<String> lines, Timestamp now) {
    TimeSpan elapsed = now.since(open.clockStart).minus(open.pausedTime);
    if (rules.control() == RolloutRules.Control.CLOCKED) {
      lines.add(
          "the clocked stage time: "
              + Math.round(elapsed.ms())
              + " of "
              + Math.round(rules.clockedStageTime().ms())
              + " ms; "
              + ballots.count(Vote.HOLD, now)
              + " relays vote to hold, "
              + rules.votesToPause()
              + " pause the clock");
    } else {
      if (!elapsed.over(rules.minStageTime())) {
        lines.add(
            "its least time: "
                + Math.round(elapsed.ms())
                + " of "
                + Math.round(rules.minStageTime().ms())
                + " ms");
      }
      lines.add("votes to go on: " + ballots.count(Vote.ON, now) + " of " + rules.votesToAdvance());
    }
    lines.add(
        "votes to go back: " + ballots.count(Vote.BACK, now) + " of " + rules.votesToRollBack());
  }
}
