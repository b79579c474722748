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

/** One client, number 7, and the check of its acts; what it sends and notifies is recorded. */
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
        public void lost(String name, long token, String why) {
          events.add("lost: " + why);
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
  public void quorumInOneRoundHoldsItFromBeforeTheRequest() {
    client.acquire(at(0), 40);
    client.handleGrant(0, TOKEN, 1, at(100));
    assertFalse(client.isHeldAt(at(100)));
    client.handleGrant(0, TOKEN, 1, at(100)); // twice is once
    client.handleGrant(2, TOKEN, 9, at(100)); // of no round of ours
    assertFalse(client.isHeldAt(at(100)));
    client.handleGrant(2, TOKEN, 1, at(100));
    assertEvents("request 40 round 1", "acquired");
    double until = 1000 * 0.99 / 1.01;
    assertTrue(client.isHeldAt(at(until - 1)));
    assertFalse(client.isHeldAt(at(until)));
  }

  @Test
  public void renewsInTimeAndHoldsItUntilTheTermRunsOut() {
    client.acquire(at(0), 40);
    for (int grantor = 0; grantor < 3; grantor++) {
      client.handleGrant(grantor, TOKEN, 1, at(1));
    }
    double renewal = client.nextTick().ms();
    assertTrue(renewal > 320 && renewal < 500, "" + renewal);
    client.tick(at(renewal), 40);
    client.handleGrant(0, TOKEN, 2, at(renewal + 1));
    client.handleGrant(1, TOKEN, 1, at(renewal + 1)); // from the first round, late
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
  public void withoutAQuorumItReleasesAndBacksOff() {
    client.acquire(at(0), 40);
    client.handleGrant(0, TOKEN, 1, at(1));
    client.handleRejection(1, TOKEN, 1, 90L << 16, TimeSpan.ZERO, false, at(1));
    client.handleRejection(2, TOKEN, 1, 0, TimeSpan.ZERO, false, at(1));
    assertEvents("request 40 round 1", "release to 0");
    double first = client.nextTick().ms();
    client.tick(at(first), 40);
    client.tick(client.nextTick(), 40); // nobody answered
    assertEvents("request 91 round 2", "release to 0", "release to 1", "release to 2");
    assertTrue(client.nextTick().ms() - first > 2 * first, "it should wait longer");
  }

  @Test
  public void releasesWhatIsGrantedForATokenThatWasGivenUp() {
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
