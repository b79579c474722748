package sprucerock.lease;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One of those who grant leases: for each name at most one grant at a time, each under a higher
 * number than any before. It needs no disk: once started it grants nothing for the longest term
 * that its last life may have granted, and of numbers it forgot it is told by whoever asks with a
 * higher one. Messages may come late, twice, never and in any order.
 *
 * <p>The ground is Gray and Cheriton's lease (1989): a promise that ends by itself; granted here by
 * a majority, as in PaxosLease (Trencseni and others, 2009), whose two rounds are one here, since a
 * candidate brings a number of its own that nobody else can bring.
 */
class LeaseGrantor {
  /** What it can do; answers may get lost. */
  interface Replies {
    void granted(int candidate, String name, long number, long round);

    /**
     * {@code highest}: the number to be exceeded; {@code left}: not worth asking before that; zero:
     * at once.
     */
    void rejected(
        int candidate,
        String name,
        long number,
        long round,
        long highest,
        TimeSpan left,
        Rejection why);

    /** It may be had now; told to one that waits. */
    void available(int candidate, String name);
  }

  /** Why it was not granted. */
  enum Rejection {
    HELD,
    LOWER,
    RETURNED,
    STARTING,
    KEPT,
    TOO_MANY
  }

  /** Names at most; a grant that ended long ago gives way to a new name. */
  static final int MAX_LEASES = 1024;

  /** That are told when a name comes free; others ask again by themselves. */
  static final int MAX_WAITERS = 16;

  // Whoever finds the line full asks again after so many terms: with a thousand candidates and
  // terms of three seconds a granter
  // has some forty asks a second to refuse, which is little beside the holder's renewals being sure
  // to be heard.
  private static final double LINE_FULL_TERMS = 8;
  private static final double HEIR_TERMS = 0.5; // an heir that is alive asks within a round trip

  private final LeaseTerms terms;
  private final Replies host;
  private final Timestamp grantsFrom;
  private final Map<String, Grant> grants = new TreeMap<>();
  private final Map<String, Set<Integer>> waiters = new TreeMap<>();
  private long refused;

  /** Begins with nothing known. */
  LeaseGrantor(LeaseTerms terms, Replies host, Timestamp now) {
    this(terms, host, now.plus(terms.longestTerm()), Map.of());
  }

  /** As it stands. */
  LeaseGrantor(LeaseTerms terms, Replies host, Timestamp opens, Map<String, Grant> grants) {
    this.terms = terms;
    this.host = host;
    this.grantsFrom = opens;
    this.grants.putAll(grants);
  }

  /** A candidate asks, for the first time or to hold on to it: {@code number} says which. */
  void request(int candidate, long life, String name, long number, long round, Timestamp now) {
    Grant grant = grants.getOrDefault(name, Grant.NONE);
    Rejection why = why(candidate, life, name, number, grant, now);
    if (why == null) {
      grants.put(name, new Grant(number, candidate, life, now.plus(terms.term()), true, -1));
      Set<Integer> line = waiters.get(name);
      if (line != null) {
        line.remove(candidate);
      }
      host.granted(candidate, name, number, round);
      return;
    }
    refused++;
    boolean mine = grant.token() == number && grant.incarnation() == life;
    TimeSpan left =
        switch (why) {
          case STARTING -> grantsFrom.since(now);
          case HELD, KEPT -> grant.expiresAt().since(now);
          case TOO_MANY -> terms.longestTerm();
          case LOWER, RETURNED -> TimeSpan.ZERO;
        };
    if (why == Rejection.HELD && !mine && !waits(candidate, name)) {
      left = left.plus(terms.term().times(LINE_FULL_TERMS));
    }
    host.rejected(candidate, name, number, round, grant.token(), left, why);
  }

  private Rejection why(
      int candidate, long life, String name, long number, Grant grant, Timestamp now) {
    if (isStarting(now)) {
      return Rejection.STARTING;
    }
    if (isHolder(grant, candidate, life, number)) {
      return isOutstanding(grant) ? null : Rejection.RETURNED;
    }
    if (isRunning(grant, now)) {
      return Rejection.HELD;
    }
    if (grant.successor() >= 0 && grant.successor() != candidate && grant.expiresAt().after(now)) {
      return Rejection.KEPT;
    }
    if (!exceedsToken(number, grant)) {
      return Rejection.LOWER;
    }
    return grants.containsKey(name) || hasCapacity(now) ? null : Rejection.TOO_MANY;
  }

  // What keeps two from holding it stands alone, so that tests can take it out and show that their
  // checker finds it missing.

  /** What its last life granted may still run. */
  boolean isStarting(Timestamp now) {
    return grantsFrom.after(now);
  }

  /** Whoever asks under the number that is out is its holder, if it is that same life of it. */
  boolean isHolder(Grant grant, int candidate, long life, long number) {
    return grant.token() == number && grant.holder() == candidate && grant.incarnation() == life;
  }

  /**
   * A grant that was given back is not revived by an ask that was long on its way, and the name
   * blocked for a term.
   */
  boolean isOutstanding(Grant grant) {
    return grant.open();
  }

  boolean isRunning(Grant grant, Timestamp now) {
    return grant.open() && grant.expiresAt().after(now);
  }

  boolean exceedsToken(long number, Grant grant) {
    return number > grant.token();
  }

  private boolean hasCapacity(Timestamp now) {
    if (grants.size() < MAX_LEASES) {
      return true;
    }
    Iterator<Map.Entry<String, Grant>> each = grants.entrySet().iterator();
    while (each
        .hasNext()) { // full only where somebody uses names without end: the search is then the
      // price
      Grant grant = each.next().getValue();
      if (!now.since(grant.expiresAt()).over(terms.longestTerm())) {
        continue;
      }
      each.remove();
      return true;
    }
    return false;
  }

  private boolean waits(int candidate, String name) {
    if (waiters.size() >= MAX_LEASES && !waiters.containsKey(name)) {
      return false;
    }
    Set<Integer> line = waiters.computeIfAbsent(name, any -> new java.util.LinkedHashSet<>());
    if (line.size() >= MAX_WAITERS && !line.contains(candidate)) {
      return false;
    }
    line.add(candidate);
    return true;
  }

  /**
   * The holder gives it back, or a candidate what was no majority; {@code heir}: who is to have it
   * next, -1: anybody.
   */
  void release(int candidate, long life, String name, long number, int heir, Timestamp now) {
    Grant grant = grants.get(name);
    if (grant == null || !isHolder(grant, candidate, life, number) || !grant.open()) {
      return;
    }
    Timestamp keptUntil = heir >= 0 ? now.plus(terms.term().times(HEIR_TERMS)) : now;
    grants.put(name, new Grant(number, candidate, life, keptUntil, false, heir));
    if (heir >= 0) {
      host.available(heir, name);
    } else {
      tellNext(name);
    }
  }

  private void tellNext(
      String
          name) { // who has waited longest at this granter; it may be gone, and then the next asks
    // by itself
    Set<Integer> line = waiters.get(name);
    if (line == null) {
      return;
    }
    Iterator<Integer> first = line.iterator();
    if (first.hasNext()) {
      int next = first.next();
      first.remove();
      host.available(next, name);
    }
    if (line.isEmpty()) {
      waiters.remove(name);
    }
  }

  /** Its link is gone; what it holds runs out by itself. */
  void disconnected(int candidate) {
    waiters
        .values()
        .removeIf(
            line -> {
              line.remove(candidate);
              return line.isEmpty();
            });
  }

  /** What is known, by name; for operators and tests. */
  Map<String, Grant> grants() {
    return new LinkedHashMap<>(grants);
  }

  /** The moment from which it grants. */
  Timestamp grantsFrom() {
    return grantsFrom;
  }

  /** Asks that were refused so far. */
  long rejectedCount() {
    return refused;
  }

  /** Who waits for a name, the longest first. */
  List<Integer> waiters(String name) {
    return new ArrayList<>(waiters.getOrDefault(name, new TreeSet<>()));
  }
}
