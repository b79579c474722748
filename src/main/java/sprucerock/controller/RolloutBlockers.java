package sprucerock.controller;

import java.util.ArrayList;
import java.util.List;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Says for people what the current rollout waits for. */
final class RolloutBlockers {
  private final RolloutManager manager;
  private final RolloutRules rules;
  private final BallotBox ballots;

  RolloutBlockers(RolloutManager manager, RolloutRules rules, BallotBox ballots) {
    this.manager = manager;
    this.rules = rules;
    this.ballots = ballots;
  }

  /** A line for each thing that is waited for; empty where no rollout is open. */
  List<String> lines(Timestamp now) {
    List<String> found = new ArrayList<>();
    Rollout open = manager.openRollout();
    if (open == null) {
      return found;
    }
    if (open.heldByOperator) {
      found.add("an operator holds it");
    }
    if (open.state == State.ANNOUNCED) {
      found.add("build " + manager.current.build + " to have gone back");
    }
    if (open.state == State.GOING_BACK) {
      found.add("its time of going back to be over");
    }
    boolean running = open.state == State.STARTING || open.state == State.ON_TRIAL;
    if (running && open.readyEndpoints < manager.desiredEndpoints(open.stage)) {
      found.add(
          "units: "
              + open.readyEndpoints
              + " of "
              + manager.desiredEndpoints(open.stage)
              + " are there");
    }
    if (open.state != State.ON_TRIAL || open.clockStart == null) {
      return found;
    }
    addVotes(open, found, now);
    return found;
  }

  private void addVotes(Rollout open, List<String> found, Timestamp now) {
    TimeSpan elapsed = now.since(open.clockStart).minus(open.pausedTime);
    if (rules.control() == RolloutRules.Control.CLOCKED) {
      found.add(
          "the clock: "
              + Math.round(elapsed.ms())
              + " of "
              + Math.round(rules.clockedStageTime().ms())
              + " ms; "
              + ballots.count(Vote.HOLD, now)
              + " relays hold it, "
              + rules.votesToPause()
              + " stop it");
    } else {
      if (!elapsed.over(rules.minStageTime())) {
        found.add(
            "its least time: "
                + Math.round(elapsed.ms())
                + " of "
                + Math.round(rules.minStageTime().ms())
                + " ms");
      }
      found.add("votes to go on: " + ballots.count(Vote.ON, now) + " of " + rules.votesToAdvance());
    }
    found.add(
        "votes to go back: " + ballots.count(Vote.BACK, now) + " of " + rules.votesToRollBack());
  }
}
