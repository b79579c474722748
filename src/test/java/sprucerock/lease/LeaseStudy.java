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
 * Measures, in simulated time, how long a lease has no holder after the holder crashes, stalls, is
 * cut off or releases it, and the cost in messages, with 10 to 1,000 relays. {@code LeaseStudy
 * [faults per fleet size]}.
 */
public final class LeaseStudy {
  private static final double TERM_MS = 3000;
  private static final int GRANTORS = 5;

  /** The size of a message on the wire: 8 bytes before the head, and the head. */
  private static final int MESSAGE_BYTES = 48;

  private record Event(double timeMs, long order, Runnable action) {}

  private enum Fault {
    CRASH,
    STALL,
    CUT,
    LEAVE
  }

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.timeMs != b.timeMs
                  ? Double.compare(a.timeMs, b.timeMs)
                  : Long.compare(a.order, b.order));
  private final LeaseTerms terms =
      new LeaseTerms(GRANTORS, TimeSpan.ofMs(TERM_MS), TimeSpan.ofMs(TERM_MS), 0.01);
  private final List<LeaseGrantor> grantors = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private double nowMs;
  private long scheduledCount;
  private long messagesFromWaiting;
  private long messagesFromHolder;
  private long messagesToGrantors;
  private int holder = -1;
  private double lostAtMs = -1;
  private final List<Double> gapsMs = new ArrayList<>();

  private LeaseStudy(int relays, long seed) {
    random = new SplittableRandom(seed);
    for (int g = 0; g < GRANTORS; g++) {
      int grantor = g;
      grantors.add(
          new LeaseGrantor(
              terms,
              new LeaseGrantor.Replies() {
                @Override
                public void sendGranted(int client, String name, long token, long round) {
                  deliver(
                      () ->
                          members
                              .get(client)
                              .receive(
                                  () ->
                                      members
                                          .get(client)
                                          .client
                                          .handleGrant(grantor, token, round, nowTimestamp())));
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
                  deliver(
                      () ->
                          members
                              .get(client)
                              .receive(
                                  () ->
                                      members
                                          .get(client)
                                          .client
                                          .handleRejection(
                                              grantor,
                                              token,
                                              round,
                                              highest,
                                              minWait,
                                              reason == LeaseGrantor.Rejection.HELD,
                                              nowTimestamp())));
                }

                @Override
                public void sendAvailable(int client, String name) {
                  deliver(
                      () ->
                          members
                              .get(client)
                              .receive(
                                  () ->
                                      members
                                          .get(client)
                                          .client
                                          .handleAvailable(nowTimestamp(), 0)));
                }
              },
              Timestamp.ofMs(-1),
              java.util.Map.of()));
    }
    for (int i = 0; i < relays; i++) {
      members.add(new Member(i, seed));
    }
    for (Member member : members) {
      schedule(
          random.nextDouble() * 100,
          () -> member.receive(() -> member.client.acquire(nowTimestamp(), 0)));
    }
  }

  private Timestamp nowTimestamp() {
    return Timestamp.ofMs(nowMs);
  }

  private void schedule(double timeMs, Runnable action) {
    events.add(new Event(timeMs, scheduledCount++, action));
  }

  /** Delivers a message after about half a millisecond, and one in a hundred after ten. */
  private void deliver(Runnable action) {
    double delayMs = 0.3 + 0.4 * random.nextDouble();
    schedule(nowMs + (random.nextInt(100) == 0 ? 10 : delayMs), action);
  }

  private void runUntil(double untilMs) {
    while (!events.isEmpty() && events.peek().timeMs <= untilMs) {
      Event next = events.poll();
      nowMs = next.timeMs;
      next.action.run();
    }
    nowMs = untilMs;
  }

  /** A relay, which may be stalled, cut off or dead until a certain time. */
  private final class Member implements LeaseClient.Transport {
    private final int number;
    private LeaseClient client;
    private double stalledUntilMs;
    private double cutUntilMs;
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

    void receive(Runnable action) {
      if (cutUntilMs > nowMs) {
        return;
      }
      if (stalledUntilMs > nowMs) {
        schedule(stalledUntilMs, () -> receive(action));
        return;
      }
      action.run();
      scheduleTick();
    }

    private void scheduleTick() {
      if (client.nextTick() == null) {
        return;
      }
      Event[] ownEvent = new Event[1];
      ownEvent[0] =
          new Event(
              Math.max(nowMs, client.nextTick().ms()),
              scheduledCount++,
              () -> {
                if (timer != ownEvent[0]) {
                  return;
                }
                if (stalledUntilMs > nowMs) {
                  schedule(stalledUntilMs, ownEvent[0].action);
                } else {
                  client.tick(nowTimestamp(), 0);
                  scheduleTick();
                }
              });
      timer = ownEvent[0];
      events.add(ownEvent[0]);
    }

    @Override
    public void request(int grantor, String name, long token, long round) {
      if (holder == number) {
        messagesFromHolder++;
      } else {
        messagesFromWaiting++;
      }
      messagesToGrantors++;
      if (cutUntilMs > nowMs) {
        return;
      }
      long requestIncarnation = incarnation;
      deliver(
          () ->
              grantors
                  .get(grantor)
                  .request(number, requestIncarnation, name, token, round, nowTimestamp()));
    }

    @Override
    public void release(int grantor, String name, long token, int successor) {
      messagesToGrantors++;
      if (cutUntilMs > nowMs) {
        return;
      }
      long requestIncarnation = incarnation;
      deliver(
          () ->
              grantors
                  .get(grantor)
                  .release(number, requestIncarnation, name, token, successor, nowTimestamp()));
    }

    @Override
    public void acquired(String name, long token) {
      if (lostAtMs >= 0) {
        gapsMs.add(nowMs - lostAtMs);
      }
      lostAtMs = -1;
      holder = number;
    }

    @Override
    public void lost(String name, long token, String reason) {
      // The gap counts from the fault.
    }

    void apply(Fault fault) {
      lostAtMs = nowMs;
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
                  new DeterministicRandom(nowMs == 0 ? 1 : (long) nowMs * 31 + number)::next,
                  number,
                  incarnation);
          schedule(nowMs + 1500, () -> receive(() -> client.acquire(nowTimestamp(), 0)));
        }
        case STALL -> stalledUntilMs = nowMs + 2 * TERM_MS;
        case CUT -> cutUntilMs = nowMs + 2 * TERM_MS;
        default ->
            receive(
                () -> {
                  client.release(-1);
                  schedule(nowMs + 1000, () -> receive(() -> client.acquire(nowTimestamp(), 0)));
                });
      }
    }
  }

  public static void main(String[] args) {
    int faultsPerSize = args.length > 0 ? Integer.parseInt(args[0]) : 100;
    System.out.println(
        "term 3 s, 5 grantors, one-way delay of half a millisecond; time without a holder in ms, messages a second of a waiting relay, of the holder, at a grantor");
    for (int relays : new int[] {10, 100, 300, 1000}) {
      StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%5d relays:", relays));
      double seconds = 0;
      long messagesFromWaiting = 0;
      long messagesFromHolder = 0;
      long messagesToGrantors = 0;
      for (Fault fault : Fault.values()) {
        LeaseStudy study = new LeaseStudy(relays, 1 + fault.ordinal());
        study.runUntil(20_000);
        study.messagesFromWaiting = 0;
        study.messagesFromHolder = 0;
        study.messagesToGrantors = 0;
        double startMs = study.nowMs;
        for (int i = 0; i < faultsPerSize; i++) {
          if (study.holder >= 0) {
            study.members.get(study.holder).apply(fault);
          }
          study.runUntil(study.nowMs + 12_000 + 3000 * study.random.nextDouble());
        }
        study.gapsMs.sort(null);
        line.append(
            String.format(
                Locale.ROOT,
                "  %s %.0f, worst %.0f (%d)",
                fault.name().toLowerCase(Locale.ROOT),
                study.gapsMs.get(study.gapsMs.size() / 2),
                study.gapsMs.get(study.gapsMs.size() - 1),
                study.gapsMs.size()));
        seconds += (study.nowMs - startMs) / 1000;
        messagesFromWaiting += study.messagesFromWaiting;
        messagesFromHolder += study.messagesFromHolder;
        messagesToGrantors += study.messagesToGrantors;
      }
      line.append(
          String.format(
              Locale.ROOT,
              "; messages %.2f, %.2f, %.1f (%.0f bytes a second at a relay)",
              messagesFromWaiting / seconds / (relays - 1),
              messagesFromHolder / seconds,
              messagesToGrantors / seconds / GRANTORS,
              MESSAGE_BYTES * messagesFromWaiting / seconds / (relays - 1)));
      System.out.println(line);
    }
  }
}
