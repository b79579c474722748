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
  interface Host {
    void granted(int candidate, String name, long number, long round);

    /**
     * {@code highest}: the number to be exceeded; {@code left}: not worth asking before that; zero:
     * at once.
     */
    void refused(
        int candidate,
        String name,
        long number,
        long round,
        long highest,
        TimeSpan left,
        Refusal why);

    /** It may be had now; told to one that waits. */
    void freed(int candidate, String name);
  }

  /** Why it was not granted. */
  enum Refusal {
    HELD,
    LOWER,
    RETURNED,
    STARTING,
    KEPT,
    TOO_MANY
  }

  /** Names at most; a grant that ended long ago gives way to a new name. */
  static final int MOST_NAMES = 1024;

  /** That are told when a name comes free; others ask again by themselves. */
  static final int MOST_WAITING = 16;

  // Whoever finds the line full asks again after so many terms: with a thousand candidates and
  // terms of three seconds a granter
  // has some forty asks a second to refuse, which is little beside the holder's renewals being sure
  // to be heard.
  private static final double LINE_FULL_TERMS = 8;
  private static final double HEIR_TERMS = 0.5; // an heir that is alive asks within a round trip

  private final Terms terms;
  private final Host host;
  private final Timestamp opens;
  private final Map<String, Grant> grants = new TreeMap<>();
  private final Map<String, Set<Integer>> waiting = new TreeMap<>();
  private long refused;

  /** Begins with nothing known. */
  LeaseGrantor(Terms terms, Host host, Timestamp now) {
    this(terms, host, now.plus(terms.longest()), Map.of());
  }

  /** As it stands. */
  LeaseGrantor(Terms terms, Host host, Timestamp opens, Map<String, Grant> grants) {
    this.terms = terms;
    this.host = host;
    this.opens = opens;
    this.grants.putAll(grants);
  }

  /** A candidate asks, for the first time or to hold on to it: {@code number} says which. */
  void asked(int candidate, long life, String name, long number, long round, Timestamp now) {
    Grant grant = grants.getOrDefault(name, Grant.NONE);
    Refusal why = why(candidate, life, name, number, grant, now);
    if (why == null) {
      grants.put(name, new Grant(number, candidate, life, now.plus(terms.term()), true, -1));
      Set<Integer> line = waiting.get(name);
      if (line != null) {
        line.remove(candidate);
      }
      host.granted(candidate, name, number, round);
      return;
    }
    refused++;
    boolean mine = grant.number() == number && grant.life() == life;
    TimeSpan left =
        switch (why) {
          case STARTING -> opens.since(now);
          case HELD, KEPT -> grant.until().since(now);
          case TOO_MANY -> terms.longest();
          case LOWER, RETURNED -> TimeSpan.ZERO;
        };
    if (why == Refusal.HELD && !mine && !waits(candidate, name)) {
      left = left.plus(terms.term().times(LINE_FULL_TERMS));
    }
    host.refused(candidate, name, number, round, grant.number(), left, why);
  }

  private Refusal why(
      int candidate, long life, String name, long number, Grant grant, Timestamp now) {
    if (startsOut(now)) {
      return Refusal.STARTING;
    }
    if (same(grant, candidate, life, number)) {
      return isOut(grant) ? null : Refusal.RETURNED;
    }
    if (runs(grant, now)) {
      return Refusal.HELD;
    }
    if (grant.heir() >= 0 && grant.heir() != candidate && grant.until().after(now)) {
      return Refusal.KEPT;
    }
    if (!exceeds(number, grant)) {
      return Refusal.LOWER;
    }
    return grants.containsKey(name) || hasRoom(now) ? null : Refusal.TOO_MANY;
  }

  // What keeps two from holding it stands alone, so that tests can take it out and show that their
  // checker finds it missing.

  /** What its last life granted may still run. */
  boolean startsOut(Timestamp now) {
    return opens.after(now);
  }

  /** Whoever asks under the number that is out is its holder, if it is that same life of it. */
  boolean same(Grant grant, int candidate, long life, long number) {
    return grant.number() == number && grant.holder() == candidate && grant.life() == life;
  }

  /**
   * A grant that was given back is not revived by an ask that was long on its way, and the name
   * blocked for a term.
   */
  boolean isOut(Grant grant) {
    return grant.open();
  }

  boolean runs(Grant grant, Timestamp now) {
    return grant.open() && grant.until().after(now);
  }

  boolean exceeds(long number, Grant grant) {
    return number > grant.number();
  }

  private boolean hasRoom(Timestamp now) {
    if (grants.size() < MOST_NAMES) {
      return true;
    }
    Iterator<Map.Entry<String, Grant>> each = grants.entrySet().iterator();
    while (each
        .hasNext()) { // full only where somebody uses names without end: the search is then the
      // price
      Grant grant = each.next().getValue();
      if (!now.since(grant.until()).over(terms.longest())) {
        continue;
      }
      each.remove();
      return true;
    }
    return false;
  }

  private boolean waits(int candidate, String name) {
    if (waiting.size() >= MOST_NAMES && !waiting.containsKey(name)) {
      return false;
    }
    Set<Integer> line = waiting.computeIfAbsent(name, any -> new java.util.LinkedHashSet<>());
    if (line.size() >= MOST_WAITING && !line.contains(candidate)) {
      return false;
    }
    line.add(candidate);
    return true;
  }

  /**
   * The holder gives it back, or a candidate what was no majority; {@code heir}: who is to have it
   * next, -1: anybody.
   */
  void returned(int candidate, long life, String name, long number, int heir, Timestamp now) {
    Grant grant = grants.get(name);
    if (grant == null || !same(grant, candidate, life, number) || !grant.open()) {
      return;
    }
    Timestamp keptUntil = heir >= 0 ? now.plus(terms.term().times(HEIR_TERMS)) : now;
    grants.put(name, new Grant(number, candidate, life, keptUntil, false, heir));
    if (heir >= 0) {
      host.freed(heir, name);
    } else {
      tellNext(name);
    }
  }

  private void tellNext(
      String
          name) { // who has waited longest at this granter; it may be gone, and then the next asks
    // by itself
    Set<Integer> line = waiting.get(name);
    if (line == null) {
      return;
    }
    Iterator<Integer> first = line.iterator();
    if (first.hasNext()) {
      int next = first.next();
      first.remove();
      host.freed(next, name);
    }
    if (line.isEmpty()) {
      waiting.remove(name);
    }
  }

  /** Its link is gone; what it holds runs out by itself. */
  void gone(int candidate) {
    waiting
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
  Timestamp opens() {
    return opens;
  }

  /** Asks that were refused so far. */
  long refusals() {
    return refused;
  }

  /** Who waits for a name, the longest first. */
  List<Integer> waiting(String name) {
    return new ArrayList<>(waiting.getOrDefault(name, new TreeSet<>()));
  }
}
