package sprucerock.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A lease client, number 7, and its lease check. The client's messages and events are recorded. */
public class LeaseClientTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(1000), TimeSpan.ofMs(2000), 0.01);

  /** The first token that client 7 chooses at a wall clock of 40 ms. */
  private static final long TOKEN = 40 << 16 | 7;

  private final List<String> events = new ArrayList<>();
  private LeaseClient client;

  private final LeaseClient.Transport recorder =
      new LeaseClient.Transport() {
        @Override
        public void request(int grantor, String name, long token, long round) {
          if (grantor == 0) {
            events.add("request " + (token >> 16) + " round " + round);
          }
        }

        @Override
        public void release(int grantor, String name, long token, int successor) {
          events.add("release to " + grantor);
        }

        @Override
        public void acquired(String name, long token) {
          events.add("acquired");
        }

        @Override
        public void lost(String name, long token, String reason) {
          events.add("lost: " + reason);
        }
      };

  @BeforeMethod
  public void create() {
    client = new LeaseClient("seat", TERMS, recorder, () -> 0.5, 7, 70);
    events.clear();
  }

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  private void assertEvents(String... expected) {
    assertEquals(events, List.of(expected));
    events.clear();
  }

  @Test
  public void quorumInOneRoundHoldsTheLeaseFromBeforeTheRequest() {
    client.acquire(at(0), 40);
    client.handleGrant(0, TOKEN, 1, at(100));
    assertFalse(client.isHeldAt(at(100)));
    // A duplicate counts once.
    client.handleGrant(0, TOKEN, 1, at(100));
    // The client has not begun this round.
    client.handleGrant(2, TOKEN, 9, at(100));
    assertFalse(client.isHeldAt(at(100)));
    client.handleGrant(2, TOKEN, 1, at(100));
    assertEvents("request 40 round 1", "acquired");
    double heldUntilMs = 1000 * 0.99 / 1.01;
    assertTrue(client.isHeldAt(at(heldUntilMs - 1)));
    assertFalse(client.isHeldAt(at(heldUntilMs)));
  }

  @Test
  public void renewsInTimeAndHoldsTheLeaseUntilTheTermEnds() {
    client.acquire(at(0), 40);
    for (int grantor = 0; grantor < 3; grantor++) {
      client.handleGrant(grantor, TOKEN, 1, at(1));
    }
    double renewalMs = client.nextTick().ms();
    assertTrue(renewalMs > 320 && renewalMs < 500, "renewal at " + renewalMs + " ms");
    client.tick(at(renewalMs), 40);
    client.handleGrant(0, TOKEN, 2, at(renewalMs + 1));
    // This answer to the first round arrives late.
    client.handleGrant(1, TOKEN, 1, at(renewalMs + 1));
    client.tick(at(985), 40);
    assertEvents(
        "request 40 round 1",
        "acquired",
        "request 40 round 2",
        "release to 0",
        "release to 1",
        "release to 2",
        "lost: the term ended before a quorum renewed it",
        "request 41 round 3");
  }

  @Test
  public void releasesAndBacksOffWithoutAQuorum() {
    client.acquire(at(0), 40);
    client.handleGrant(0, TOKEN, 1, at(1));
    client.handleRejection(1, TOKEN, 1, 90L << 16, TimeSpan.ZERO, false, at(1));
    client.handleRejection(2, TOKEN, 1, 0, TimeSpan.ZERO, false, at(1));
    assertEvents("request 40 round 1", "release to 0");
    double firstRetryMs = client.nextTick().ms();
    client.tick(at(firstRetryMs), 40);
    // No grantor answered.
    client.tick(client.nextTick(), 40);
    assertEvents("request 91 round 2", "release to 0", "release to 1", "release to 2");
    assertTrue(
        client.nextTick().ms() - firstRetryMs > 2 * firstRetryMs,
        "the second backoff must be longer than the first, but ends at " + client.nextTick());
  }

  @Test
  public void releasesGrantsForAnAbandonedToken() {
    client.acquire(at(0), 40);
    client.release(-1);
    events.clear();
    client.handleGrant(1, TOKEN, 1, at(5));
    assertEvents("release to 1");
    assertFalse(client.isHeldAt(at(5)));
  }

  @Test
  public void checkReadsTheClockAndPassesTheToken() {
    client.acquire(at(0), 40);
    for (int grantor = 0; grantor < 3; grantor++) {
      client.handleGrant(grantor, TOKEN, 1, at(1));
    }
    double[] clockMs = {0};
    LeaseCheck check = new LeaseCheck(client, () -> at(clockMs[0]));
    List<Long> acts = new ArrayList<>();
    assertTrue(check.runIfHeld(TimeSpan.ofMs(900), acts::add));
    clockMs[0] = 500;
    assertFalse(check.runIfHeld(TimeSpan.ofMs(900), acts::add));
    assertTrue(check.runIfHeld(acts::add));
    clockMs[0] = 990;
    assertFalse(check.runIfHeld(acts::add));
    assertEquals(acts, List.of(TOKEN, TOKEN));
  }
}
