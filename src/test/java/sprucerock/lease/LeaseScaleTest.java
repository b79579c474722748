package sprucerock.lease;

import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.PriorityQueue;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.wire.v1.LeaseAsk;
import sprucerock.transport.wire.v1.LeaseSaid;

/**
 * Counts, in simulated time, the requests that one grantor receives in a minute from many clients
 * of one lease, one of which holds it. Counting begins after a hundred seconds, when each client
 * has received an answer that says how long to wait.
 */
public class LeaseScaleTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(3000), TimeSpan.ofMs(3000), 0.01);
  private static final String NAME = "seat";

  private record ScheduledTick(double ms, int client) {}

  /**
   * A fleet of clients and three grantors, without loss or delay. Counts the requests to the first
   * grantor.
   */
  private static final class Fleet {
    private final LeaseGrantor[] grantors = new LeaseGrantor[3];
    private final LeaseClient[] clients;
    private final PriorityQueue<ScheduledTick> ticks =
        new PriorityQueue<>(
            (a, b) ->
                a.ms != b.ms ? Double.compare(a.ms, b.ms) : Integer.compare(a.client, b.client));
    private final java.util.ArrayDeque<Runnable> messages = new java.util.ArrayDeque<>();
    private final java.util.Random random = new java.util.Random(7);
    private Timestamp now = Timestamp.ofMs(5000);
    private long requests;
    private long notifications;

    Fleet(int size) {
      clients = new LeaseClient[size];
      for (int i = 0; i < 3; i++) {
        grantors[i] = createGrantor(i);
      }
      for (int i = 0; i < size; i++) {
        int clientNumber = i;
        clients[i] =
            new LeaseClient(
                NAME,
                TERMS,
                new LeaseClient.Transport() {
                  @Override
                  public void request(int grantor, String name, long token, long round) {
                    messages.add(
                        () -> {
                          if (grantor == 0) {
                            requests++;
                          }
                          grantors[grantor].request(clientNumber, 1, name, token, round, now);
                        });
                  }

                  @Override
                  public void release(int grantor, String name, long token, int successor) {
                    messages.add(
                        () ->
                            grantors[grantor].release(
                                clientNumber, 1, name, token, successor, now));
                  }

                  @Override
                  public void acquired(String name, long token) {
                    // One client acquires the lease.
                  }

                  @Override
                  public void lost(String name, long token, String reason) {
                    throw new IllegalStateException(
                        "client " + clientNumber + " lost the lease: " + reason);
                  }
                },
                random::nextDouble,
                clientNumber,
                1);
      }
    }

    private LeaseGrantor createGrantor(int grantor) {
      return new LeaseGrantor(
          TERMS,
          new LeaseGrantor.Replies() {
            @Override
            public void sendGranted(int client, String name, long token, long round) {
              messages.add(() -> clients[client].handleGrant(grantor, token, round, now));
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
              messages.add(
                  () ->
                      clients[client].handleRejection(
                          grantor,
                          token,
                          round,
                          highest,
                          minWait,
                          reason == LeaseGrantor.Rejection.HELD,
                          now));
            }

            @Override
            public void sendAvailable(int client, String name) {
              notifications++;
            }
          },
          Timestamp.ofMs(0));
    }

    void runUntil(double untilMs) {
      for (int i = 0; i < clients.length; i++) {
        if (!clients[i].campaigning()) {
          clients[i].acquire(now, 1);
          deliverMessages();
          schedule(i);
        }
      }
      while (!ticks.isEmpty() && ticks.peek().ms <= untilMs) {
        ScheduledTick next = ticks.poll();
        Timestamp due = clients[next.client].nextTick();
        if (due == null || Math.abs(due.ms() - next.ms) > 1e-9) {
          continue;
        }
        now = Timestamp.ofMs(next.ms);
        clients[next.client].tick(now, 1);
        deliverMessages();
        schedule(next.client);
      }
      now = Timestamp.ofMs(untilMs);
    }

    private void schedule(int client) {
      if (clients[client].nextTick() != null) {
        ticks.add(
            new ScheduledTick(Math.max(clients[client].nextTick().ms(), now.ms() + 1e-6), client));
      }
    }

    private void deliverMessages() {
      while (!messages.isEmpty()) {
        messages.poll().run();
      }
    }
  }

  /**
   * The sixteen clients in the queue request once in each term, all other clients once in eight
   * terms. The latter is the slope of the requests by the size of the fleet.
   */
  @Test
  public void waitingClientsRequestSeldom() {
    double[] requestsPerSecond = new double[3];
    int[] sizes = {100, 400, 1600};
    for (int i = 0; i < 3; i++) {
      Fleet fleet = new Fleet(sizes[i]);
      fleet.runUntil(105_000);
      long requestsBefore = fleet.requests;
      fleet.runUntil(165_000);
      requestsPerSecond[i] = (fleet.requests - requestsBefore) / 60.0;
      System.out.printf(
          Locale.ROOT,
          "counted: asks of a granter a second for one name: at %d %.2f; each %.4f%n",
          sizes[i],
          requestsPerSecond[i],
          requestsPerSecond[i] / sizes[i]);
    }
    for (int i = 0; i < 3; i++) {
      double allowed =
          16 * 1.5 / TERMS.term().ms() * 1000 + sizes[i] / (7.5 * TERMS.term().ms() / 1000);
      assertTrue(
          requestsPerSecond[i] <= allowed,
          requestsPerSecond[i]
              + " requests a second of "
              + sizes[i]
              + " clients, over the limit of "
              + allowed);
    }
    double slope = (requestsPerSecond[2] - requestsPerSecond[1]) / (sizes[2] - sizes[1]);
    assertTrue(
        slope <= 1.2 / (8 * TERMS.term().ms() / 1000),
        "each further client requests " + slope + " times a second");
    System.out.printf(
        Locale.ROOT,
        "counted: bytes of a lease's ask and its refusal: %d %d%n",
        8
            + LeaseAsk.newBuilder()
                .setName("looks")
                .setNumber(1)
                .setRound(1000)
                .setLife(1)
                .setTermUs(3_000_000)
                .build()
                .getSerializedSize(),
        8
            + LeaseSaid.newBuilder()
                .setName("looks")
                .setNumber(1)
                .setRound(1000)
                .setHighest(1)
                .setLeftUs(3_000_000)
                .setHeld(true)
                .setWhy("HELD")
                .build()
                .getSerializedSize());
  }
}
