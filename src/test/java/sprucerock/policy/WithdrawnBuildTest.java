package sprucerock.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;

/** What relays that nobody tells what others saw send to builds that come and go. */
public class WithdrawnBuildTest {
  private static final String[] ALONE = {
    "permissions.peers=false", "permissions.second_copies=false", "balancers=110"
  };

  /**
   * Four endpoints of the released build 1 and two of build 2, which was on trial and then in the
   * states told.
   */
  private static FakeRelayActions after(RolloutState... told) {
    FakeRelayActions relay = new FakeRelayActions(ALONE).withBaseline(4).withCanary(2, 0, 0.1);
    for (RolloutState standing : told) {
      relay.advance(500);
      relay.tracker.rolloutChanged(
          2, 0, standing, standing == RolloutState.RELEASED ? 1 : 0, relay.now());
    }
    return relay;
  }

  private static FakeRelayActions thenOffered(FakeRelayActions relay) {
    relay.advance(500);
    relay.tracker.rolloutChanged(3, 0, RolloutState.ON_TRIAL, 0.1, relay.now());
    return relay;
  }

  /** RPCs with effects, one every 50 ms, that are answered ok or rejected as full after 40 ms. */
  private static void requestsWithEffects(
      FakeRelayActions relay, int rpcs, AttemptOutcome atCanary) {
    for (int i = 0; i < rpcs; i++) {
      relay.rpc(2);
      relay.advance(40);
      relay.endAll(atCanary, AttemptOutcome.OK);
      relay.advance(10);
    }
  }

  @Test
  public void withdrawnBuildStillListedGetsNothingOnceTheNextIsOffered() {
    FakeRelayActions relay = thenOffered(after(RolloutState.GOING_BACK, RolloutState.WITHDRAWN));
    requestsWithEffects(relay, 40, AttemptOutcome.FULL);
    assertEquals(relay.sentTo(relay.canary), 0);
    assertEquals(relay.sentTo(relay.baseline), 40);
    assertTrue(relay.rejected.isEmpty() && relay.failed.isEmpty());
  }

  @Test
  public void buildOfWhichOnlyItsGoingBackWasToldGetsNothing() {
    FakeRelayActions relay = thenOffered(after(RolloutState.GOING_BACK));
    requestsWithEffects(relay, 40, AttemptOutcome.NOT_CONNECTED);
    assertEquals(relay.sentTo(relay.canary), 0);
    assertTrue(relay.rejected.isEmpty() && relay.failed.isEmpty());
  }

  @Test
  public void endpointsOfAWithdrawnBuildListedLateGetNothing() {
    FakeRelayActions relay = thenOffered(after(RolloutState.WITHDRAWN));
    relay.endpoint(relay.canary, relay.now());
    requestsWithEffects(relay, 40, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 0);
  }

  @Test
  public void buildWithdrawnBeforeTheLastGetsNothing() {
    FakeRelayActions relay = thenOffered(after(RolloutState.WITHDRAWN));
    Build second = relay.tracker.build(3);
    relay.endpoint(second, null);
    relay.tracker.rolloutChanged(3, 0, RolloutState.WITHDRAWN, 0, relay.now());
    relay.advance(500);
    relay.tracker.rolloutChanged(4, 0, RolloutState.ON_TRIAL, 0.1, relay.now());
    requestsWithEffects(relay, 40, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary) + relay.sentTo(second), 0);
  }

  @Test
  public void withdrawnBuildServesWhereNothingElseIsListed() {
    FakeRelayActions relay = thenOffered(after(RolloutState.WITHDRAWN));
    for (var endpoint : java.util.List.copyOf(relay.baseline.endpoints)) {
      relay.tracker.endpointRemoved(endpoint.id);
    }
    requestsWithEffects(relay, 20, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 20);
  }

  @Test
  public void releasedBuildKeepsTheTrafficWhileTheNextIsOnTrial() {
    FakeRelayActions relay = thenOffered(after(RolloutState.RELEASED));
    requestsWithEffects(relay, 20, AttemptOutcome.OK);
    assertEquals(relay.sentTo(relay.canary), 20);
  }
}
