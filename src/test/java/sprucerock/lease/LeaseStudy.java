package sprucerock.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * In simulated time: how long a lease has no holder after the holder crashes, stands still or is
 * cut off, and what it costs in messages, at 10 to 1,000 relays. {@code LeaseStudy [events a
 * size]}.
 */
public final class LeaseStudy {
  private static final double TERM_MS = 3000;
  private static final int GRANTORS = 5;

  /** What a message weighs on the wire: 8 bytes before the head, and the head. */
  private static final int MESSAGE_BYTES = 48;

  private record Event(double at, long order, Runnable what) {}

  private enum Fault {
    CRASH,
    STALL,
    CUT,
    LEAVE
  }

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final LeaseTerms terms =
      new LeaseTerms(GRANTORS, TimeSpan.ofMs(TERM_MS), TimeSpan.ofMs(TERM_MS), 0.01);
  private final List<LeaseGrantor> grantors = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private double now;
  private long made;
  private long fromWaiting;
  private long fromHolder;
  private long toGrantors;
  private int holder = -1;
  private double lostAt = -1;
  private final List<Double> gaps = new ArrayList<>();

  private LeaseStudy(int relays, long seed) {
    random = new SplittableRandom(seed);
    for (int g = 0; g < GRANTORS; g++) {
      int at = g;
      grantors.add(
          new LeaseGrantor(
              terms,
              new LeaseGrantor.Replies() {
                @Override
                public void sendGranted(int who, String name, long number, long round) {
                  deliver(
                      () ->
                          members
                              .get(who)
                              .heard(
                                  () ->
                                      members
                                          .get(who)
                                          .client
                                          .handleGrant(at, number, round, time())));
                }

                @Override
                public void sendRejected(
                    int who,
                    String name,
                    long number,
                    long round,
                    long highest,
                    TimeSpan left,
                    LeaseGrantor.Rejection why) {
                  deliver(
                      () ->
                          members
                              .get(who)
                              .heard(
                                  () ->
                                      members
                                          .get(who)
                                          .client
                                          .handleRejection(
                                              at,
                                              number,
                                              round,
                                              highest,
                                              left,
                                              why == LeaseGrantor.Rejection.HELD,
                                              time())));
                }

                @Override
                public void sendAvailable(int who, String name) {
                  deliver(
                      () ->
                          members
                              .get(who)
                              .heard(() -> members.get(who).client.handleAvailable(time(), 0)));
                }
              },
              Timestamp.ofMs(-1),
              java.util.Map.of()));
    }
    for (int i = 0; i < relays; i++) {
      members.add(new Member(i, seed));
    }
    for (Member one : members) {
      at(random.nextDouble() * 100, () -> one.heard(() -> one.client.acquire(time(), 0)));
    }
  }

  private Timestamp time() {
    return Timestamp.ofMs(now);
  }

  private void at(double when, Runnable what) {
    events.add(new Event(when, made++, what));
  }

  /** Half a millisecond, and now and then ten. */
  private void deliver(Runnable what) {
    double ms = 0.3 + 0.4 * random.nextDouble();
    at(now + (random.nextInt(100) == 0 ? 10 : ms), what);
  }

  private void run(double until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    now = until;
  }

  /** A relay: stands still, is cut off or is dead, each until a moment. */
  private final class Member implements LeaseClient.Transport {
    private final int number;
    private LeaseClient client;
    private double stillUntil;
    private double cutUntil;
    private long incarnation;
    private Event timer;

    Member(int number, long seed) {
      this.number = number;
      client =
          new LeaseClient(
              "task",
              terms,
              this,
              new DeterministicRandom(seed * 10_007 + number)::next,
              number,
              incarnation);
    }

    void heard(Runnable what) {
      if (cutUntil > now) {
        return;
      }
      if (stillUntil > now) {
        at(stillUntil, () -> heard(what));
        return;
      }
      what.run();
      arm();
    }

    private void arm() {
      if (client.nextTick() == null) {
        return;
      }
      Event[] mine = new Event[1];
      mine[0] =
          new Event(
              Math.max(now, client.nextTick().ms()),
              made++,
              () -> {
                if (timer != mine[0]) {
                  return;
                }
                if (stillUntil > now) {
                  at(stillUntil, mine[0].what);
                } else {
                  client.tick(time(), 0);
                  arm();
                }
              });
      timer = mine[0];
      events.add(mine[0]);
    }

    @Override
    public void request(int grantor, String name, long asked, long round) {
      if (holder == number) {
        fromHolder++;
      } else {
        fromWaiting++;
      }
      toGrantors++;
      if (cutUntil > now) {
        return;
      }
      long own = incarnation;
      deliver(() -> grantors.get(grantor).request(number, own, name, asked, round, time()));
    }

    @Override
    public void release(int grantor, String name, long given, int successor) {
      toGrantors++;
      if (cutUntil > now) {
        return;
      }
      long own = incarnation;
      deliver(() -> grantors.get(grantor).release(number, own, name, given, successor, time()));
    }

    @Override
    public void acquired(String name, long given) {
      if (lostAt >= 0) {
        gaps.add(now - lostAt);
      }
      lostAt = -1;
      holder = number;
    }

    @Override
    public void lost(String name, long given, String why) {
      // measured from what befell it
    }

    void disturb(Fault fault) {
      lostAt = now;
      holder = -1;
      switch (fault) {
        case CRASH -> {
          incarnation++;
          timer = null;
          client =
              new LeaseClient(
                  "task",
                  terms,
                  this,
                  new DeterministicRandom(now == 0 ? 1 : (long) now * 31 + number)::next,
                  number,
                  incarnation);
          at(now + 1500, () -> heard(() -> client.acquire(time(), 0)));
        }
        case STALL -> stillUntil = now + 2 * TERM_MS;
        case CUT -> cutUntil = now + 2 * TERM_MS;
        default ->
            heard(
                () -> {
                  client.release(-1);
                  at(now + 1000, () -> heard(() -> client.acquire(time(), 0)));
                });
      }
    }
  }

  public static void main(String[] args) {
    int times = args.length > 0 ? Integer.parseInt(args[0]) : 100;
    System.out.println(
        "term 3 s, 5 granters, ways of half a millisecond; time without a holder in ms, messages a second of a waiting relay, of the holder, at a granter");
    for (int relays : new int[] {10, 100, 300, 1000}) {
      StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%5d relays:", relays));
      double seconds = 0;
      long waiting = 0;
      long holding = 0;
      long granting = 0;
      for (Fault fault : Fault.values()) {
        LeaseStudy study = new LeaseStudy(relays, 1 + fault.ordinal());
        study.run(20_000);
        study.fromWaiting = 0;
        study.fromHolder = 0;
        study.toGrantors = 0;
        double from = study.now;
        for (int i = 0; i < times; i++) {
          if (study.holder >= 0) {
            study.members.get(study.holder).disturb(fault);
          }
          study.run(study.now + 12_000 + 3000 * study.random.nextDouble());
        }
        study.gaps.sort(null);
        line.append(
            String.format(
                Locale.ROOT,
                "  %s %.0f, worst %.0f (%d)",
                fault.name().toLowerCase(Locale.ROOT),
                study.gaps.get(study.gaps.size() / 2),
                study.gaps.get(study.gaps.size() - 1),
                study.gaps.size()));
        seconds += (study.now - from) / 1000;
        waiting += study.fromWaiting;
        holding += study.fromHolder;
        granting += study.toGrantors;
      }
      line.append(
          String.format(
              Locale.ROOT,
              "; messages %.2f, %.2f, %.1f (%.0f bytes a second at a relay)",
              waiting / seconds / (relays - 1),
              holding / seconds,
              granting / seconds / GRANTORS,
              MESSAGE_BYTES * waiting / seconds / (relays - 1)));
      System.out.println(line);
    }
  }
}
