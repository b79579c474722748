package sprucerock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.Board;
import sprucerock.stats.KolmogorovSmirnov;
import sprucerock.time.TimeSpan;

/** Stories of one relay, each of a rule's edge or of a failure met. */
public class PolicyTest {
  private static final String ALONE = "permissions.second_copies=false";
  private static final String ONE_WAY = "specifics.keys_stay=true";

  @Test
  public void everyRpcIsAnsweredBeforeItsClientLeaves() {
    FakeHost host = new FakeHost().with(2);
    Rpc order = host.rpc(2, 0, 1000);
    host.pass(985);
    assertTrue(host.aborted.isEmpty());
    host.pass(10);
    assertSame(host.aborted.get(0), order);
    host.end(host.sent.get(0), AttemptOutcome.ERROR);
    host.pass(5000);
    assertEquals(host.sent.size(), 1);
    assertEquals(host.aborted.size() + host.pushedBack.size(), 1);
  }

  @Test
  public void nonIdempotentGoesAgainOnlyIfItProvablyNeverRan() {
    FakeHost host = new FakeHost().with(3);
    host.rpc(2);
    host.end(host.sent.get(0), AttemptOutcome.FULL);
    assertEquals(host.sent.size(), 2);
    host.end(host.sent.get(1), AttemptOutcome.BROKEN);
    assertEquals(host.sent.size(), 2);
    assertEquals(host.aborted.size(), 1);
    assertTrue(host.pushedBack.isEmpty());
  }

  @Test
  public void tokenedIsRepeatedOnlyInsideItsWindow() {
    FakeHost host = new FakeHost().with(5);
    host.rpc(1);
    host.end(host.sent.get(0), AttemptOutcome.ERROR);
    assertEquals(host.sent.size(), 2);
    host.pass(1999);
    int sent = host.sent.size();
    for (Attempt attempt : host.sent) {
      if (attempt.outcome() == null) {
        host.end(attempt, AttemptOutcome.ERROR);
      }
    }
    assertEquals(host.sent.size(), sent);
    assertEquals(host.pushedBack.size(), 1);
  }

  @Test
  public void tokenedStaysInItsGroupOnceItMayHaveRun() {
    FakeHost host = new FakeHost("classes.1.group=zone").with(1);
    Endpoint far = host.ledger.endpointListed(90, 1, 0, 0, 1, null, 1, true);
    Rpc order = host.rpc(1);
    host.end(order.attempts.get(0), AttemptOutcome.ERROR);
    assertEquals(order.attempts.size(), 1);
    assertSame(host.aborted.get(0), order);
  }

  @Test
  public void neverTwoPicksOutWhereSecondCopiesAreBarred() {
    FakeHost host = new FakeHost(ALONE).with(4).offering(2, 1, 0.4);
    for (int i = 0; i < 20; i++) {
      Rpc rpc = host.rpc(i % 3);
      host.pass(60);
      assertTrue(rpc.inFlight() <= 1);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    Rpc slow = host.rpc(0);
    host.pass(1400);
    assertEquals(slow.attempts.size(), 1);
  }

  @Test
  public void drainingUnitGetsNothingNew() {
    FakeHost host = new FakeHost().with(2);
    Endpoint left = host.old.endpoints.get(0);
    host.ledger.endpointRemoved(left.id);
    for (int i = 0; i < 20; i++) {
      host.rpc(0);
    }
    assertTrue(host.sent.stream().noneMatch(attempt -> attempt.endpoint == left));
  }

  @Test
  public void coldUnitGetsLessThanAWarmOne() {
    FakeHost host = new FakeHost().with(4);
    host.traffic(40, 50);
    Endpoint cold = host.unit(host.old, host.now());
    int before = host.sent.size();
    host.traffic(20, 50);
    long atCold =
        host.sent.stream().skip(before).filter(attempt -> attempt.endpoint == cold).count();
    assertTrue(atCold <= 3, "sent " + atCold);
  }

  @Test
  public void picksAtABuildOnTrialStayUnderTheCap() {
    FakeHost host = new FakeHost().with(4).offering(3, 0, 0.1);
    host.traffic(100, 50);
    long copies = host.sentTo(host.fresh);
    assertTrue(copies > 3 && copies <= 3 + 0.1 * 100, "copies " + copies);
  }

  @Test
  public void unannouncedOrWithdrawnBuildGetsNothing() {
    FakeHost host = new FakeHost().with(2);
    host.unit(host.fresh, host.now().minus(TimeSpan.ofMs(9000)));
    host.traffic(10, 50);
    assertEquals(host.sentTo(host.fresh), 0);
    host.ledger.rolloutChanged(2, 0, RolloutState.GOING_BACK, 0, host.now());
    host.traffic(10, 50);
    assertEquals(host.sentTo(host.fresh), 0);
  }

  @Test
  public void effectsAreNeverCopiedAndStayOutOfTheFirstStage() {
    FakeHost host = new FakeHost().with(4).offering(3, 0, 1.0);
    for (int i = 0; i < 20; i++) {
      Rpc rpc = host.rpc(1 + i % 2);
      host.pass(50);
      assertEquals(rpc.attempts.size(), 1);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    assertEquals(host.sentTo(host.fresh), 0);
  }

  @Test
  public void copyGoesBesideThePrimaryAndTheFirstOkAnswers() {
    FakeHost host = new FakeHost().with(4);
    host.traffic(40, 50);
    host.offering(3, 1, 1.0);
    Rpc rpc = host.firstCopied(0);
    assertSame(rpc.attempts.get(0).endpoint.build, host.old);
    assertSame(rpc.attempts.get(1).endpoint.build, host.fresh);
    host.end(rpc.attempts.get(1), AttemptOutcome.OK);
    assertTrue(rpc.ended());
    assertTrue(host.cancelled.isEmpty());
  }

  @Test
  public void keyThatTheNewBuildAnsweredNeverGoesBackToTheEarlier() {
    FakeHost host = new FakeHost(ONE_WAY).with(4);
    for (long key = 100; key < 140; key++) {
      host.rpc(0, key, 4000);
      host.pass(50);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    host.offering(3, 1, 1.0);
    host.firstCopied(7);
    host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    host.pass(500);
    int pushed = host.pushedBack.size();
    Rpc second = host.rpc(2, 7, 4000);
    for (Attempt attempt : second.attempts) {
      assertSame(attempt.endpoint.build, host.fresh);
    }
    assertEquals(host.pushedBack.size() - pushed + second.attempts.size(), 1);
    host.ledger.rolloutChanged(2, 1, RolloutState.GOING_BACK, 0, host.now());
    Rpc third = host.rpc(2, 7, 4000);
    assertSame(third.attempts.get(0).endpoint.build, host.old);
  }

  @Test
  public void earlierUnitsThatComeBackBeforeTheNewsGetNoKey() {
    FakeHost host = new FakeHost(ONE_WAY).with(2).offering(4, 2, 1.0);
    host.ledger.rolloutChanged(2, 2, RolloutState.RELEASED, 1, host.now());
    for (Endpoint endpoint : java.util.List.copyOf(host.old.endpoints)) {
      host.ledger.endpointRemoved(endpoint.id);
    }
    host.rpc(0, 7, 4000);
    host.pass(50);
    host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    for (Endpoint endpoint : java.util.List.copyOf(host.fresh.endpoints)) {
      host.ledger.endpointRemoved(endpoint.id);
    }
    host.unit(host.old, host.now().minus(TimeSpan.ofMs(9000)));
    host.rpc(0, 7, 4000);
    assertEquals(host.sentTo(host.old), 0);
  }

  @Test
  public void popularKeyIsNotPinned() {
    FakeHost host = new FakeHost(ONE_WAY).with(4);
    for (int i = 0; i < 40; i++) {
      host.rpc(0, 7, 4000);
      host.pass(50);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    host.offering(3, 0, 0.1);
    host.pass(2000);
    assertEquals(host.rpc(0, 7, 4000).attempts.size(), 1);
  }

  @Test
  public void failedCopiesBesideServedPrimariesSendTheBuildBack() {
    FakeHost host = new FakeHost().with(6);
    host.traffic(40, 50);
    host.offering(3, 1, 1.0);
    for (int i = 0; i < 40 && !host.votes.contains(Verdict.BACK); i++) {
      host.rpc(0);
      host.pass(50);
      host.endAll(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertTrue(host.votes.contains(Verdict.BACK));
  }

  @Test
  public void timeOutsAndFullUnitsAreNoFailures() {
    FakeHost host = new FakeHost().with(6);
    host.traffic(40, 50);
    host.offering(3, 1, 1.0);
    for (int i = 0; i < 60; i++) {
      host.rpc(0);
      host.pass(50);
      host.endAll(i % 2 == 0 ? AttemptOutcome.FULL : AttemptOutcome.TIMED_OUT, AttemptOutcome.OK);
    }
    assertFalse(host.votes.contains(Verdict.BACK));
  }

  @Test
  public void oneSidedKsSeesOnlyTheSlowerSide() {
    double[] fast = {1, 2, 3, 4};
    double[] slow = {5, 6, 7, 8};
    assertEquals(KolmogorovSmirnov.slowerSide(slow, fast), 1.0);
    assertEquals(KolmogorovSmirnov.slowerSide(fast, slow), 0.0);
    assertEquals(KolmogorovSmirnov.slowerSide(fast, fast), 0.0);
  }

  @Test
  public void goodBuildIsVotedOnRenewedAndCastAgainWhenLost() {
    FakeHost host = new FakeHost().with(6);
    host.traffic(40, 50);
    host.offering(3, 0, 0.4);
    host.traffic(120, 50);
    assertTrue(host.votes.contains(Verdict.ON));
    host.policy.voteAnswered(VoteReply.TOO_MANY);
    int cast = host.votes.size();
    host.pass(500);
    assertEquals(host.votes.size(), cast + 1);
    host.policy.voteAnswered(VoteReply.COUNTS);
    host.pass(1500);
    assertEquals(host.votes.size(), cast + 1);
    host.pass(1000);
    assertEquals(host.votes.size(), cast + 2);
  }

  @Test
  public void quietRelayVotesOnAtTheFallbackAge() {
    FakeHost host = new FakeHost("specifics.vote_mode=majority").with(2);
    host.ledger.rolloutChanged(2, 0, RolloutState.ON_TRIAL, 0.1, host.now());
    host.pass(1000);
    host.unit(host.fresh, host.now());
    host.pass(2900);
    assertTrue(host.votes.isEmpty());
    host.pass(300);
    assertEquals(host.votes.get(0), Verdict.ON);
  }

  @Test
  public void silentUnitIsPassedByWithAFurtherPick() {
    FakeHost host = new FakeHost().with(3);
    host.traffic(20, 50);
    Rpc rpc = host.rpc(0);
    host.pass(700);
    assertEquals(rpc.attempts.size(), 2);
    assertNotSame(rpc.attempts.get(0).endpoint, rpc.attempts.get(1).endpoint);
  }

  @Test
  public void unitThatFailsFastIsLeftAlone() {
    FakeHost host = new FakeHost().with(5);
    Endpoint bad = host.old.endpoints.get(0);
    for (int i = 0; i < 60; i++) {
      host.rpc(0);
      host.pass(30);
      for (Attempt attempt : java.util.List.copyOf(host.sent)) {
        if (attempt.outcome() == null) {
          host.end(attempt, attempt.endpoint == bad ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
      }
    }
    long atBad = host.sent.stream().skip(30).filter(attempt -> attempt.endpoint == bad).count();
    assertTrue(atBad <= 4, "sent " + atBad);
  }

  @Test
  public void overloadIsPushedBackAtOnce() {
    FakeHost host = new FakeHost().with(2);
    for (int i = 0; i < 60; i++) {
      host.rpc(0);
      host.pass(10);
    }
    assertFalse(host.pushedBack.isEmpty());
    assertTrue(host.pushedBack.get(0).attempts.isEmpty());
  }

  @Test
  public void trafficThatHasJustComeIsNoQueue() {
    FakeHost host = new FakeHost().with(4);
    for (int i = 0; i < 200; i++) { // 100 a second from nothing, each answered after 100 ms
      host.rpc(0);
      host.pass(10);
      if (i >= 9) {
        host.sent.stream()
            .filter(attempt -> attempt.outcome() == null)
            .limit(1)
            .toList()
            .forEach(attempt -> host.end(attempt, AttemptOutcome.OK));
      }
    }
    assertTrue(host.pushedBack.isEmpty(), host.pushedBack.size() + " pushed back");
  }

  @Test
  public void buildThatSlowsAllIsBlamedWhenThePaceFollowsTheCopies() {
    FakeHost host = new FakeHost().with(8);
    host.pass(2500);
    host.traffic(80, 50);
    host.offering(3, 1, 0.4);
    int copied = 0;
    for (int i = 0; i < 900 && !host.votes.contains(Verdict.BACK); i++) {
      if (host.rpc(0).attempts.size() > 1) {
        copied = i;
      }
      host.pass(i - copied < 12 ? 200 : 40);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
      host.pass(10);
    }
    assertTrue(host.votes.contains(Verdict.BACK));
  }

  @Test
  public void releasedBuildIsWatchedForAFixedTimeOnly() {
    FakeHost host = new FakeHost().with(6).offering(6, 2, 1.0);
    host.ledger.rolloutChanged(2, 2, RolloutState.RELEASED, 1, host.now());
    for (Endpoint endpoint : java.util.List.copyOf(host.old.endpoints)) {
      host.ledger.endpointRemoved(endpoint.id);
    }
    host.pass(16_000);
    for (int i = 0; i < 40; i++) {
      host.rpc(2);
      host.pass(50);
      host.endAll(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertFalse(host.votes.contains(Verdict.BACK));
  }

  @Test
  public void releasedBuildThatFailsEverywhereGoesBack() {
    FakeHost host = new FakeHost().with(6).offering(6, 2, 1.0);
    host.ledger.rolloutChanged(2, 2, RolloutState.RELEASED, 1, host.now());
    for (Endpoint endpoint : java.util.List.copyOf(host.old.endpoints)) {
      host.ledger.endpointRemoved(endpoint.id);
    }
    for (int i = 0; i < 40; i++) {
      host.rpc(2);
      host.pass(50);
      host.endAll(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertTrue(host.votes.contains(Verdict.BACK));
  }

  @Test
  public void peersAddUpTheirPairs() {
    FakeHost host = new FakeHost().with(6).offering(3, 1, 0.4);
    host.policy.peerTold(1, new byte[] {3, 2, 1, 9, 2, 0, 6, 0});
    assertTrue(host.votes.isEmpty());
    host.policy.peerTold(2, new byte[] {3, 2, 1, 9, 2, 0, 6, 0});
    assertEquals(host.votes.get(0), Verdict.BACK);
  }

  @Test
  public void brokenSubscriptionIsAskedForAgain() {
    FakeHost host = new FakeHost("membership_mode=ask").with(2);
    assertEquals(host.subscriptions, 1);
    host.policy.listFailed();
    host.pass(1100);
    assertEquals(host.subscriptions, 2);
  }

  @Test
  public void loadsToldByPeersSteerTheTwoChoices() {
    FakeHost host = new FakeHost("index=3", "balancers=9").with(2);
    Endpoint full = host.old.endpoints.get(0);
    Board board = new Board(TimeSpan.ofMs(6000));
    for (Endpoint endpoint : host.old.endpoints) {
      board.ready(endpoint);
    }
    for (int i = 0; i < 5; i++) {
      board.add(board.attempt(full, null), host.now());
    }
    for (int i = 0; i < 4; i++) {
      host.policy.peerTold(0, board.loads(2, 0, host.now()));
      assertNotSame(host.rpc(0).attempts.get(0).endpoint, full);
    }
    assertEquals(host.toldTo, java.util.List.of(0, 0, 0, 0));
  }

  @Test
  public void nextRelayIsToldWhereTheOneThatAddsUpIsSilent() {
    FakeHost host = new FakeHost("index=3", "balancers=9").with(4);
    host.traffic(80, 50);
    assertTrue(host.toldTo.contains(0) && host.toldTo.contains(1));
    assertFalse(host.toldTo.contains(4));
  }

  @Test
  public void quietRelayPushesBackByTheFleetsWait() {
    FakeHost host = new FakeHost("index=3", "balancers=9").with(4);
    host.policy.peerTold(0, new byte[] {Board.LOADS, 60});
    assertTrue(host.rpc(0).attempts.isEmpty());
    host.pass(1500);
    assertEquals(host.rpc(0).attempts.size(), 1);
  }

  @Test
  public void unitsBehindASlowLinkComeLast() {
    FakeHost host = new FakeHost().with(3);
    Endpoint far = host.ledger.endpointListed(90, 1, 0, 0, 1, null, 1, true);
    for (int i = 0; i < 60; i++) {
      Attempt attempt = host.rpc(0).attempts.get(0);
      host.pass(attempt.endpoint == far ? 600 : 50);
      host.endAll(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    assertTrue(host.sent.stream().skip(20).noneMatch(attempt -> attempt.endpoint == far));
  }

  @Test
  public void quietRelayStaysWithUnitsThatItHasConnectionsTo() {
    FakeHost host = new FakeHost("permissions.keepalive=20000").with(60);
    host.traffic(200, 400);
    long met = host.sent.stream().map(attempt -> attempt.endpoint).distinct().count();
    assertTrue(met <= 20, met + " units met");
  }

  @Test
  public void connectionsThatStoodIdleForLongDrawNobody() {
    FakeHost host = new FakeHost("permissions.keepalive=20000").with(60);
    for (int i = 0; i < 12; i++) {
      host.pass(15_000);
      host.traffic(1, 400);
    }
    long met = host.sent.stream().map(attempt -> attempt.endpoint).distinct().count();
    assertTrue(met >= 10, met + " units met");
  }

  @Test
  public void leadsOfSeveralStagesAddUp() {
    FakeHost host = new FakeHost().with(4).offering(3, 0, 0.1);
    for (int stage = 0; stage < 3; stage++) {
      host.ledger.rolloutChanged(2, stage, RolloutState.ON_TRIAL, 0.4, host.now());
      assertFalse(host.votes.contains(Verdict.BACK));
      host.policy.peerTold(1, new byte[] {3, 2, (byte) stage, 19, 2, 0, 6, 0});
    }
    assertTrue(host.votes.contains(Verdict.BACK));
  }
}
