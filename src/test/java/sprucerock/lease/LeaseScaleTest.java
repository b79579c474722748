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
 * What one grantor is asked in a minute by so many clients for one name, of which one holds it:
 * counted in simulated time. A hundred seconds runUntil before, so that whoever came first has been
 * told how long to wait.
 */
public class LeaseScaleTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(3000), TimeSpan.ofMs(3000), 0.01);
  private static final String NAME = "seat";

  private record ScheduledTick(double ms, int client) {}

  /**
   * All of a fleet of clients and three grantors without loss or delay; requests of the first
   * grantor are counted.
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
        grantors[i] = grantor(i);
      }
      for (int i = 0; i < size; i++) {
        int self = i;
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
                          grantors[grantor].request(self, 1, name, token, round, now);
                        });
                  }

                  @Override
                  public void release(int grantor, String name, long token, int successor) {
                    messages.add(
                        () -> grantors[grantor].release(self, 1, name, token, successor, now));
                  }

                  @Override
                  public void acquired(String name, long token) {
                    // one does
                  }

                  @Override
                  public void lost(String name, long token, String why) {
                    throw new IllegalStateException(self + " lost it: " + why);
                  }
                },
                random::nextDouble,
                self,
                1);
      }
    }

    private LeaseGrantor grantor(int which) {
      return new LeaseGrantor(
          TERMS,
          new LeaseGrantor.Replies() {
            @Override
            public void sendGranted(int client, String name, long token, long round) {
              messages.add(() -> clients[client].handleGrant(which, token, round, now));
            }

            @Override
            public void sendRejected(
                int client,
                String name,
                long token,
                long round,
                long highest,
                TimeSpan left,
                LeaseGrantor.Rejection why) {
              messages.add(
                  () ->
                      clients[client].handleRejection(
                          which,
                          token,
                          round,
                          highest,
                          left,
                          why == LeaseGrantor.Rejection.HELD,
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
          deliverAll();
          schedule(i);
        }
      }
      while (!ticks.isEmpty() && ticks.peek().ms <= untilMs) {
        ScheduledTick next = ticks.poll();
        Timestamp at = clients[next.client].nextTick();
        if (at == null || Math.abs(at.ms() - next.ms) > 1e-9) {
          continue;
        }
        now = Timestamp.ofMs(next.ms);
        clients[next.client].tick(now, 1);
        deliverAll();
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

    private void deliverAll() {
      while (!messages.isEmpty()) {
        messages.poll().run();
      }
    }
  }

  /**
   * A line of sixteen requests each term; all others one time in eight terms: so much of a slope a
   * fleet's leases have.
   */
  @Test
  public void waitingClientsRequestSeldom() {
    double[] each = new double[3];
    int[] sizes = {100, 400, 1600};
    for (int i = 0; i < 3; i++) {
      Fleet fleet = new Fleet(sizes[i]);
      fleet.runUntil(105_000);
      long before = fleet.requests;
      fleet.runUntil(165_000);
      each[i] = (fleet.requests - before) / 60.0;
      System.out.printf(
          Locale.ROOT,
          "counted: asks of a granter a second for one name: at %d %.2f; each %.4f%n",
          sizes[i],
          each[i],
          each[i] / sizes[i]);
    }
    for (int i = 0; i < 3; i++) {
      double allowed =
          16 * 1.5 / TERMS.term().ms() * 1000 + sizes[i] / (7.5 * TERMS.term().ms() / 1000);
      assertTrue(
          each[i] <= allowed,
          each[i] + " asks a second of " + sizes[i] + " candidates, over " + allowed);
    }
    double slope = (each[2] - each[1]) / (sizes[2] - sizes[1]);
    assertTrue(
        slope <= 1.2 / (8 * TERMS.term().ms() / 1000),
        "each more candidate asks " + slope + " times a second");
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
