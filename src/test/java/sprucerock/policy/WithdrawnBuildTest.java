package sprucerock.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;

/**
 * Tests which builds get traffic as rollouts come and go, at relays without gossip. It guards
 * against traffic to a withdrawn build whose draining endpoints are still listed.
 */
public class WithdrawnBuildTest {
  private static final String[] NO_GOSSIP_NO_HEDGING = {
    "permissions.peers=false", "permissions.second_copies=false", "balancers=110"
  };

  /**
   * Creates a relay with four endpoints of the released build 1 and two of build 2, which was on
   * trial and then in the given states.
   */
  private static FakeRelayActions afterRolloutStates(RolloutState... states) {
    FakeRelayActions relay =
        new FakeRelayActions(NO_GOSSIP_NO_HEDGING).withBaseline(4).withCanary(2, 0, 0.1);
    for (RolloutState state : states) {
      relay.advance(500);
      relay.tracker.rolloutChanged(
          2, 0, state, state == RolloutState.RELEASED ? 1 : 0, relay.now());
    }
    return relay;
  }

  private static FakeRelayActions offerNextBuild(FakeRelayActions relay) {
    relay.advance(500);
    relay.tracker.rolloutChanged(3, 0, RolloutState.ON_TRIAL, 0.1, relay.now());
    return relay;
  }

  /**
   * Sends non-idempotent RPCs, one every 50 ms. After 40 ms, attempts at the canary end with the
   * given outcome, all others with OK.
   */
  private static void sendNonIdempotent(FakeRelayActions relay, int rpcs, AttemptOutcome atCanary) {
    for (int i = 0; i < rpcs; i++) {
      relay.arriveRpc(2);
      relay.advance(40);
      relay.endAllInFlight(atCanary, AttemptOutcome.OK);
      relay.advance(10);
    }
  }

  @Test
  public void withdrawnBuildStillListedGetsNoAttemptsOnceTheNextIsOnTrial() {
    FakeRelayActions relay =
        offerNextBuild(afterRolloutStates(RolloutState.GOING_BACK, RolloutState.WITHDRAWN));
    sendNonIdempotent(relay, 40, AttemptOutcome.FULL);
    assertEquals(relay.sentTo(relay.canary), 0);
    assertEquals(relay.sentTo(relay.baseline), 40);
    assertTrue(relay.rejected.isEmpty() && relay.failed.isEmpty());
  }

  @Test
  public void buildLastReportedAsGoingBackGetsNoAttempts() {
    FakeRelayActions relay = offerNextBuild(afterRolloutStates(RolloutState.GOING_BACK));
    sendNonIdempotent(relay, 40, AttemptOutcome.NOT_CONNECTED);
    assertEquals(relay.sentTo(relay.canary), 0);
    assertTrue(relay.rejected.isEmpty() && relay.failed.isEmpty());
  }

  @Test
  public void lateListedEndpointsOfAWithdrawnBuildGetNoAttempts() {
    FakeRelayActions relay = offerNextBuild(afterRolloutStates(RolloutState.WITHDRAWN));
    relay.listEndpoint(relay.canary, relay.now());
    sendNonIdempotent(relay, 40, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 0);
  }

  @Test
  public void buildWithdrawnBeforeTheLastOneGetsNoAttempts() {
    FakeRelayActions relay = offerNextBuild(afterRolloutStates(RolloutState.WITHDRAWN));
    Build nextBuild = relay.tracker.build(3);
    relay.listEndpoint(nextBuild, null);
    relay.tracker.rolloutChanged(3, 0, RolloutState.WITHDRAWN, 0, relay.now());
    relay.advance(500);
    relay.tracker.rolloutChanged(4, 0, RolloutState.ON_TRIAL, 0.1, relay.now());
    sendNonIdempotent(relay, 40, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary) + relay.sentTo(nextBuild), 0);
  }

  @Test
  public void withdrawnBuildServesIfNoOtherBuildIsListed() {
    FakeRelayActions relay = offerNextBuild(afterRolloutStates(RolloutState.WITHDRAWN));
    for (var endpoint : java.util.List.copyOf(relay.baseline.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    sendNonIdempotent(relay, 20, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 20);
  }

  @Test
  public void releasedBuildKeepsTheTrafficWhileTheNextIsOnTrial() {
    FakeRelayActions relay = offerNextBuild(afterRolloutStates(RolloutState.RELEASED));
    sendNonIdempotent(relay, 20, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 20);
  }
}
