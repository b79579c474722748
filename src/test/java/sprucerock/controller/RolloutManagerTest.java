package sprucerock.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.controller.RolloutManager.AnnouncementResult;
import sprucerock.controller.RolloutManager.OperatorCommand;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.controller.RolloutManager.VoteResult;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Stories of releases, from the announcement to the end. */
public class RolloutManagerTest {
  private final List<String> steps = new ArrayList<>();
  private RolloutManager newManager;
  private Timestamp now;

  @BeforeMethod
  public void begin() {
    newManager(RolloutManagerProperties.RULES);
  }

  private void newManager(RolloutRules rules) {
    steps.clear();
    now = Timestamp.ofMs(0);
    newManager =
        new RolloutManager(
            rules,
            10,
            1,
            now,
            (release, step) ->
                steps.add(
                    release.build + " " + step.state() + " " + step.stage() + ": " + step.cause()));
  }

  private void pass(double ms) {
    for (double until = now.ms() + ms; now.ms() < until; ) {
      now = now.plus(TimeSpan.ofMs(Math.min(50, until - now.ms())));
      if (newManager.transitionDue(now)) {
        newManager.tick(now, 0);
      }
    }
  }

  private AnnouncementResult announce(String delivery, int build) {
    return newManager.announceDelivery(delivery, build, "a" + build, "ci", now, 0);
  }

  private VoteResult cast(int relay, int build, int stage, Vote say) {
    return newManager.castVote(relay, build, stage, say, now, 0);
  }

  private void onTrial(int build) {
    announce("d" + build, build);
    newManager.reportEndpoints(build, 10, now, 0);
  }

  private void released(int build) {
    onTrial(build);
    for (int stage = 0; stage < 3; stage++) {
      pass(600);
      cast(0, build, stage, Vote.ON);
      cast(1, build, stage, Vote.ON);
    }
  }

  @Test
  public void votesAdvanceABuildThroughItsStages() {
    announce("d", 2);
    assertEquals(
        newManager.currentStatus().build(), 1); // nothing of it is told before its units are there
    newManager.reportEndpoints(2, 1, now, 0);
    assertEquals(
        newManager.currentStatus(),
        new RolloutManager.RolloutStatus(2, 0, Rollout.State.ON_TRIAL, 0.12, now));
    assertEquals(cast(0, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(cast(1, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(
        newManager.blockers(now),
        List.of(
            "its least time: 0 of 500 ms", "votes to go on: 2 of 2", "votes to go back: 0 of 1"));
    pass(600);
    newManager.reportEndpoints(2, 10, now, 0);
    pass(600);
    cast(0, 2, 1, Vote.ON);
    cast(2, 2, 1, Vote.ON);
    pass(600);
    cast(0, 2, 2, Vote.ON);
    cast(1, 2, 2, Vote.ON);
    assertEquals(
        steps,
        List.of(
            "2 ANNOUNCED 0: announced by ci",
            "2 STARTING 0: nothing is in its way",
            "2 ON_TRIAL 0: 1 units are there",
            "2 ON_TRIAL 1: votes to go on of relays [0, 1]",
            "2 ON_TRIAL 2: votes to go on of relays [0, 2]",
            "2 RELEASED 2: votes to go on of relays [0, 1]"));
    assertEquals(newManager.rollout(2).transitions().size(), 6);
  }

  @Test
  public void aRepeatedDeliveryHasOneEffectAndAContradictionNone() {
    assertEquals(announce("d", 2), AnnouncementResult.TAKEN);
    assertEquals(announce("d", 2), AnnouncementResult.AGAIN);
    assertEquals(announce("e", 2), AnnouncementResult.KNOWN);
    assertEquals(
        newManager.announceDelivery("d", 3, "a3", "ci", now, 0), AnnouncementResult.CONTRADICTS);
    assertEquals(
        newManager.announceDelivery("f", 2, "another", "ci", now, 0),
        AnnouncementResult.CONTRADICTS);
    assertEquals(announce("g", 5), AnnouncementResult.TAKEN);
    assertEquals(announce("h", 4), AnnouncementResult.TOO_OLD);
    assertEquals(
        steps.stream().filter(step -> step.contains("STARTING")).toList(),
        List.of("2 STARTING 0: nothing is in its way", "5 STARTING 0: nothing is in its way"));
  }

  @Test
  public void aLaterAnnouncementSupersedesATrialAndWaitsForARollback() {
    onTrial(2);
    announce("x", 3);
    assertEquals(newManager.rollout(2).state(), Rollout.State.SUPERSEDED);
    assertEquals(
        newManager.currentStatus().state(),
        Rollout.State.WITHDRAWN); // of build 2, until the units of 3 are there
    newManager.reportEndpoints(3, 10, now, 0);
    cast(0, 3, 0, Vote.BACK);
    announce("y", 4);
    assertEquals(newManager.current().build, 3);
    assertEquals(newManager.blockers(now), List.of("build 3 to have gone back"));
    pass(1000);
    assertEquals(newManager.current().build, 4);
    assertEquals(newManager.previousBuild(), 1);
  }

  @Test
  public void expiredVotesAndVotesOnAnotherStageDoNotCount() {
    onTrial(2);
    assertEquals(cast(0, 1, 0, Vote.ON), VoteResult.MOOT);
    assertEquals(cast(0, 2, 1, Vote.ON), VoteResult.MOOT);
    assertEquals(cast(0, 2, 0, Vote.HOLD), VoteResult.MOOT); // there is no clock to hold
    cast(0, 2, 0, Vote.ON);
    pass(4100);
    cast(1, 2, 0, Vote.ON); // the first one's life is over
    assertEquals(newManager.current().stage(), 0);
    cast(0, 2, 0, Vote.ON);
    assertEquals(newManager.current().stage(), 1);
    assertEquals(cast(2, 2, 0, Vote.ON), VoteResult.MOOT); // late for its stage
    cast(2, 2, 1, Vote.ON);
    cast(2, 2, 1, Vote.NOTHING); // taken back
    assertEquals(newManager.relaysVoting(Vote.ON, now), List.of());
  }

  @Test
  public void aRelayHasOneVoteAlsoAfterItsRestart() {
    onTrial(2);
    pass(600);
    for (int i = 0; i < 5; i++) {
      cast(0, 2, 0, Vote.ON);
    }
    assertEquals(newManager.current().stage(), 0);
    cast(0, 2, 0, Vote.BACK); // the last word of that number
    assertEquals(newManager.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void votesOverTheRateLimitAreRejected() {
    RolloutRules r = RolloutManagerProperties.RULES;
    newManager(
        new RolloutRules(
            r.stages(),
            r.control(),
            2,
            1,
            1,
            r.voteValidity(),
            r.minStageTime(),
            r.clockedStageTime(),
            r.startTimeout(),
            r.rollbackTime(),
            r.observationTime(),
            3));
    onTrial(2);
    for (int i = 0; i < 3; i++) {
      assertEquals(cast(0, 2, 0, Vote.ON), VoteResult.COUNTS);
    }
    assertEquals(cast(0, 2, 0, Vote.BACK), VoteResult.TOO_MANY);
    assertEquals(cast(1, 2, 0, Vote.NOTHING), VoteResult.COUNTS);
    pass(1000);
    assertEquals(cast(0, 2, 0, Vote.NOTHING), VoteResult.COUNTS);
  }

  @Test
  public void aReleasedBuildIsRolledBackWithinTheObservationTimeOnly() {
    released(2);
    assertEquals(newManager.current().state(), Rollout.State.RELEASED);
    assertEquals(cast(3, 2, 2, Vote.BACK), VoteResult.COUNTS);
    assertEquals(newManager.current().state(), Rollout.State.GOING_BACK);
    pass(1000);
    assertEquals(newManager.currentStatus().state(), Rollout.State.WITHDRAWN);
    released(3);
    pass(3100); // the watch is over
    assertEquals(cast(3, 3, 2, Vote.BACK), VoteResult.MOOT);
  }

  @Test
  public void endpointsThatAreNotReadyInTimeRollTheBuildBack() {
    announce("d", 2);
    pass(5100);
    assertTrue(
        steps.get(2).startsWith("2 GOING_BACK 0: its units did not start: 0 of 1"),
        steps.toString());
    announce("e", 3);
    pass(900);
    newManager.reportEndpoints(3, 1, now, 0);
    pass(600);
    cast(0, 3, 0, Vote.ON);
    cast(1, 3, 0, Vote.ON);
    assertEquals(newManager.current().stage(), 1);
    pass(5100);
    assertEquals(newManager.current().state(), Rollout.State.GOING_BACK); // 1 of 4
  }

  @Test
  public void operatorCommandsAreRecordedWithTheirReason() {
    onTrial(2);
    assertNull(newManager.command(OperatorCommand.HOLD, 2, "ann", "we look at it", now, 0));
    assertEquals(
        newManager.command(OperatorCommand.HOLD, 2, "bob", "me too", now, 0),
        "build 2 is held already");
    pass(600);
    cast(0, 2, 0, Vote.ON);
    cast(1, 2, 0, Vote.ON);
    pass(600);
    assertEquals(newManager.current().stage(), 0);
    assertTrue(newManager.blockers(now).contains("an operator holds it"));
    assertNull(newManager.command(OperatorCommand.RESUME, 2, "ann", "it is well", now, 0));
    assertEquals(newManager.current().stage(), 0); // held time does not count
    pass(600);
    assertEquals(newManager.current().stage(), 1);
    assertNull(newManager.command(OperatorCommand.WITHDRAW, 2, "ann", "not today", now, 0));
    assertEquals(newManager.current().state(), Rollout.State.GOING_BACK);
    assertEquals(
        newManager.command(OperatorCommand.WITHDRAW, 1, "ann", "the only one", now, 0),
        "build 1 is released: it can't be withdrawn");
    assertEquals(
        newManager.command(OperatorCommand.HOLD, 9, "ann", "?", now, 0), "no build 9 is known");
  }

  @Test
  public void votesToHoldPauseTheStageClock() {
    RolloutRules r = RolloutManagerProperties.RULES;
    newManager(
        new RolloutRules(
            r.stages(),
            RolloutRules.Control.CLOCKED,
            1,
            1,
            2,
            r.voteValidity(),
            r.minStageTime(),
            r.clockedStageTime(),
            r.startTimeout(),
            r.rollbackTime(),
            r.observationTime(),
            100));
    onTrial(2);
    pass(900);
    assertEquals(cast(0, 2, 0, Vote.HOLD), VoteResult.COUNTS);
    pass(3000);
    assertEquals(newManager.current().stage(), 0);
    pass(1200); // its life is over, and the clock went on from where it stood
    assertEquals(newManager.current().stage(), 1);
    assertEquals(cast(0, 2, 1, Vote.ON), VoteResult.MOOT);
    cast(0, 2, 1, Vote.BACK);
    assertEquals(newManager.current().state(), Rollout.State.ON_TRIAL);
    cast(1, 2, 1, Vote.BACK);
    assertEquals(newManager.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void downtimeDoesNotCountForAStageAndAClockSetBackClearsVotes() {
    onTrial(2);
    cast(0, 2, 0, Vote.ON);
    cast(1, 2, 0, Vote.ON);
    now = now.plus(TimeSpan.ofMs(3000));
    newManager.restarted(3000, now, 0);
    assertEquals(newManager.current().stage(), 0);
    newManager.restarted(-5, now, 0);
    pass(700);
    assertEquals(newManager.current().stage(), 0);
    assertFalse(newManager.transitionDue(now));
  }
}
