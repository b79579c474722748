package sprucerock.lease;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A grantor whose answers are recorded as client and answer, for example "1 granted 5". */
public class LeaseGrantorTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(1000), TimeSpan.ofMs(2000), 0.01);
  private static final String LEASE = "seat";
  private final List<String> answers = new ArrayList<>();
  private LeaseGrantor grantor;

  private final LeaseGrantor.Replies recorder =
      new LeaseGrantor.Replies() {
        @Override
        public void sendGranted(int client, String name, long token, long round) {
          answers.add(client + " granted " + token);
        }

        @Override
        public void sendRejected(
            int client,
            String name,
            long token,
            long round,
            long highest,
            TimeSpan minWait,
            LeaseGrantor.Rejection reason) {
          answers.add(client + " rejected " + reason + " " + Math.round(minWait.ms()));
        }

        @Override
        public void sendAvailable(int client, String name) {
          answers.add(client + " available");
        }
      };

  @BeforeMethod
  public void start() {
    grantor = new LeaseGrantor(TERMS, recorder, at(0));
    answers.clear();
  }

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  private void request(int client, long token, double ms) {
    grantor.request(client, client, LEASE, token, 1, at(ms));
  }

  private void assertAnswers(String... expected) {
    assertEquals(answers, List.of(expected));
    answers.clear();
  }

  @Test
  public void grantsNothingForTheLongestTermAfterItsStart() {
    request(1, 5, 1999);
    request(1, 5, 2000);
    assertAnswers("1 rejected STARTING 1", "1 granted 5");
  }

  @Test
  public void holderRenewsUnderItsToken() {
    request(1, 5, 3000);
    request(2, 6, 3100);
    request(1, 5, 3800);
    // The renewed grant runs from 3800 ms.
    request(2, 6, 4100);
    request(2, 6, 4800);
    // Another client has been granted the lease.
    request(1, 5, 4900);
    assertAnswers(
        "1 granted 5",
        "2 rejected HELD 900",
        "1 granted 5",
        "2 rejected HELD 700",
        "2 granted 6",
        "1 rejected HELD 900");
  }

  @Test
  public void rejectsTokensThatAreNotHigherEvenAfterTheTerm() {
    request(1, 5, 3000);
    request(2, 5, 9000);
    request(2, 4, 9000);
    // No other client was granted the lease since, so this renews the same grant.
    request(1, 5, 9000);
    assertAnswers("1 granted 5", "2 rejected LOWER 0", "2 rejected LOWER 0", "1 granted 5");
  }

  @Test
  public void distinguishesTwoIncarnationsOfOneClient() {
    grantor.request(1, 11, LEASE, 5, 1, at(3000));
    grantor.request(1, 12, LEASE, 5, 1, at(3000));
    // An incarnation can't release the grant of another one.
    grantor.release(1, 12, LEASE, 5, -1, at(3000));
    grantor.request(1, 12, LEASE, 6, 1, at(3000));
    assertAnswers("1 granted 5", "1 rejected HELD 1000", "1 rejected HELD 1000");
  }

  @Test
  public void notifiesTheLongestWaiterAndRejectsADelayedRenewal() {
    request(1, 5, 3000);
    request(2, 6, 3000);
    request(3, 7, 3000);
    answers.clear();
    grantor.release(1, 1, LEASE, 5, -1, at(3100));
    grantor.release(1, 1, LEASE, 5, -1, at(3100));
    request(1, 5, 3200);
    request(3, 7, 3200);
    assertAnswers("2 available", "1 rejected RETURNED 0", "3 granted 7");
  }

  @Test
  public void keepsTheLeaseForASuccessorForHalfATerm() {
    request(1, 5, 3000);
    request(2, 6, 3000);
    answers.clear();
    grantor.release(1, 1, LEASE, 5, 3, at(3100));
    request(2, 6, 3101);
    request(3, 7, 3102);
    assertAnswers("3 available", "2 rejected KEPT 499", "3 granted 7");
    // The successor, client 9, is dead.
    grantor.release(3, 3, LEASE, 7, 9, at(3200));
    request(2, 8, 3701);
    assertAnswers("9 available", "2 granted 8");
  }

  @Test
  public void clientsBeyondTheQueueWaitLonger() {
    request(1, 5, 3000);
    for (int client = 2; client < 2 + LeaseGrantor.MAX_WAITERS; client++) {
      request(client, 5 + client, 3000);
    }
    answers.clear();
    request(90, 100, 3000);
    request(2, 7, 3000);
    grantor.disconnected(2);
    request(90, 100, 3000);
    assertAnswers("90 rejected HELD 9000", "2 rejected HELD 1000", "90 rejected HELD 1000");
  }

  @Test
  public void newLeasesReplaceGrantsThatEndedLongAgo() {
    for (int i = 0; i < LeaseGrantor.MAX_LEASES; i++) {
      grantor.request(1, 1, "name" + i, 5, 1, at(3000));
    }
    answers.clear();
    request(1, 5, 4500);
    request(1, 5, 6001);
    assertAnswers("1 rejected TOO_MANY 2000", "1 granted 5");
    assertEquals(grantor.grants().size(), LeaseGrantor.MAX_LEASES);
  }
}
