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
 * What one granter is asked in a minute by so many candidates for one name, of which one holds it:
 * counted in simulated time. A hundred seconds pass before, so that whoever came first has been
 * told how long to wait.
 */
public class LeaseScaleTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(3000), TimeSpan.ofMs(3000), 0.01);
  private static final String NAME = "seat";

  private record Due(double ms, int candidate) {}

  /**
   * All of a day of candidates and three granters without loss or delay; asks of the first granter
   * are counted.
   */
  private static final class Day {
    private final LeaseGrantor[] granters = new LeaseGrantor[3];
    private final LeaseClient[] candidates;
    private final PriorityQueue<Due> due =
        new PriorityQueue<>(
            (a, b) ->
                a.ms != b.ms
                    ? Double.compare(a.ms, b.ms)
                    : Integer.compare(a.candidate, b.candidate));
    private final java.util.ArrayDeque<Runnable> messages = new java.util.ArrayDeque<>();
    private final java.util.Random random = new java.util.Random(7);
    private Timestamp now = Timestamp.ofMs(5000);
    private long asks;
    private long freed;

    Day(int size) {
      candidates = new LeaseClient[size];
      for (int i = 0; i < 3; i++) {
        granters[i] = granter(i);
      }
      for (int i = 0; i < size; i++) {
        int me = i;
        candidates[i] =
            new LeaseClient(
                NAME,
                TERMS,
                new LeaseClient.Transport() {
                  @Override
                  public void request(int granter, String name, long number, long round) {
                    messages.add(
                        () -> {
                          if (granter == 0) {
                            asks++;
                          }
                          granters[granter].request(me, 1, name, number, round, now);
                        });
                  }

                  @Override
                  public void release(int granter, String name, long number, int heir) {
                    messages.add(() -> granters[granter].release(me, 1, name, number, heir, now));
                  }

                  @Override
                  public void acquired(String name, long number) {
                    // one does
                  }

                  @Override
                  public void lost(String name, long number, String why) {
                    throw new IllegalStateException(me + " lost it: " + why);
                  }
                },
                random::nextDouble,
                me,
                1);
      }
    }

    private LeaseGrantor granter(int which) {
      return new LeaseGrantor(
          TERMS,
          new LeaseGrantor.Replies() {
            @Override
            public void granted(int candidate, String name, long number, long round) {
              messages.add(() -> candidates[candidate].granted(which, number, round, now));
            }

            @Override
            public void rejected(
                int candidate,
                String name,
                long number,
                long round,
                long highest,
                TimeSpan left,
                LeaseGrantor.Rejection why) {
              messages.add(
                  () ->
                      candidates[candidate].rejected(
                          which,
                          number,
                          round,
                          highest,
                          left,
                          why == LeaseGrantor.Rejection.HELD,
                          now));
            }

            @Override
            public void available(int candidate, String name) {
              freed++;
            }
          },
          Timestamp.ofMs(0));
    }

    void pass(double untilMs) {
      for (int i = 0; i < candidates.length; i++) {
        if (!candidates[i].wanted()) {
          candidates[i].acquire(now, 1);
          settle();
          again(i);
        }
      }
      while (!due.isEmpty() && due.peek().ms <= untilMs) {
        Due next = due.poll();
        Timestamp at = candidates[next.candidate].nextTick();
        if (at == null || Math.abs(at.ms() - next.ms) > 1e-9) {
          continue;
        }
        now = Timestamp.ofMs(next.ms);
        candidates[next.candidate].tick(now, 1);
        settle();
        again(next.candidate);
      }
      now = Timestamp.ofMs(untilMs);
    }

    private void again(int candidate) {
      if (candidates[candidate].nextTick() != null) {
        due.add(
            new Due(Math.max(candidates[candidate].nextTick().ms(), now.ms() + 1e-6), candidate));
      }
    }

    private void settle() {
      while (!messages.isEmpty()) {
        messages.poll().run();
      }
    }
  }

  /**
   * A line of sixteen asks each term; all others one time in eight terms: so much of a slope a
   * fleet's leases have.
   */
  @Test
  public void whoWaitsInVainAsksSeldom() {
    double[] each = new double[3];
    int[] sizes = {100, 400, 1600};
    for (int i = 0; i < 3; i++) {
      Day day = new Day(sizes[i]);
      day.pass(105_000);
      long before = day.asks;
      day.pass(165_000);
      each[i] = (day.asks - before) / 60.0;
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
