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
  private static final double TERM = 3000;
  private static final int GRANTERS = 5;

  /** What a message weighs on the wire: 8 bytes before the head, and the head. */
  private static final int BYTES = 48;

  private record Event(double at, long order, Runnable what) {}

  private enum Ill {
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
      new LeaseTerms(GRANTERS, TimeSpan.ofMs(TERM), TimeSpan.ofMs(TERM), 0.01);
  private final List<LeaseGrantor> granters = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private double now;
  private long made;
  private long fromWaiting;
  private long fromHolder;
  private long toGranters;
  private int holder = -1;
  private double lostAt = -1;
  private final List<Double> gaps = new ArrayList<>();

  private LeaseStudy(int relays, long seed) {
    random = new SplittableRandom(seed);
    for (int g = 0; g < GRANTERS; g++) {
      int at = g;
      granters.add(
          new LeaseGrantor(
              terms,
              new LeaseGrantor.Replies() {
                @Override
                public void granted(int who, String name, long number, long round) {
                  way(
                      () ->
                          members
                              .get(who)
                              .heard(
                                  () ->
                                      members
                                          .get(who)
                                          .candidate
                                          .granted(at, number, round, time())));
                }

                @Override
                public void rejected(
                    int who,
                    String name,
                    long number,
                    long round,
                    long highest,
                    TimeSpan left,
                    LeaseGrantor.Rejection why) {
                  way(
                      () ->
                          members
                              .get(who)
                              .heard(
                                  () ->
                                      members
                                          .get(who)
                                          .candidate
                                          .rejected(
                                              at,
                                              number,
                                              round,
                                              highest,
                                              left,
                                              why == LeaseGrantor.Rejection.HELD,
                                              time())));
                }

                @Override
                public void available(int who, String name) {
                  way(
                      () ->
                          members
                              .get(who)
                              .heard(() -> members.get(who).candidate.available(time(), 0)));
                }
              },
              Timestamp.ofMs(-1),
              java.util.Map.of()));
    }
    for (int i = 0; i < relays; i++) {
      members.add(new Member(i, seed));
    }
    for (Member one : members) {
      at(random.nextDouble() * 100, () -> one.heard(() -> one.candidate.acquire(time(), 0)));
    }
  }

  private Timestamp time() {
    return Timestamp.ofMs(now);
  }

  private void at(double when, Runnable what) {
    events.add(new Event(when, made++, what));
  }

  /** Half a millisecond, and now and then ten. */
  private void way(Runnable what) {
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
    private LeaseClient candidate;
    private double stillUntil;
    private double cutUntil;
    private long life;
    private Event timer;

    Member(int number, long seed) {
      this.number = number;
      candidate =
          new LeaseClient(
              "task",
              terms,
              this,
              new DeterministicRandom(seed * 10_007 + number)::next,
              number,
              life);
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
      if (candidate.nextTick() == null) {
        return;
      }
      Event[] mine = new Event[1];
      mine[0] =
          new Event(
              Math.max(now, candidate.nextTick().ms()),
              made++,
              () -> {
                if (timer != mine[0]) {
                  return;
                }
                if (stillUntil > now) {
                  at(stillUntil, mine[0].what);
                } else {
                  candidate.tick(time(), 0);
                  arm();
                }
              });
      timer = mine[0];
      events.add(mine[0]);
    }

    @Override
    public void request(int granter, String name, long asked, long round) {
      if (holder == number) {
        fromHolder++;
      } else {
        fromWaiting++;
      }
      toGranters++;
      if (cutUntil > now) {
        return;
      }
      long own = life;
      way(() -> granters.get(granter).request(number, own, name, asked, round, time()));
    }

    @Override
    public void release(int granter, String name, long given, int heir) {
      toGranters++;
      if (cutUntil > now) {
        return;
      }
      long own = life;
      way(() -> granters.get(granter).release(number, own, name, given, heir, time()));
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

    void befall(Ill ill) {
      lostAt = now;
      holder = -1;
      switch (ill) {
        case CRASH -> {
          life++;
          timer = null;
          candidate =
              new LeaseClient(
                  "task",
                  terms,
                  this,
                  new DeterministicRandom(now == 0 ? 1 : (long) now * 31 + number)::next,
                  number,
                  life);
          at(now + 1500, () -> heard(() -> candidate.acquire(time(), 0)));
        }
        case STALL -> stillUntil = now + 2 * TERM;
        case CUT -> cutUntil = now + 2 * TERM;
        default ->
            heard(
                () -> {
                  candidate.release(-1);
                  at(now + 1000, () -> heard(() -> candidate.acquire(time(), 0)));
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
      for (Ill ill : Ill.values()) {
        LeaseStudy study = new LeaseStudy(relays, 1 + ill.ordinal());
        study.run(20_000);
        study.fromWaiting = 0;
        study.fromHolder = 0;
        study.toGranters = 0;
        double from = study.now;
        for (int i = 0; i < times; i++) {
          if (study.holder >= 0) {
            study.members.get(study.holder).befall(ill);
          }
          study.run(study.now + 12_000 + 3000 * study.random.nextDouble());
        }
        study.gaps.sort(null);
        line.append(
            String.format(
                Locale.ROOT,
                "  %s %.0f, worst %.0f (%d)",
                ill.name().toLowerCase(Locale.ROOT),
                study.gaps.get(study.gaps.size() / 2),
                study.gaps.get(study.gaps.size() - 1),
                study.gaps.size()));
        seconds += (study.now - from) / 1000;
        waiting += study.fromWaiting;
        holding += study.fromHolder;
        granting += study.toGranters;
      }
      line.append(
          String.format(
              Locale.ROOT,
              "; messages %.2f, %.2f, %.1f (%.0f bytes a second at a relay)",
              waiting / seconds / (relays - 1),
              holding / seconds,
              granting / seconds / GRANTERS,
              BYTES * waiting / seconds / (relays - 1)));
      System.out.println(line);
    }
  }
}
