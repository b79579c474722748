package sprucerock.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Candidates and granters of one lease as they may stand to each other, with every message that was
 * ever sent still on its way: not taking it is its loss, taking it again its double, taking it
 * later or before another its delay. A world is branched by {@link #copy}. The checker reads only
 * claims against the one true time, and what was done where acts land.
 */
final class LeaseSimulation {
  static final String NAME = "seat";

  /** Who makes the parties: the real ones, or such as lack a guard. */
  interface Makers {
    default LeaseTerms terms(LeaseTerms right) {
      return right;
    }

    default LeaseClient candidate(
        LeaseTerms terms, LeaseClient.Transport host, int me, long life, double chance) {
      return new LeaseClient(NAME, terms, host, () -> chance, me, life);
    }

    default LeaseGrantor granter(
        LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants) {
      return new LeaseGrantor(terms, host, opens, grants);
    }

    /** Whether an act may be sent. */
    default boolean guards(LeaseClient candidate, Timestamp now) {
      return candidate.isHeldAt(now);
    }

    default boolean fences() {
      return true;
    }

    /** How long a granter that begins anew grants nothing. */
    default TimeSpan sitsOut(LeaseTerms terms) {
      return terms.longestTerm();
    }
  }

  enum Kind {
    ASK,
    GRANTED,
    REFUSED,
    RETURN,
    ACT
  }

  record Message(
      Kind kind,
      int candidate,
      int granter,
      long life,
      long number,
      long round,
      long highest,
      TimeSpan left,
      boolean held)
      implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int so =
          Integer.compare(
              kind.ordinal() * 100 + candidate * 10 + granter,
              other.kind.ordinal() * 100 + other.candidate * 10 + other.granter);
      if (so == 0) {
        so = Long.compare(number, other.number);
      }
      if (so == 0) {
        so = Long.compare(round, other.round);
      }
      if (so == 0) {
        so = Long.compare(life, other.life);
      }
      if (so == 0) {
        so = Long.compare(highest, other.highest);
      }
      return so != 0 || left == null ? so : Double.compare(left.ms(), other.left.ms());
    }
  }

  private final Makers makers;
  private final LeaseTerms terms;
  private final double chance;
  private final double[] paceOfCandidates;
  private final double[] paceOfGranters;
  int tick;
  private final LeaseClient[] candidates;
  private final boolean[] stalled;
  private final long[] lives;
  private final Timestamp[] opens;
  private final List<Map<String, Grant>> grants = new ArrayList<>();
  private TreeSet<Message> sent = new TreeSet<>();
  private final List<Message> order = new ArrayList<>(); // as they were sent; not kept in copies
  private int asks;
  int granterCrashes;
  int candidateCrashes;
  int stalls;
  private FencingTokenRegistry fence = new FencingTokenRegistry();
  private long landed; // the checker's own
  private long lastTaken;
  String wrong;
  int takenOver;

  /** Refusals and acts are left out: what they lead to, patience that ends leads to as well. */
  boolean brief;

  LeaseSimulation(
      Makers makers,
      LeaseTerms right,
      double chance,
      double[] paceOfCandidates,
      double[] paceOfGranters) {
    this.makers = makers;
    this.chance = chance;
    terms = makers.terms(right);
    this.paceOfCandidates = paceOfCandidates;
    this.paceOfGranters = paceOfGranters;
    candidates = new LeaseClient[paceOfCandidates.length];
    stalled = new boolean[candidates.length];
    lives = new long[candidates.length];
    opens = new Timestamp[paceOfGranters.length];
    for (int i = 0; i < opens.length; i++) {
      opens[i] = Timestamp.ofMs(0);
      grants.add(Map.of());
    }
    for (int i = 0; i < candidates.length; i++) {
      candidates[i] = made(i);
    }
    for (LeaseClient one : candidates) {
      one.acquire(Timestamp.ofMs(0), 1);
    }
  }

  private LeaseSimulation(LeaseSimulation other) {
    makers = other.makers;
    terms = other.terms;
    chance = other.chance;
    paceOfCandidates = other.paceOfCandidates;
    paceOfGranters = other.paceOfGranters;
    tick = other.tick;
    candidates = new LeaseClient[other.candidates.length];
    stalled = other.stalled.clone();
    lives = other.lives.clone();
    opens = other.opens.clone();
    grants.addAll(other.grants); // maps are replaced, never changed
    sent = new TreeSet<>(other.sent);
    asks = other.asks;
    granterCrashes = other.granterCrashes;
    candidateCrashes = other.candidateCrashes;
    stalls = other.stalls;
    landed = other.landed;
    brief = other.brief;
    lastTaken = other.lastTaken;
    if (other.fence.highest(NAME) > 0) {
      fence.admits(NAME, other.fence.highest(NAME));
    }
    for (int i = 0; i < candidates.length; i++) {
      candidates[i] = made(i);
      candidates[i].copyStateFrom(other.candidates[i]);
    }
  }

  LeaseSimulation copy() {
    return new LeaseSimulation(this);
  }

  private LeaseClient made(int index) {
    return makers.candidate(
        terms,
        new LeaseClient.Transport() {
          @Override
          public void request(int granter, String name, long number, long round) {
            if (granter == 0) {
              asks++;
            }
            send(
                new Message(
                    Kind.ASK,
                    index,
                    granter,
                    lives[index],
                    number,
                    round,
                    0,
                    TimeSpan.ZERO,
                    false));
          }

          @Override
          public void release(int granter, String name, long number, int heir) {
            send(
                new Message(
                    Kind.RETURN, index, granter, lives[index], number, 0, 0, TimeSpan.ZERO, false));
          }

          @Override
          public void acquired(String name, long number) {
            takenOver++;
            if (number <= lastTaken) {
              wrong = "taken under " + number + " after " + lastTaken;
            }
            lastTaken = Math.max(lastTaken, number);
          }

          @Override
          public void lost(String name, long number, String why) {
            // claims are read from the candidate itself
          }
        },
        index,
        lives[index],
        chance);
  }

  private boolean send(Message message) {
    boolean isNew = sent.add(message);
    if (isNew) {
      order.add(message);
    }
    return isNew;
  }

  private Timestamp clock(int candidate) {
    return Timestamp.ofMs(tick * paceOfCandidates[candidate]);
  }

  /** What can happen next, by number: each leads to another world. */
  int choices() {
    return 1 + sent.size() + candidates.length * 4 + opens.length;
  }

  /** All that is on its way of a kind, from or to one candidate, arrives. */
  void arrive(Kind kind, int candidate) {
    for (Message one : List.copyOf(sent)) {
      if (one.kind == kind && one.candidate == candidate) {
        take(one);
      }
    }
  }

  /** The same of one granter, and of one round. */
  void arrive(Kind kind, int candidate, int granter, long round) {
    for (Message one : List.copyOf(sent)) {
      if (one.kind == kind
          && one.candidate == candidate
          && one.granter == granter
          && one.round == round) {
        take(one);
      }
    }
  }

  /** Time passes, until a candidate has asked so often in all. */
  void pass(int upToAsks) {
    while (asks < upToAsks) {
      happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
  }

  /** Something befalls a candidate: 2, it gives back; 3, it stands still or goes on. */
  void befall(int who, int what) {
    befall(who, what, Integer.MAX_VALUE, 0, Integer.MAX_VALUE);
  }

  /** How many of these are no message. */
  int others() {
    return candidates.length * 4 + opens.length;
  }

  /** Whether a holder would give it back. */
  boolean isLeave(int choice) {
    int other = choice - 1 - sent.size();
    return other >= 0 && other < candidates.length * 4 && other % 4 == 2;
  }

  /** The place of a message that was sent lately, or some other one's. */
  int recent(java.util.Random random) {
    int from = Math.max(0, order.size() - 6);
    Message one = order.get(from + random.nextInt(order.size() - from));
    return sent.headSet(one).size();
  }

  /** Does one of them; false where it can't happen. */
  boolean happen(
      int choice, int mostAsks, int mostGranterCrashes, int mostCandidateCrashes, int mostStalls) {
    if (choice == 0) {
      tick++;
      for (int i = 0; i < candidates.length; i++) {
        if (!stalled[i] && asks < mostAsks) {
          candidates[i].tick(clock(i), 1 + tick);
        }
      }
      return check();
    }
    choice--;
    if (choice < sent.size()) {
      Message message = null;
      for (Message one : sent) {
        if (choice-- == 0) {
          message = one;
        }
      }
      return take(message);
    }
    choice -= sent.size();
    int who = choice / 4;
    if (who < candidates.length) {
      return befall(who, choice % 4, mostAsks, mostCandidateCrashes, mostStalls);
    }
    if (granterCrashes >= mostGranterCrashes) {
      return false;
    }
    int granter = choice - 4 * candidates.length;
    granterCrashes++;
    grants.set(granter, Map.of());
    opens[granter] = Timestamp.ofMs(tick * paceOfGranters[granter]).plus(makers.sitsOut(terms));
    return check();
  }

  private boolean befall(
      int who, int what, int mostAsks, int mostCandidateCrashes, int mostStalls) {
    switch (what) {
      case 0 -> { // looks whether it may, and acts; when that lands is open
        if (brief || stalled[who] || !makers.guards(candidates[who], clock(who))) {
          return false;
        }
        return send(
            new Message(
                Kind.ACT, who, 0, lives[who], candidates[who].token(), 0, 0, TimeSpan.ZERO, false));
      }
      case 1 -> {
        if (candidateCrashes >= mostCandidateCrashes) {
          return false;
        }
        candidateCrashes++;
        lives[who]++;
        stalled[who] = false;
        candidates[who] = made(who);
        candidates[who].acquire(clock(who), 1 + tick); // the wall's clock does not go back
      }
      case 2 -> { // gives it back, and wants it again
        if (stalled[who] || asks >= mostAsks || !candidates[who].isHeldAt(clock(who))) {
          return false;
        }
        candidates[who].release(-1);
        candidates[who].acquire(clock(who), 1 + tick);
      }
      default -> {
        if (!stalled[who] && stalls >= mostStalls) {
          return false;
        }
        if (!stalled[who]) {
          stalls++;
        }
        stalled[who] = !stalled[who];
      }
    }
    return check();
  }

  private boolean take(Message message) {
    int who = message.candidate;
    if (message.kind == Kind.ACT) {
      boolean admitted = fence.admits(NAME, message.number) || !makers.fences();
      if (admitted && message.number < landed) {
        wrong = "an act under " + message.number + " was taken after one under " + landed;
      }
      if (admitted) {
        landed = Math.max(landed, message.number);
      }
      return check();
    }
    if (message.kind == Kind.GRANTED || message.kind == Kind.REFUSED) {
      if (message.life != lives[who] || stalled[who]) {
        return false;
      }
      if (message.kind == Kind.GRANTED) {
        candidates[who].granted(message.granter, message.number, message.round, clock(who));
      } else {
        candidates[who].rejected(
            message.granter,
            message.number,
            message.round,
            message.highest,
            message.left,
            message.held,
            clock(who));
      }
      return check();
    }
    int at = message.granter;
    LeaseGrantor granter =
        makers.granter(
            terms,
            new LeaseGrantor.Replies() {
              @Override
              public void granted(int candidate, String name, long number, long round) {
                send(
                    new Message(
                        Kind.GRANTED,
                        candidate,
                        at,
                        message.life,
                        number,
                        round,
                        0,
                        TimeSpan.ZERO,
                        false));
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
                if (!brief) {
                  send(
                      new Message(
                          Kind.REFUSED,
                          candidate,
                          at,
                          message.life,
                          number,
                          round,
                          highest,
                          left,
                          why == LeaseGrantor.Rejection.HELD));
                }
              }

              @Override
              public void available(int candidate, String name) {
                // only makes it quicker
              }
            },
            opens[at],
            grants.get(at));
    Timestamp now = Timestamp.ofMs(tick * paceOfGranters[at]);
    if (message.kind == Kind.ASK) {
      granter.request(who, message.life, NAME, message.number, message.round, now);
    } else {
      granter.release(who, message.life, NAME, message.number, -1, now);
    }
    grants.set(at, new TreeMap<>(granter.grants()));
    return check();
  }

  /** No two claims at one true time. */
  private boolean check() {
    int holders = 0;
    for (int i = 0; i < candidates.length; i++) {
      if (candidates[i].isHeldAt(clock(i))) {
        holders++;
      }
    }
    if (holders > 1) {
      wrong = "two hold it at tick " + tick;
    }
    return true;
  }

  /** How many say now that they hold it. */
  int holders() {
    int found = 0;
    for (int i = 0; i < candidates.length; i++) {
      if (candidates[i].isHeldAt(clock(i))) {
        found++;
      }
    }
    return found;
  }

  int asks() {
    return asks;
  }

  /**
   * Two worlds of one text go on alike: granters that differ by their numbers alone are told in one
   * order.
   */
  String text() {
    List<String> each = new ArrayList<>();
    for (int at = 0; at < opens.length; at++) {
      StringBuilder one =
          new StringBuilder()
              .append(paceOfGranters[at])
              .append(opens[at].ms())
              .append(grants.get(at).get(NAME));
      for (Message message : sent) {
        if (message.kind != Kind.ACT && message.granter == at) {
          one.append(message.kind.ordinal())
              .append(message.candidate)
              .append(',')
              .append(message.life)
              .append(',')
              .append(message.number)
              .append(',')
              .append(message.round)
              .append(',')
              .append(message.highest)
              .append(',')
              .append(message.left.ms())
              .append(';');
        }
      }
      for (LeaseClient candidate : candidates) {
        one.append(candidate.voteOf(at));
      }
      each.add(one.toString());
    }
    Collections.sort(each);
    StringBuilder text =
        new StringBuilder()
            .append(tick)
            .append(each)
            .append(asks)
            .append(granterCrashes)
            .append(candidateCrashes)
            .append(stalls)
            .append(landed)
            .append(' ')
            .append(lastTaken);
    for (int i = 0; i < candidates.length; i++) {
      text.append(candidates[i].stateWithoutVotes()).append(stalled[i]).append(lives[i]);
    }
    for (Message message : sent) {
      if (message.kind == Kind.ACT) {
        text.append(message.candidate).append(message.number).append(';');
      }
    }
    return text.toString();
  }
}
