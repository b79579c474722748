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
public class ReleasesTest {
  private final List<String> steps = new ArrayList<>();
  private RolloutManager core;
  private Timestamp now;

  @BeforeMethod
  public void begin() {
    core(ReleasesProperties.RULES);
  }

  private void core(RolloutRules rules) {
    steps.clear();
    now = Timestamp.ofMs(0);
    core =
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
      if (core.transitionDue(now)) {
        core.tick(now, 0);
      }
    }
  }

  private AnnouncementResult announce(String delivery, int build) {
    return core.announceDelivery(delivery, build, "a" + build, "ci", now, 0);
  }

  private VoteResult cast(int relay, int build, int stage, Vote say) {
    return core.castVote(relay, build, stage, say, now, 0);
  }

  private void onTrial(int build) {
    announce("d" + build, build);
    core.reportEndpoints(build, 10, now, 0);
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
  public void aBuildGoesThroughItsStagesByVotes() {
    announce("d", 2);
    assertEquals(
        core.currentStatus().build(), 1); // nothing of it is told before its units are there
    core.reportEndpoints(2, 1, now, 0);
    assertEquals(
        core.currentStatus(),
        new RolloutManager.RolloutStatus(2, 0, Rollout.State.ON_TRIAL, 0.12, now));
    assertEquals(cast(0, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(cast(1, 2, 0, Vote.ON), VoteResult.COUNTS);
    assertEquals(
        core.blockers(now),
        List.of(
            "its least time: 0 of 500 ms", "votes to go on: 2 of 2", "votes to go back: 0 of 1"));
    pass(600);
    core.reportEndpoints(2, 10, now, 0);
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
    assertEquals(core.rollout(2).transitions().size(), 6);
  }

  @Test
  public void theSameDeliveryHasOneEffectAndAContradictionNone() {
    assertEquals(announce("d", 2), AnnouncementResult.TAKEN);
    assertEquals(announce("d", 2), AnnouncementResult.AGAIN);
    assertEquals(announce("e", 2), AnnouncementResult.KNOWN);
    assertEquals(core.announceDelivery("d", 3, "a3", "ci", now, 0), AnnouncementResult.CONTRADICTS);
    assertEquals(
        core.announceDelivery("f", 2, "another", "ci", now, 0), AnnouncementResult.CONTRADICTS);
    assertEquals(announce("g", 5), AnnouncementResult.TAKEN);
    assertEquals(announce("h", 4), AnnouncementResult.TOO_OLD);
    assertEquals(
        steps.stream().filter(step -> step.contains("STARTING")).toList(),
        List.of("2 STARTING 0: nothing is in its way", "5 STARTING 0: nothing is in its way"));
  }

  @Test
  public void theNextOfferEndsATrialAndOneThatGoesBackIsWaitedFor() {
    onTrial(2);
    announce("x", 3);
    assertEquals(core.rollout(2).state(), Rollout.State.SUPERSEDED);
    assertEquals(
        core.currentStatus().state(),
        Rollout.State.WITHDRAWN); // of build 2, until the units of 3 are there
    core.reportEndpoints(3, 10, now, 0);
    cast(0, 3, 0, Vote.BACK);
    announce("y", 4);
    assertEquals(core.current().build, 3);
    assertEquals(core.blockers(now), List.of("build 3 to have gone back"));
    pass(1000);
    assertEquals(core.current().build, 4);
    assertEquals(core.previousBuild(), 1);
  }

  @Test
  public void votesThatAreLateOldOrOfAnotherStageDoNotCount() {
    onTrial(2);
    assertEquals(cast(0, 1, 0, Vote.ON), VoteResult.MOOT);
    assertEquals(cast(0, 2, 1, Vote.ON), VoteResult.MOOT);
    assertEquals(cast(0, 2, 0, Vote.HOLD), VoteResult.MOOT); // there is no clock to hold
    cast(0, 2, 0, Vote.ON);
    pass(4100);
    cast(1, 2, 0, Vote.ON); // the first one's life is over
    assertEquals(core.current().stage(), 0);
    cast(0, 2, 0, Vote.ON);
    assertEquals(core.current().stage(), 1);
    assertEquals(cast(2, 2, 0, Vote.ON), VoteResult.MOOT); // late for its stage
    cast(2, 2, 1, Vote.ON);
    cast(2, 2, 1, Vote.NOTHING); // taken back
    assertEquals(core.relaysVoting(Vote.ON, now), List.of());
  }

  @Test
  public void oneRelayHasOneVoteAlsoWhenItStartedAnew() {
    onTrial(2);
    pass(600);
    for (int i = 0; i < 5; i++) {
      cast(0, 2, 0, Vote.ON);
    }
    assertEquals(core.current().stage(), 0);
    cast(0, 2, 0, Vote.BACK); // the last word of that number
    assertEquals(core.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void moreVotesASecondThanAllowedAreTooMany() {
    RolloutRules r = ReleasesProperties.RULES;
    core(
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
  public void aBackVoteInTheMomentOfTheReleaseStillSendsItBackAndLaterNot() {
    released(2);
    assertEquals(core.current().state(), Rollout.State.RELEASED);
    assertEquals(cast(3, 2, 2, Vote.BACK), VoteResult.COUNTS);
    assertEquals(core.current().state(), Rollout.State.GOING_BACK);
    pass(1000);
    assertEquals(core.currentStatus().state(), Rollout.State.WITHDRAWN);
    released(3);
    pass(3100); // the watch is over
    assertEquals(cast(3, 3, 2, Vote.BACK), VoteResult.MOOT);
  }

  @Test
  public void unitsThatDoNotComeSendItBack() {
    announce("d", 2);
    pass(5100);
    assertTrue(
        steps.get(2).startsWith("2 GOING_BACK 0: its units did not start: 0 of 1"),
        steps.toString());
    announce("e", 3);
    pass(900);
    core.reportEndpoints(3, 1, now, 0);
    pass(600);
    cast(0, 3, 0, Vote.ON);
    cast(1, 3, 0, Vote.ON);
    assertEquals(core.current().stage(), 1);
    pass(5100);
    assertEquals(core.current().state(), Rollout.State.GOING_BACK); // 1 of 4
  }

  @Test
  public void anOperatorHoldsResumesAndWithdrawsWithAReason() {
    onTrial(2);
    assertNull(core.command(OperatorCommand.HOLD, 2, "ann", "we look at it", now, 0));
    assertEquals(
        core.command(OperatorCommand.HOLD, 2, "bob", "me too", now, 0), "build 2 is held already");
    pass(600);
    cast(0, 2, 0, Vote.ON);
    cast(1, 2, 0, Vote.ON);
    pass(600);
    assertEquals(core.current().stage(), 0);
    assertTrue(core.blockers(now).contains("an operator holds it"));
    assertNull(core.command(OperatorCommand.RESUME, 2, "ann", "it is well", now, 0));
    assertEquals(core.current().stage(), 0); // held time does not count
    pass(600);
    assertEquals(core.current().stage(), 1);
    assertNull(core.command(OperatorCommand.WITHDRAW, 2, "ann", "not today", now, 0));
    assertEquals(core.current().state(), Rollout.State.GOING_BACK);
    assertEquals(
        core.command(OperatorCommand.WITHDRAW, 1, "ann", "the only one", now, 0),
        "build 1 is released: it can't be withdrawn");
    assertEquals(core.command(OperatorCommand.HOLD, 9, "ann", "?", now, 0), "no build 9 is known");
  }

  @Test
  public void underTheClockRelaysHoldIt() {
    RolloutRules r = ReleasesProperties.RULES;
    core(
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
    assertEquals(core.current().stage(), 0);
    pass(1200); // its life is over, and the clock went on from where it stood
    assertEquals(core.current().stage(), 1);
    assertEquals(cast(0, 2, 1, Vote.ON), VoteResult.MOOT);
    cast(0, 2, 1, Vote.BACK);
    assertEquals(core.current().state(), Rollout.State.ON_TRIAL);
    cast(1, 2, 1, Vote.BACK);
    assertEquals(core.current().state(), Rollout.State.GOING_BACK);
  }

  @Test
  public void timeThatItWasDownDoesNotCountForAStageAndAClockSetBackEndsVotes() {
    onTrial(2);
    cast(0, 2, 0, Vote.ON);
    cast(1, 2, 0, Vote.ON);
    now = now.plus(TimeSpan.ofMs(3000));
    core.restarted(3000, now, 0);
    assertEquals(core.current().stage(), 0);
    core.restarted(-5, now, 0);
    pass(700);
    assertEquals(core.current().stage(), 0);
    assertFalse(core.transitionDue(now));
  }
}
