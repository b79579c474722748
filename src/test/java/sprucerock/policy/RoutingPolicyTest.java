package sprucerock.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.stats.KolmogorovSmirnov;
import sprucerock.time.TimeSpan;

/** Tests the decisions of one relay at the limits of rules and in failures that have occurred. */
public class RoutingPolicyTest {
  private static final String NO_HEDGING = "permissions.second_copies=false";
  private static final String ONE_WAY_KEYS = "specifics.keys_stay=true";

  @Test
  public void everyRpcIsAnsweredBeforeItsDeadline() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(2);
    Rpc rpc = relay.arriveRpc(2, 0, 1000);
    // The RPC ends two ticks of 5 ms before its deadline.
    relay.advance(985);
    assertTrue(relay.failed.isEmpty());
    relay.advance(10);
    assertSame(relay.failed.get(0), rpc);
    relay.endAttempt(relay.sent.get(0), AttemptOutcome.ERROR);
    relay.advance(5000);
    assertEquals(relay.sent.size(), 1);
    assertEquals(relay.failed.size() + relay.rejected.size(), 1);
  }

  @Test
  public void nonIdempotentRequestIsRetriedOnlyIfItProvablyNeverRan() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(3);
    relay.arriveRpc(2);
    relay.endAttempt(relay.sent.get(0), AttemptOutcome.FULL);
    assertEquals(relay.sent.size(), 2);
    relay.endAttempt(relay.sent.get(1), AttemptOutcome.BROKEN);
    assertEquals(relay.sent.size(), 2);
    assertEquals(relay.failed.size(), 1);
    assertTrue(relay.rejected.isEmpty());
  }

  @Test
  public void keyedRequestIsRetriedOnlyWithinItsKeyLifetime() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(5);
    relay.arriveRpc(1);
    relay.endAttempt(relay.sent.get(0), AttemptOutcome.ERROR);
    assertEquals(relay.sent.size(), 2);
    // Less than a tick before the end of the key's lifetime of 2 s.
    relay.advance(1999);
    int sentBefore = relay.sent.size();
    for (Attempt attempt : relay.sent) {
      if (attempt.outcome() == null) {
        relay.endAttempt(attempt, AttemptOutcome.ERROR);
      }
    }
    assertEquals(relay.sent.size(), sentBefore);
    assertEquals(relay.rejected.size(), 1);
  }

  @Test
  public void keyedRequestStaysInItsKeyScopeOnceItMayHaveRun() {
    FakeRelayActions relay = new FakeRelayActions("classes.1.group=zone").withBaseline(1);
    Endpoint endpointInOtherZone = relay.tracker.endpointListed(90, 1, 0, 0, 1, null, 1, true);
    Rpc rpc = relay.arriveRpc(1);
    relay.endAttempt(rpc.attempts.get(0), AttemptOutcome.ERROR);
    assertEquals(rpc.attempts.size(), 1);
    assertSame(relay.failed.get(0), rpc);
  }

  @Test
  public void neverTwoAttemptsInFlightWithoutHedging() {
    FakeRelayActions relay = new FakeRelayActions(NO_HEDGING).withBaseline(4).withCanary(2, 1, 0.4);
    for (int i = 0; i < 20; i++) {
      Rpc rpc = relay.arriveRpc(i % 3);
      relay.advance(60);
      assertTrue(rpc.inFlight() <= 1);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    Rpc slow = relay.arriveRpc(0);
    relay.advance(1400);
    assertEquals(slow.attempts.size(), 1);
  }

  @Test
  public void drainingEndpointGetsNoNewAttempts() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(2);
    Endpoint draining = relay.baseline.endpoints.get(0);
    relay.tracker.endpointRemoved(draining.id);
    for (int i = 0; i < 20; i++) {
      relay.arriveRpc(0);
    }
    assertTrue(relay.sent.stream().noneMatch(attempt -> attempt.endpoint == draining));
  }

  @Test
  public void coldEndpointGetsLessThanAWarmOne() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4);
    relay.runTraffic(40, 50);
    Endpoint cold = relay.listEndpoint(relay.baseline, relay.now());
    int before = relay.sent.size();
    relay.runTraffic(20, 50);
    long atCold =
        relay.sent.stream().skip(before).filter(attempt -> attempt.endpoint == cold).count();
    assertTrue(atCold <= 3, "sent " + atCold);
  }

  @Test
  public void attemptsAtTheCanaryStayUnderTheCap() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4).withCanary(3, 0, 0.1);
    relay.runTraffic(100, 50);
    long canaryAttempts = relay.sentTo(relay.canary);
    assertTrue(
        canaryAttempts > 3 && canaryAttempts <= 3 + 0.1 * 100, "shadow requests " + canaryAttempts);
  }

  @Test
  public void unannouncedOrWithdrawnBuildGetsNoAttempts() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(2);
    relay.listEndpoint(relay.canary, relay.now().minus(TimeSpan.ofMs(9000)));
    relay.runTraffic(10, 50);
    assertEquals(relay.sentTo(relay.canary), 0);
    relay.tracker.rolloutChanged(2, 0, RolloutState.GOING_BACK, 0, relay.now());
    relay.runTraffic(10, 50);
    assertEquals(relay.sentTo(relay.canary), 0);
  }

  @Test
  public void nonIdempotentRequestsAreNeverShadowedAndStayOutOfTheFirstStage() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4).withCanary(3, 0, 1.0);
    for (int i = 0; i < 20; i++) {
      Rpc rpc = relay.arriveRpc(1 + i % 2);
      relay.advance(50);
      assertEquals(rpc.attempts.size(), 1);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    assertEquals(relay.sentTo(relay.canary), 0);
  }

  @Test
  public void firstOkOfBaselineAndShadowRequestAnswersTheClient() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4);
    relay.runTraffic(40, 50);
    relay.withCanary(3, 1, 1.0);
    Rpc rpc = relay.arriveUntilShadowed(0);
    assertSame(rpc.attempts.get(0).endpoint.build, relay.baseline);
    assertSame(rpc.attempts.get(1).endpoint.build, relay.canary);
    relay.endAttempt(rpc.attempts.get(1), AttemptOutcome.OK);
    assertTrue(rpc.ended());
    assertTrue(relay.cancelled.isEmpty());
  }

  @Test
  public void keyThatTheCanaryAnsweredNeverGoesBackToTheBaseline() {
    FakeRelayActions relay = new FakeRelayActions(ONE_WAY_KEYS).withBaseline(4);
    for (long key = 100; key < 140; key++) {
      relay.arriveRpc(0, key, 4000);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    relay.withCanary(3, 1, 1.0);
    relay.arriveUntilShadowed(7);
    relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    relay.advance(500);
    int rejectedBefore = relay.rejected.size();
    Rpc secondRpc = relay.arriveRpc(2, 7, 4000);
    for (Attempt attempt : secondRpc.attempts) {
      assertSame(attempt.endpoint.build, relay.canary);
    }
    assertEquals(relay.rejected.size() - rejectedBefore + secondRpc.attempts.size(), 1);
    relay.tracker.rolloutChanged(2, 1, RolloutState.GOING_BACK, 0, relay.now());
    Rpc thirdRpc = relay.arriveRpc(2, 7, 4000);
    assertSame(thirdRpc.attempts.get(0).endpoint.build, relay.baseline);
  }

  @Test
  public void baselineEndpointsListedBeforeTheRollbackUpdateGetNoKey() {
    FakeRelayActions relay =
        new FakeRelayActions(ONE_WAY_KEYS).withBaseline(2).withCanary(4, 2, 1.0);
    relay.tracker.rolloutChanged(2, 2, RolloutState.RELEASED, 1, relay.now());
    for (Endpoint endpoint : java.util.List.copyOf(relay.baseline.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    relay.arriveRpc(0, 7, 4000);
    relay.advance(50);
    relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    for (Endpoint endpoint : java.util.List.copyOf(relay.canary.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    relay.listEndpoint(relay.baseline, relay.now().minus(TimeSpan.ofMs(9000)));
    relay.arriveRpc(0, 7, 4000);
    assertEquals(relay.sentTo(relay.baseline), 0);
  }

  @Test
  public void popularKeyDoesNotBecomeSticky() {
    FakeRelayActions relay = new FakeRelayActions(ONE_WAY_KEYS).withBaseline(4);
    for (int i = 0; i < 40; i++) {
      relay.arriveRpc(0, 7, 4000);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    relay.withCanary(3, 0, 0.1);
    relay.advance(2000);
    assertEquals(relay.arriveRpc(0, 7, 4000).attempts.size(), 1);
  }

  @Test
  public void shadowRequestsThatFailAloneCauseAVoteBack() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6);
    relay.runTraffic(40, 50);
    relay.withCanary(3, 1, 1.0);
    for (int i = 0; i < 40 && !relay.votes.contains(Verdict.BACK); i++) {
      relay.arriveRpc(0);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertTrue(relay.votes.contains(Verdict.BACK));
  }

  @Test
  public void timeoutsAndFullEndpointsAreNotFailures() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6);
    relay.runTraffic(40, 50);
    relay.withCanary(3, 1, 1.0);
    for (int i = 0; i < 60; i++) {
      relay.arriveRpc(0);
      relay.advance(50);
      relay.endAllInFlight(
          i % 2 == 0 ? AttemptOutcome.FULL : AttemptOutcome.TIMED_OUT, AttemptOutcome.OK);
    }
    assertFalse(relay.votes.contains(Verdict.BACK));
  }

  @Test
  public void oneSidedDistanceIsZeroForTheFasterSide() {
    double[] fast = {1, 2, 3, 4};
    double[] slow = {5, 6, 7, 8};
    assertEquals(KolmogorovSmirnov.oneSidedDistance(slow, fast), 1.0);
    assertEquals(KolmogorovSmirnov.oneSidedDistance(fast, slow), 0.0);
    assertEquals(KolmogorovSmirnov.oneSidedDistance(fast, fast), 0.0);
  }

  @Test
  public void voteForAGoodBuildIsRenewedAndCastAgainWhenLost() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6);
    relay.runTraffic(40, 50);
    relay.withCanary(3, 0, 0.4);
    relay.runTraffic(120, 50);
    assertTrue(relay.votes.contains(Verdict.ON));
    relay.policy.voteAnswered(VoteReply.TOO_MANY);
    int votesBefore = relay.votes.size();
    relay.advance(500);
    assertEquals(relay.votes.size(), votesBefore + 1);
    relay.policy.voteAnswered(VoteReply.COUNTS);
    relay.advance(1500);
    assertEquals(relay.votes.size(), votesBefore + 1);
    relay.advance(1000);
    assertEquals(relay.votes.size(), votesBefore + 2);
  }

  @Test
  public void lowTrafficRelayVotesOnAtTheFallbackAge() {
    FakeRelayActions relay = new FakeRelayActions("specifics.vote_mode=majority").withBaseline(2);
    relay.tracker.rolloutChanged(2, 0, RolloutState.ON_TRIAL, 0.1, relay.now());
    relay.advance(1000);
    relay.listEndpoint(relay.canary, relay.now());
    // The fallback age of 3 s counts from the endpoint's start.
    relay.advance(2900);
    assertTrue(relay.votes.isEmpty());
    relay.advance(300);
    assertEquals(relay.votes.get(0), Verdict.ON);
  }

  @Test
  public void silentEndpointIsBypassedByAHedgedRequest() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(3);
    relay.runTraffic(20, 50);
    Rpc rpc = relay.arriveRpc(0);
    relay.advance(700);
    assertEquals(rpc.attempts.size(), 2);
    assertNotSame(rpc.attempts.get(0).endpoint, rpc.attempts.get(1).endpoint);
  }

  @Test
  public void endpointThatFailsFastIsEjected() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(5);
    Endpoint bad = relay.baseline.endpoints.get(0);
    for (int i = 0; i < 60; i++) {
      relay.arriveRpc(0);
      relay.advance(30);
      for (Attempt attempt : java.util.List.copyOf(relay.sent)) {
        if (attempt.outcome() == null) {
          relay.endAttempt(
              attempt, attempt.endpoint == bad ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
      }
    }
    long atBad = relay.sent.stream().skip(30).filter(attempt -> attempt.endpoint == bad).count();
    assertTrue(atBad <= 4, "sent " + atBad);
  }

  @Test
  public void overloadIsRejectedAtOnce() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(2);
    for (int i = 0; i < 60; i++) {
      relay.arriveRpc(0);
      relay.advance(10);
    }
    assertFalse(relay.rejected.isEmpty());
    assertTrue(relay.rejected.get(0).attempts.isEmpty());
  }

  @Test
  public void trafficThatHasJustBegunIsNotRejected() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4);
    for (int i = 0; i < 200; i++) {
      // Traffic rises from 0 to 100 RPCs per second; each RPC is answered after 100 ms.
      relay.arriveRpc(0);
      relay.advance(10);
      if (i >= 9) {
        relay.sent.stream()
            .filter(attempt -> attempt.outcome() == null)
            .limit(1)
            .toList()
            .forEach(attempt -> relay.endAttempt(attempt, AttemptOutcome.OK));
      }
    }
    assertTrue(relay.rejected.isEmpty(), relay.rejected.size() + " rejected");
  }

  @Test
  public void buildIsBlamedWhenTheBaselineSlowsDownWithShadowRequests() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(8);
    relay.advance(2500);
    relay.runTraffic(80, 50);
    relay.withCanary(3, 1, 0.4);
    int lastShadowed = 0;
    for (int i = 0; i < 900 && !relay.votes.contains(Verdict.BACK); i++) {
      if (relay.arriveRpc(0).attempts.size() > 1) {
        lastShadowed = i;
      }
      // The baseline is slow for twelve RPCs after each shadow request.
      relay.advance(i - lastShadowed < 12 ? 200 : 40);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
      relay.advance(10);
    }
    assertTrue(relay.votes.contains(Verdict.BACK));
  }

  @Test
  public void releasedBuildIsJudgedForAFixedTimeOnly() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6).withCanary(6, 2, 1.0);
    relay.tracker.rolloutChanged(2, 2, RolloutState.RELEASED, 1, relay.now());
    for (Endpoint endpoint : java.util.List.copyOf(relay.baseline.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    relay.advance(16_000);
    for (int i = 0; i < 40; i++) {
      relay.arriveRpc(2);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertFalse(relay.votes.contains(Verdict.BACK));
  }

  @Test
  public void releasedBuildThatFailsEverywhereIsRolledBack() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6).withCanary(6, 2, 1.0);
    relay.tracker.rolloutChanged(2, 2, RolloutState.RELEASED, 1, relay.now());
    for (Endpoint endpoint : java.util.List.copyOf(relay.baseline.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    for (int i = 0; i < 40; i++) {
      relay.arriveRpc(2);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.ERROR, AttemptOutcome.OK);
    }
    assertTrue(relay.votes.contains(Verdict.BACK));
  }

  @Test
  public void pairsReportedByPeersAddUp() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(6).withCanary(3, 1, 0.4);
    // Each report of build 2 in stage 1: nine pairs, two canary failures at different endpoints.
    relay.policy.peerMessageReceived(1, new byte[] {3, 2, 1, 9, 2, 0, 6, 0});
    assertTrue(relay.votes.isEmpty());
    relay.policy.peerMessageReceived(2, new byte[] {3, 2, 1, 9, 2, 0, 6, 0});
    assertEquals(relay.votes.get(0), Verdict.BACK);
  }

  @Test
  public void brokenSubscriptionIsRenewed() {
    FakeRelayActions relay = new FakeRelayActions("membership_mode=ask").withBaseline(2);
    assertEquals(relay.subscriptions, 1);
    relay.policy.endpointListFailed();
    relay.advance(1100);
    assertEquals(relay.subscriptions, 2);
  }

  @Test
  public void loadsReportedByPeersGuideEndpointSelection() {
    FakeRelayActions relay = new FakeRelayActions("index=3", "balancers=9").withBaseline(2);
    Endpoint loaded = relay.baseline.endpoints.get(0);
    LoadReports reports = new LoadReports(TimeSpan.ofMs(6000));
    for (Endpoint endpoint : relay.baseline.endpoints) {
      reports.addEndpoint(endpoint);
    }
    for (int i = 0; i < 5; i++) {
      reports.applyAttempt(reports.encodeAttempt(loaded, null), relay.now());
    }
    for (int i = 0; i < 4; i++) {
      relay.policy.peerMessageReceived(0, reports.encodeLoads(2, 0, relay.now()));
      assertNotSame(relay.arriveRpc(0).attempts.get(0).endpoint, loaded);
    }
    assertEquals(relay.recipients, java.util.List.of(0, 0, 0, 0));
  }

  @Test
  public void nextRelayBecomesAggregatorIfTheLastIsSilent() {
    FakeRelayActions relay = new FakeRelayActions("index=3", "balancers=9").withBaseline(4);
    relay.runTraffic(80, 50);
    assertTrue(relay.recipients.contains(0) && relay.recipients.contains(1));
    assertFalse(relay.recipients.contains(4));
  }

  @Test
  public void lowTrafficRelayRejectsByTheFleetWait() {
    FakeRelayActions relay = new FakeRelayActions("index=3", "balancers=9").withBaseline(4);
    // A fleet wait of 60/64 of the mean latency objective.
    relay.policy.peerMessageReceived(0, new byte[] {LoadReports.LOADS_MESSAGE, 60});
    assertTrue(relay.arriveRpc(0).attempts.isEmpty());
    relay.advance(1500);
    assertEquals(relay.arriveRpc(0).attempts.size(), 1);
  }

  @Test
  public void endpointsInASlowZoneAreUsedLast() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(3);
    Endpoint endpointInOtherZone = relay.tracker.endpointListed(90, 1, 0, 0, 1, null, 1, true);
    for (int i = 0; i < 60; i++) {
      Attempt attempt = relay.arriveRpc(0).attempts.get(0);
      relay.advance(attempt.endpoint == endpointInOtherZone ? 600 : 50);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    assertTrue(
        relay.sent.stream().skip(20).noneMatch(attempt -> attempt.endpoint == endpointInOtherZone));
  }

  @Test
  public void lowTrafficRelayPrefersConnectedEndpoints() {
    FakeRelayActions relay = new FakeRelayActions("permissions.keepalive=20000").withBaseline(60);
    relay.runTraffic(200, 400);
    long endpointsUsed = relay.sent.stream().map(attempt -> attempt.endpoint).distinct().count();
    assertTrue(endpointsUsed <= 20, endpointsUsed + " endpoints used");
  }

  @Test
  public void longIdleConnectionsAreNotPreferred() {
    FakeRelayActions relay = new FakeRelayActions("permissions.keepalive=20000").withBaseline(60);
    for (int i = 0; i < 12; i++) {
      relay.advance(15_000);
      relay.runTraffic(1, 400);
    }
    long endpointsUsed = relay.sent.stream().map(attempt -> attempt.endpoint).distinct().count();
    assertTrue(endpointsUsed >= 10, endpointsUsed + " endpoints used");
  }

  @Test
  public void failureLeadsOfSeveralStagesAddUp() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4).withCanary(3, 0, 0.1);
    for (int stage = 0; stage < 3; stage++) {
      relay.tracker.rolloutChanged(2, stage, RolloutState.ON_TRIAL, 0.4, relay.now());
      assertFalse(relay.votes.contains(Verdict.BACK));
      // 19 pairs with two canary failures: too few for a vote in one stage.
      relay.policy.peerMessageReceived(1, new byte[] {3, 2, (byte) stage, 19, 2, 0, 6, 0});
    }
    assertTrue(relay.votes.contains(Verdict.BACK));
  }

  /** Guards against a retry at an endpoint that drains unknown to an unconfirmed list. */
  @Test
  public void byAnUnconfirmedListNeitherRequestsNorRetriesAreSent() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(3);
    relay.arriveRpc(0);
    relay.policy.endpointListStateChanged(EndpointListState.UNCONFIRMED);
    relay.endAttempt(relay.sent.get(0), AttemptOutcome.FULL);
    relay.arriveRpc(0);
    assertEquals(relay.sent.size(), 1);
    assertEquals(relay.rejected.size(), 2);
    relay.policy.endpointListStateChanged(EndpointListState.CONFIRMED);
    relay.arriveRpc(0);
    assertEquals(relay.sent.size(), 2);
  }

  /** Guards against a key that goes back to the baseline while its attempt awaits a connection. */
  @Test
  public void anAttemptIsNotWrittenOnceTheCanaryHasAnsweredItsKey() {
    FakeRelayActions relay = new FakeRelayActions(ONE_WAY_KEYS).withBaseline(4);
    for (long key = 100; key < 140; key++) {
      relay.arriveRpc(0, key, 4000);
      relay.advance(50);
      relay.endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    relay.withCanary(3, 1, 1.0);
    Rpc shadowed = relay.arriveUntilShadowed(7);
    Attempt waiting = relay.arriveRpc(2, 7, 4000).attempts.get(0);
    Attempt ofAnotherKey = relay.arriveRpc(2, 8, 4000).attempts.get(0);
    assertSame(waiting.endpoint.build, relay.baseline);
    assertTrue(relay.policy.mayWrite(waiting));
    for (Attempt attempt : shadowed.attempts) {
      if (attempt.endpoint.build == relay.canary) {
        relay.endAttempt(attempt, AttemptOutcome.OK);
      }
    }
    assertFalse(relay.policy.mayWrite(waiting));
    assertTrue(relay.policy.mayWrite(ofAnotherKey));
    relay.tracker.rolloutChanged(2, 1, RolloutState.GOING_BACK, 0, relay.now());
    assertTrue(relay.policy.mayWrite(waiting));
  }

  /** Guards against attempts above a cap that was lowered while they awaited their connections. */
  @Test
  public void anAttemptAtTheCanaryIsNotWrittenUnderALowerCap() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(4).withCanary(3, 1, 0.4);
    Attempt shadow = relay.arriveUntilShadowed(7).attempts.get(1);
    assertSame(shadow.endpoint.build, relay.canary);
    assertTrue(relay.policy.mayWrite(shadow));
    relay.tracker.rolloutChanged(2, 2, RolloutState.ON_TRIAL, 1.0, relay.now());
    assertTrue(relay.policy.mayWrite(shadow));
    relay.tracker.rolloutChanged(2, 2, RolloutState.GOING_BACK, 0.2, relay.now());
    assertFalse(relay.policy.mayWrite(shadow));
  }

  /** Guards against attempts at a released build that is sent back while they await connections. */
  @Test
  public void anAttemptAtAReleasedBuildIsNotWrittenOnceItIsSentBack() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(2).withCanary(4, 2, 1.0);
    relay.tracker.rolloutChanged(2, 2, RolloutState.RELEASED, 1, relay.now());
    Attempt waiting = relay.arriveRpc(0).attempts.get(0);
    assertSame(waiting.endpoint.build, relay.canary);
    assertTrue(relay.policy.mayWrite(waiting));
    relay.tracker.rolloutChanged(2, 2, RolloutState.GOING_BACK, 0.5, relay.now());
    assertFalse(relay.policy.mayWrite(waiting));
  }

  @Test
  public void anAttemptIsNotWrittenToAnEndpointThatDrainsOrByAnUnconfirmedList() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(3);
    Attempt waiting = relay.arriveRpc(0).attempts.get(0);
    relay.policy.endpointListStateChanged(EndpointListState.UNCONFIRMED);
    assertFalse(relay.policy.mayWrite(waiting));
    relay.policy.endpointListStateChanged(EndpointListState.CONFIRMED);
    assertTrue(relay.policy.mayWrite(waiting));
    relay.tracker.endpointRemoved(waiting.endpoint.id);
    assertFalse(relay.policy.mayWrite(waiting));
  }
}
