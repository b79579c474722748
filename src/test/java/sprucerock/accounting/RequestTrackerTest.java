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

/** Tests the state of RPCs, attempts and endpoints and the notifications of the policy. */
public class RequestTrackerTest {
  private static final Timestamp NOW = Timestamp.ofMs(1000);
  private final Method method =
      new Method(
          0,
          Method.Idempotency.IDEMPOTENT,
          Method.KeyScope.ALL,
          TimeSpan.ofMs(100),
          TimeSpan.ZERO,
          1,
          false);
  private RecordingRelayEvents listener;
  private RequestTracker tracker;
  private Endpoint endpoint;

  @BeforeMethod
  public void setUp() {
    Settings.Draft draft = new Settings.Draft();
    draft.methods.add(method);
    tracker = new RequestTracker(new Settings(draft));
    listener = new RecordingRelayEvents();
    tracker.setListener(listener);
    endpoint = tracker.endpointListed(1, 0, 0, 0, 1, null, 1, true);
    listener.calls.clear();
  }

  private List<Long> rpcCounters() {
    List<Long> counters = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      counters.add(tracker.accounts().value(tracker.accounts().rpcs, 0, i));
    }
    return counters;
  }

  private Rpc arrive(long id) {
    return tracker.rpcArrived(id, method, 0, 0, NOW, NOW.plus(TimeSpan.ofMs(1000)), null, null);
  }

  private Attempt send(Rpc rpc) {
    Attempt attempt = new Attempt(rpc, endpoint, NOW, null);
    tracker.attemptSent(attempt);
    return attempt;
  }

  @Test
  public void firstOkAnswersAndTheOtherAttemptIsStillReported() {
    Rpc rpc = arrive(5);
    Attempt first = send(rpc);
    Attempt second = send(rpc);
    tracker.attemptEnded(second, AttemptOutcome.OK, TimeSpan.ofMs(3), true);
    assertTrue(rpc.ended());
    assertSame(tracker.rpc(5), rpc);
    tracker.attemptEnded(first, AttemptOutcome.OK, TimeSpan.ofMs(4), true);
    assertNull(tracker.rpc(5));
    tracker.attemptEnded(first, AttemptOutcome.ERROR, TimeSpan.ofMs(9), true);
    assertEquals(listener.calls, List.of("arrived 5", "ended 5.1 OK answers", "ended 5.0 OK"));
    assertEquals(rpcCounters(), List.of(1L, 1L, 0L, 0L, 0L, 0L, 0L));
    assertEquals(first.outcome(), AttemptOutcome.OK);
  }

  @Test
  public void okAfterTheFinalAnswerChangesNothing() {
    Rpc rpc = arrive(6);
    Attempt attempt = send(rpc);
    tracker.rpcRejected(rpc);
    tracker.rpcAborted(rpc);
    tracker.clientDisconnected(rpc);
    tracker.attemptEnded(attempt, AttemptOutcome.OK, TimeSpan.ofMs(3), true);
    assertEquals(listener.calls, List.of("arrived 6", "ended 6.0 OK"));
    assertEquals(rpcCounters(), List.of(1L, 0L, 1L, 0L, 0L, 0L, 0L));
  }

  @Test
  public void reusedIdIsAnotherRpc() {
    Rpc firstRpc = arrive(7);
    Attempt lateAttempt = send(firstRpc);
    tracker.rpcRejected(firstRpc);
    Rpc secondRpc = arrive(7);
    tracker.attemptEnded(lateAttempt, AttemptOutcome.ERROR, TimeSpan.ofMs(2), true);
    assertSame(tracker.rpc(7), secondRpc);
    assertFalse(secondRpc.ended());
  }

  @Test
  public void restartedProcessIsAnotherEndpointAndDrainingEndpointIsNotReady() {
    assertSame(tracker.endpointListed(1, 0, 0, 0, 1, null, 2, true), endpoint);
    assertEquals(endpoint.weight(), 2.0);
    Endpoint restarted = tracker.endpointListed(1, 0, 0, 0, 1, NOW, 1, true);
    assertNotSame(restarted, endpoint);
    assertFalse(endpoint.ready());
    tracker.endpointListed(1, 0, 0, 0, 1, NOW, 1, false);
    assertFalse(restarted.ready());
    assertTrue(restarted.build.endpoints.isEmpty());
    tracker.retainEndpoints(Set.of());
    assertNull(tracker.endpoint(1));
    assertEquals(listener.calls, List.of("leaving 1", "ready 1", "leaving 1", "leaving 1"));
  }

  @Test
  public void countsOfUnknownBuildsAreDropped() {
    tracker.fleetCountsReceived(9, 0, 10, 1, TimeSpan.ZERO);
    assertTrue(listener.calls.isEmpty());
    tracker.rolloutChanged(9, 0, RolloutState.ON_TRIAL, 0.1, NOW);
    tracker.fleetCountsReceived(9, 0, 10, 1, TimeSpan.ZERO);
    assertEquals(listener.calls, List.of("news 9 0 ON_TRIAL 0.1", "counted 9"));
  }

  @Test
  public void takenRpcsAreAlwaysTheSumOfTheirOutcomes() {
    SplittableRandom random = new SplittableRandom(8);
    List<Rpc> rpcs = new ArrayList<>();
    for (int i = 0; i < 20_000; i++) {
      Rpc rpc =
          rpcs.isEmpty() || random.nextInt(4) == 0
              ? arrive(i)
              : rpcs.get(random.nextInt(rpcs.size()));
      if (!rpcs.contains(rpc)) {
        rpcs.add(rpc);
      }
      switch (random.nextInt(6)) {
        case 0 -> tracker.rpcRejected(rpc);
        case 1 -> tracker.rpcAborted(rpc);
        case 2 -> tracker.clientDisconnected(rpc);
        case 3 -> send(rpc);
        default -> {
          if (rpc.attempts.isEmpty()) {
            break;
          }
          AttemptOutcome outcome =
              AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
          boolean rpcOver = rpc.ended() || outcome == AttemptOutcome.OK;
          tracker.attemptEnded(
              rpc.attempts.get(random.nextInt(rpc.attempts.size())),
              outcome,
              TimeSpan.ofMs(1),
              rpcOver);
        }
      }
      if (rpcs.size() > 30) {
        rpcs.remove(0);
      }
      assertEquals(tracker.accounts().check(), List.of());
      assertEquals((long) rpcCounters().get(6), tracker.openRpcs());
      assertEquals(
          tracker
              .accounts()
              .sum(tracker.accounts().attempts, tracker.accounts().attempts.pendingColumn()),
          endpoint.inFlight());
    }
  }
}
