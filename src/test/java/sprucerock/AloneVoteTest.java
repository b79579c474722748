package sprucerock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;

/** Stories of relays that nobody tells what others saw, while builds come and go. */
public class AloneVoteTest {
  private static final String[] ALONE = {
    "permissions.peers=false", "permissions.second_copies=false", "balancers=110"
  };

  /**
   * Four units of the released build 1 and two of build 2, which was on trial and then stood as
   * told.
   */
  private static FakeHost after(RolloutState... told) {
    FakeHost host = new FakeHost(ALONE).with(4).offering(2, 0, 0.1);
    for (RolloutState standing : told) {
      host.pass(500);
      host.ledger.rolloutChanged(
          2, 0, standing, standing == RolloutState.RELEASED ? 1 : 0, host.now());
    }
    return host;
  }

  private static FakeHost thenOffered(FakeHost host) {
    host.pass(500);
    host.ledger.rolloutChanged(3, 0, RolloutState.ON_TRIAL, 0.1, host.now());
    return host;
  }

  /** RPCs with effects, one every 50 ms, that are answered ok or refused as full after 40 ms. */
  private static void effects(FakeHost host, int rpcs, AttemptOutcome atFresh) {
    for (int i = 0; i < rpcs; i++) {
      host.rpc(2);
      host.pass(40);
      host.endAll(atFresh, AttemptOutcome.OK);
      host.pass(10);
    }
  }

  @Test
  public void withdrawnBuildStillListedGetsNothingOnceTheNextIsOffered() {
    FakeHost host = thenOffered(after(RolloutState.GOING_BACK, RolloutState.WITHDRAWN));
    effects(host, 40, AttemptOutcome.FULL);
    assertEquals(host.sentTo(host.fresh), 0);
    assertEquals(host.sentTo(host.old), 40);
    assertTrue(host.pushedBack.isEmpty() && host.aborted.isEmpty());
  }

  @Test
  public void soDoesOneOfWhichOnlyItsGoingBackWasTold() {
    FakeHost host = thenOffered(after(RolloutState.GOING_BACK));
    effects(host, 40, AttemptOutcome.NOT_CONNECTED);
    assertEquals(host.sentTo(host.fresh), 0);
    assertTrue(host.pushedBack.isEmpty() && host.aborted.isEmpty());
  }

  @Test
  public void unitsOfItListedLateGetNothingEither() {
    FakeHost host = thenOffered(after(RolloutState.WITHDRAWN));
    host.unit(host.fresh, host.now());
    effects(host, 40, AttemptOutcome.OK);
    assertEquals(host.sentTo(host.fresh), 0);
  }

  @Test
  public void oneWithdrawnBeforeTheLastGetsNothingToo() {
    FakeHost host = thenOffered(after(RolloutState.WITHDRAWN));
    Build second = host.ledger.build(3);
    host.unit(second, null);
    host.ledger.rolloutChanged(3, 0, RolloutState.WITHDRAWN, 0, host.now());
    host.pass(500);
    host.ledger.rolloutChanged(4, 0, RolloutState.ON_TRIAL, 0.1, host.now());
    effects(host, 40, AttemptOutcome.OK);
    assertEquals(host.sentTo(host.fresh) + host.sentTo(second), 0);
  }

  @Test
  public void whereNothingElseIsListedItServes() {
    FakeHost host = thenOffered(after(RolloutState.WITHDRAWN));
    for (var endpoint : java.util.List.copyOf(host.old.endpoints)) {
      host.ledger.endpointRemoved(endpoint.id);
    }
    effects(host, 20, AttemptOutcome.OK);
    assertEquals(host.sentTo(host.fresh), 20);
  }

  @Test
  public void releasedBuildKeepsTheTrafficWhileTheNextIsOnTrial() {
    FakeHost host = thenOffered(after(RolloutState.RELEASED));
    effects(host, 20, AttemptOutcome.OK);
    assertEquals(host.sentTo(host.fresh), 20);
  }
}
