package sprucerock.accounting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.relay.frames.RecordingRelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The life of RPCs, picks and units as the module is told it. */
public class RequestTrackerTest {
  private static final Timestamp T = Timestamp.ofMs(1000);
  private final Method method =
      new Method(
          0,
          Method.Idempotency.IDEMPOTENT,
          Method.KeyScope.ALL,
          TimeSpan.ofMs(100),
          TimeSpan.ZERO,
          1,
          false);
  private RecordingRelayEvents told;
  private RequestTracker ledger;
  private Endpoint endpoint;

  @BeforeMethod
  public void begin() {
    Settings.Draft draft = new Settings.Draft();
    draft.methods.add(method);
    ledger = new RequestTracker(new Settings(draft));
    told = new RecordingRelayEvents();
    ledger.setListener(told);
    endpoint = ledger.endpointListed(1, 0, 0, 0, 1, null, 1, true);
    told.calls.clear();
  }

  private List<Long> figures() {
    List<Long> found = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      found.add(ledger.accounts().value(ledger.accounts().rpcs, 0, i));
    }
    return found;
  }

  private Rpc arrives(long id) {
    return ledger.rpcArrived(id, method, 0, 0, T, T.plus(TimeSpan.ofMs(1000)), null, null);
  }

  private Attempt sends(Rpc rpc) {
    Attempt attempt = new Attempt(rpc, endpoint, T, null);
    ledger.attemptSent(attempt);
    return attempt;
  }

  @Test
  public void firstOkAnswersAndTheOtherPickIsStillSeen() {
    Rpc rpc = arrives(5);
    Attempt first = sends(rpc);
    Attempt second = sends(rpc);
    ledger.attemptEnded(second, AttemptOutcome.OK, TimeSpan.ofMs(3), true);
    assertTrue(rpc.ended());
    assertSame(ledger.rpc(5), rpc);
    ledger.attemptEnded(first, AttemptOutcome.OK, TimeSpan.ofMs(4), true);
    assertNull(ledger.rpc(5));
    ledger.attemptEnded(first, AttemptOutcome.ERROR, TimeSpan.ofMs(9), true);
    assertEquals(told.calls, List.of("arrived 5", "ended 5.1 OK answers", "ended 5.0 OK"));
    assertEquals(figures(), List.of(1L, 1L, 0L, 0L, 0L, 0L, 0L));
    assertEquals(first.outcome(), AttemptOutcome.OK);
  }

  @Test
  public void anOkAfterTheFinalAnswerChangesNothing() {
    Rpc rpc = arrives(6);
    Attempt attempt = sends(rpc);
    ledger.rejected(rpc);
    ledger.aborted(rpc);
    ledger.clientLeft(rpc);
    ledger.attemptEnded(attempt, AttemptOutcome.OK, TimeSpan.ofMs(3), true);
    assertEquals(told.calls, List.of("arrived 6", "ended 6.0 OK"));
    assertEquals(figures(), List.of(1L, 0L, 1L, 0L, 0L, 0L, 0L));
  }

  @Test
  public void anIdThatComesBackIsAnotherRpc() {
    Rpc first = arrives(7);
    Attempt late = sends(first);
    ledger.rejected(first);
    Rpc again = arrives(7);
    ledger.attemptEnded(late, AttemptOutcome.ERROR, TimeSpan.ofMs(2), true);
    assertSame(ledger.rpc(7), again);
    assertFalse(again.ended());
  }

  @Test
  public void anotherRunIsAnotherUnitAndADrainingOneIsNotReady() {
    assertSame(ledger.endpointListed(1, 0, 0, 0, 1, null, 2, true), endpoint);
    assertEquals(endpoint.weight(), 2.0);
    Endpoint next = ledger.endpointListed(1, 0, 0, 0, 1, T, 1, true);
    assertNotSame(next, endpoint);
    assertFalse(endpoint.ready());
    ledger.endpointListed(1, 0, 0, 0, 1, T, 1, false);
    assertFalse(next.ready());
    assertTrue(next.build.endpoints.isEmpty());
    ledger.retainEndpoints(Set.of());
    assertNull(ledger.endpoint(1));
    assertEquals(told.calls, List.of("leaving 1", "ready 1", "leaving 1", "leaving 1"));
  }

  @Test
  public void countsOfUnknownBuildsTellNothing() {
    ledger.counted(9, 0, 10, 1, TimeSpan.ZERO);
    assertTrue(told.calls.isEmpty());
    ledger.rolloutChanged(9, 0, RolloutState.ON_TRIAL, 0.1, T);
    ledger.counted(9, 0, 10, 1, TimeSpan.ZERO);
    assertEquals(told.calls, List.of("news 9 0 ON_TRIAL 0.1", "counted 9"));
  }

  @Test
  public void takenIsAlwaysTheSumOfWhatBecameOfIt() {
    SplittableRandom random = new SplittableRandom(8);
    List<Rpc> rpcs = new ArrayList<>();
    for (int i = 0; i < 20_000; i++) {
      Rpc rpc =
          rpcs.isEmpty() || random.nextInt(4) == 0
              ? arrives(i)
              : rpcs.get(random.nextInt(rpcs.size()));
      if (!rpcs.contains(rpc)) {
        rpcs.add(rpc);
      }
      switch (random.nextInt(6)) {
        case 0 -> ledger.rejected(rpc);
        case 1 -> ledger.aborted(rpc);
        case 2 -> ledger.clientLeft(rpc);
        case 3 -> sends(rpc);
        default -> {
          if (rpc.attempts.isEmpty()) {
            break;
          }
          AttemptOutcome outcome =
              AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
          boolean closes = rpc.ended() || outcome == AttemptOutcome.OK;
          ledger.attemptEnded(
              rpc.attempts.get(random.nextInt(rpc.attempts.size())),
              outcome,
              TimeSpan.ofMs(1),
              closes);
        }
      }
      if (rpcs.size() > 30) {
        rpcs.remove(0);
      }
      assertEquals(ledger.accounts().check(), List.of());
      assertEquals((long) figures().get(6), ledger.openRpcs());
      assertEquals(
          ledger.accounts().sum(ledger.accounts().attempts, ledger.accounts().attempts.pending()),
          endpoint.inFlight());
    }
  }
}
