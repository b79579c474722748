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

/** Tests rollouts from the announcement to the end. */
public class RolloutManagerTest {
  private final List<String> transitions = new ArrayList<>();
  private RolloutManager manager;
  private Timestamp now;

  @BeforeMethod
  public void createManager() {
    manager(RolloutManagerProperties.RULES);
  }

  private void manager(RolloutRules rules) {
    transitions.clear();
    now = Timestamp.ofMs(0);
    manager =
        new RolloutManager(
            rules,
            10,
            1,
            now,
            (rollout, transition) ->
                transitions.add(
                    rollout.build
                        + " "
                        + transition.state()
                        + " "
                        + transition.stage()
                        + ": "
                        + transition.cause()));
  }

  private void advanceTime(double ms) {
    for (double endMs = now.ms() + ms; now.ms() < endMs; ) {
      now = now.plus(TimeSpan.ofMs(Math.min(50, endMs - now.ms())));
      if (manager.transitionDue(now)) {
        manager.tick(now, 0);
      }
    }
  }

  private AnnouncementResult announce(String delivery, int build) {
    return manager.announceDelivery(delivery, build, "a" + build, "ci", now, 0);
  }

  private VoteResult castVote(int relay, int build, int stage, Vote vote) {
    return manager.castVote(relay, build, stage, vote, now, 0);
  }

  private void putOnTrial(int build) {
    announce("d" + build, build);
    manager.reportEndpoints(build, 10, now, 0);
  }

  private void release(int build) {
    putOnTrial(build);
    for (int stage = 0; stage < 3; stage++) {
      advanceTime(600);
      castVote(0, build, stage, Vote.ON);
      castVote(1, build, stage, Vote.ON);
    }
  }

  @Test
  public void votesAdvanceABuildThroughItsStages() {
    announce("d", 2);
    // Relays are not notified of a build before its endpoints are ready.
    assertEquals(manager.currentStatus().build(), 1);
    manager.reportEndpoints(2, 1, now, 0);
    assertEquals(
        manager.currentStatus(),
        new RolloutManager.RolloutStatus(2, 0, Rollout.State.ON_TRIAL, 0.12, now));
    assertEquals(castVote(0, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(castVote(1, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(
        manager.blockers(now),
        List.of(
            "its least time: 0 of 500 ms", "votes to go on: 2 of 2", "votes to go back: 0 of 1"));
    advanceTime(600);
    manager.reportEndpoints(2, 10, now, 0);
    advanceTime(600);
    castVote(0, 2, 1, Vote.ON);
    castVote(2, 2, 1, Vote.ON);
    advanceTime(600);
    castVote(0, 2, 2, Vote.ON);
    castVote(1, 2, 2, Vote.ON);
    assertEquals(
        transitions,
        List.of(
            "2 ANNOUNCED 0: announced by ci",
            "2 STARTING 0: nothing is in its way",
            "2 ON_TRIAL 0: 1 units are there",
            "2 ON_TRIAL 1: votes to go on of relays [0, 1]",
            "2 ON_TRIAL 2: votes to go on of relays [0, 2]",
            "2 RELEASED 2: votes to go on of relays [0, 1]"));
    assertEquals(manager.rollout(2).transitions().size(), 6);
  }

  @Test
  public void aRepeatedDeliveryHasOneEffectAndAContradictionNone() {
    assertEquals(announce("d", 2), AnnouncementResult.TAKEN);
    assertEquals(announce("d", 2), AnnouncementResult.AGAIN);
    assertEquals(announce("e", 2), AnnouncementResult.KNOWN);
    assertEquals(
        manager.announceDelivery("d", 3, "a3", "ci", now, 0), AnnouncementResult.CONTRADICTS);
    assertEquals(
        manager.announceDelivery("f", 2, "another", "ci", now, 0), AnnouncementResult.CONTRADICTS);
    assertEquals(announce("g", 5), AnnouncementResult.TAKEN);
    assertEquals(announce("h", 4), AnnouncementResult.TOO_OLD);
    assertEquals(
        transitions.stream().filter(transition -> transition.contains("STARTING")).toList(),
        List.of("2 STARTING 0: nothing is in its way", "5 STARTING 0: nothing is in its way"));
  }

  @Test
  public void aLaterAnnouncementSupersedesATrialAndWaitsForARollback() {
    putOnTrial(2);
    announce("x", 3);
    assertEquals(manager.rollout(2).state(), Rollout.State.SUPERSEDED);
    // The status is that of build 2 until the endpoints of build 3 are ready.
    assertEquals(manager.currentStatus().state(), Rollout.State.WITHDRAWN);
    manager.reportEndpoints(3, 10, now, 0);
    castVote(0, 3, 0, Vote.BACK);
    announce("y", 4);
    assertEquals(manager.current().build, 3);
    assertEquals(manager.blockers(now), List.of("the rollback of build 3 to end"));
    advanceTime(1000);
    assertEquals(manager.current().build, 4);
    assertEquals(manager.previousBuild(), 1);
  }

  @Test
  public void expiredVotesAndVotesOnAnotherStageDoNotCount() {
    putOnTrial(2);
    assertEquals(castVote(0, 1, 0, Vote.ON), VoteResult.MOOT);
    assertEquals(castVote(0, 2, 1, Vote.ON), VoteResult.MOOT);
    // Votes to hold count only under the control CLOCKED.
    assertEquals(castVote(0, 2, 0, Vote.HOLD), VoteResult.MOOT);
    castVote(0, 2, 0, Vote.ON);
    advanceTime(4100);
    // The vote of relay 0 has expired.
    castVote(1, 2, 0, Vote.ON);
    assertEquals(manager.current().stage(), 0);
    castVote(0, 2, 0, Vote.ON);
    assertEquals(manager.current().stage(), 1);
    // The vote comes too late for its stage.
    assertEquals(castVote(2, 2, 0, Vote.ON), VoteResult.MOOT);
    castVote(2, 2, 1, Vote.ON);
    // The relay withdraws its vote.
    castVote(2, 2, 1, Vote.NOTHING);
    assertEquals(manager.relaysVoting(Vote.ON, now), List.of());
  }

  @Test
  public void aRelayHasOneVoteEvenAfterARestart() {
    putOnTrial(2);
    advanceTime(600);
    for (int i = 0; i < 5; i++) {
      castVote(0, 2, 0, Vote.ON);
    }
    assertEquals(manager.current().stage(), 0);
    // The last vote of a relay number counts.
    castVote(0, 2, 0, Vote.BACK);
    assertEquals(manager.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void votesOverTheRateLimitAreRejected() {
    RolloutRules rules = RolloutManagerProperties.RULES;
    manager(
        new RolloutRules(
            rules.stages(),
            rules.control(),
            2,
            1,
            1,
            rules.voteValidity(),
            rules.minStageTime(),
            rules.clockedStageTime(),
            rules.startTimeout(),
            rules.rollbackTime(),
            rules.observationTime(),
            3));
    putOnTrial(2);
    for (int i = 0; i < 3; i++) {
      assertEquals(castVote(0, 2, 0, Vote.ON), VoteResult.COUNTS);
    }
    assertEquals(castVote(0, 2, 0, Vote.BACK), VoteResult.TOO_MANY);
    assertEquals(castVote(1, 2, 0, Vote.NOTHING), VoteResult.COUNTS);
    advanceTime(1000);
    assertEquals(castVote(0, 2, 0, Vote.NOTHING), VoteResult.COUNTS);
  }

  @Test
  public void aReleasedBuildIsRolledBackWithinTheObservationTimeOnly() {
    release(2);
    assertEquals(manager.current().state(), Rollout.State.RELEASED);
    assertEquals(castVote(3, 2, 2, Vote.BACK), VoteResult.COUNTS);
    assertEquals(manager.current().state(), Rollout.State.GOING_BACK);
    advanceTime(1000);
    assertEquals(manager.currentStatus().state(), Rollout.State.WITHDRAWN);
    release(3);
    // The observation time is over.
    advanceTime(3100);
    assertEquals(castVote(3, 3, 2, Vote.BACK), VoteResult.MOOT);
  }

  @Test
  public void endpointsThatAreNotReadyInTimeRollTheBuildBack() {
    announce("d", 2);
    advanceTime(5100);
    assertTrue(
        transitions
            .get(2)
            .startsWith("2 GOING_BACK 0: its endpoints were not ready in time: 0 of 1"),
        transitions.toString());
    announce("e", 3);
    advanceTime(900);
    manager.reportEndpoints(3, 1, now, 0);
    advanceTime(600);
    castVote(0, 3, 0, Vote.ON);
    castVote(1, 3, 0, Vote.ON);
    assertEquals(manager.current().stage(), 1);
    advanceTime(5100);
    // Only 1 of 4 endpoints is ready.
    assertEquals(manager.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void operatorCommandsAreRecordedWithTheirReason() {
    putOnTrial(2);
    assertNull(manager.command(OperatorCommand.HOLD, 2, "ann", "we look at it", now, 0));
    assertEquals(
        manager.command(OperatorCommand.HOLD, 2, "bob", "me too", now, 0),
        "build 2 is held already");
    advanceTime(600);
    castVote(0, 2, 0, Vote.ON);
    castVote(1, 2, 0, Vote.ON);
    advanceTime(600);
    assertEquals(manager.current().stage(), 0);
    assertTrue(manager.blockers(now).contains("an operator holds it"));
    assertNull(manager.command(OperatorCommand.RESUME, 2, "ann", "it is well", now, 0));
    // The time under hold does not count.
    assertEquals(manager.current().stage(), 0);
    advanceTime(600);
    assertEquals(manager.current().stage(), 1);
    assertNull(manager.command(OperatorCommand.WITHDRAW, 2, "ann", "not today", now, 0));
    assertEquals(manager.current().state(), Rollout.State.GOING_BACK);
    assertEquals(
        manager.command(OperatorCommand.WITHDRAW, 1, "ann", "the only one", now, 0),
        "build 1 is released: it can't be withdrawn");
    assertEquals(
        manager.command(OperatorCommand.HOLD, 9, "ann", "?", now, 0), "no build 9 is known");
  }

  @Test
  public void votesToHoldPauseTheStageClock() {
    RolloutRules rules = RolloutManagerProperties.RULES;
    manager(
        new RolloutRules(
            rules.stages(),
            RolloutRules.Control.CLOCKED,
            1,
            1,
            2,
            rules.voteValidity(),
            rules.minStageTime(),
            rules.clockedStageTime(),
            rules.startTimeout(),
            rules.rollbackTime(),
            rules.observationTime(),
            100));
    putOnTrial(2);
    advanceTime(900);
    assertEquals(castVote(0, 2, 0, Vote.HOLD), VoteResult.COUNTS);
    advanceTime(3000);
    assertEquals(manager.current().stage(), 0);
    // The vote has expired, and the clock has continued from where it was paused.
    advanceTime(1200);
    assertEquals(manager.current().stage(), 1);
    assertEquals(castVote(0, 2, 1, Vote.ON), VoteResult.MOOT);
    castVote(0, 2, 1, Vote.BACK);
    assertEquals(manager.current().state(), Rollout.State.ON_TRIAL);
    castVote(1, 2, 1, Vote.BACK);
    assertEquals(manager.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void downtimeDoesNotCountForAStageAndAClockSetBackClearsVotes() {
    putOnTrial(2);
    castVote(0, 2, 0, Vote.ON);
    castVote(1, 2, 0, Vote.ON);
    now = now.plus(TimeSpan.ofMs(3000));
    manager.restarted(3000, now, 0);
    assertEquals(manager.current().stage(), 0);
    manager.restarted(-5, now, 0);
    advanceTime(700);
    assertEquals(manager.current().stage(), 0);
    assertFalse(manager.transitionDue(now));
  }
}
