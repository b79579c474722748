package sprucerock.lease;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One grantor (an acceptor in the terms of Paxos): for each lease at most one grant at a time, each
 * under a higher token than any before. It needs no disk: once started it grants nothing for the
 * longest term that its last incarnation may have granted, and of tokens it forgot it is told by
 * whoever asks with a higher one. Messages may come late, twice, never and in any order. A pure
 * state machine: it reads no clock and opens no connection. Not thread-safe.
 *
 * <p>The ground is Gray and Cheriton's lease (1989): a promise that ends by itself; granted here by
 * a quorum, as in PaxosLease (Trencseni and others, 2009), whose two rounds are one here, since a
 * client brings a token of its own that nobody else can bring.
 */
class LeaseGrantor {
  /** Answers to clients; they may get lost. */
  interface Replies {
    void sendGranted(int client, String name, long token, long round);

    /**
     * {@code highest}: the token to be exceeded; {@code left}: not worth asking before that; zero:
     * at once.
     */
    void sendRejected(
        int client,
        String name,
        long token,
        long round,
        long highest,
        TimeSpan left,
        Rejection why);

    /** It may be had now; sent to one client that waits. */
    void sendAvailable(int client, String name);
  }

  /** Why it was not granted; the names are sent to clients. */
  enum Rejection {
    HELD,
    LOWER,
    RETURNED,
    STARTING,
    KEPT,
    TOO_MANY
  }

  /** Leases at most; a grant that ended long ago gives way to a new name. */
  static final int MAX_LEASES = 1024;

  /** Clients that are notified when a lease becomes available; others ask again by themselves. */
  static final int MAX_WAITERS = 16;

  // Whoever finds the queue full asks again after so many terms: with a thousand clients and
  // terms of three seconds a grantor
  // has some forty requests a second to reject, which is little beside the holder's renewals being
  // sure
  // to be heard.
  private static final double QUEUE_FULL_TERMS = 8;

  /** A successor that is alive asks within a round trip. */
  private static final double SUCCESSOR_TERMS = 0.5;

  private final LeaseTerms terms;
  private final Replies replies;
  private final Timestamp grantsFrom;
  private final Map<String, Grant> grants = new TreeMap<>();
  private final Map<String, Set<Integer>> waiters = new TreeMap<>();
  private long rejectedCount;

  /** A grantor that has just started: it grants nothing for the longest term. */
  LeaseGrantor(LeaseTerms terms, Replies replies, Timestamp now) {
    this(terms, replies, now.plus(terms.maxTerm()), Map.of());
  }

  /** One that continues from known grants. */
  LeaseGrantor(LeaseTerms terms, Replies replies, Timestamp grantsFrom, Map<String, Grant> grants) {
    this.terms = terms;
    this.replies = replies;
    this.grantsFrom = grantsFrom;
    this.grants.putAll(grants);
  }

  /** A client asks, for the first time or to hold on to it: {@code token} says which. */
  void request(int client, long incarnation, String name, long token, long round, Timestamp now) {
    Grant grant = grants.getOrDefault(name, Grant.NONE);
    Rejection why = rejectionOf(client, incarnation, name, token, grant, now);
    if (why == null) {
      grants.put(name, new Grant(token, client, incarnation, now.plus(terms.term()), true, -1));
      Set<Integer> queue = waiters.get(name);
      if (queue != null) {
        queue.remove(client);
      }
      replies.sendGranted(client, name, token, round);
      return;
    }
    rejectedCount++;
    boolean mine = grant.token() == token && grant.incarnation() == incarnation;
    TimeSpan left =
        switch (why) {
          case STARTING -> grantsFrom.since(now);
          case HELD, KEPT -> grant.expiresAt().since(now);
          case TOO_MANY -> terms.maxTerm();
          case LOWER, RETURNED -> TimeSpan.ZERO;
        };
    if (why == Rejection.HELD && !mine && !enqueue(client, name)) {
      left = left.plus(terms.term().times(QUEUE_FULL_TERMS));
    }
    replies.sendRejected(client, name, token, round, grant.token(), left, why);
  }

  private Rejection rejectionOf(
      int client, long incarnation, String name, long token, Grant grant, Timestamp now) {
    if (isStarting(now)) {
      return Rejection.STARTING;
    }
    if (isHolder(grant, client, incarnation, token)) {
      return isOutstanding(grant) ? null : Rejection.RETURNED;
    }
    if (isRunning(grant, now)) {
      return Rejection.HELD;
    }
    if (grant.successor() >= 0 && grant.successor() != client && grant.expiresAt().after(now)) {
      return Rejection.KEPT;
    }
    if (!exceedsToken(token, grant)) {
      return Rejection.LOWER;
    }
    return grants.containsKey(name) || hasCapacity(now) ? null : Rejection.TOO_MANY;
  }

  // Each rule that keeps two clients from holding it stands alone, so that tests can take it out
  // and show that their checker finds it missing.

  /** What its last incarnation granted may still run. */
  boolean isStarting(Timestamp now) {
    return grantsFrom.after(now);
  }

  /**
   * Whoever asks under the token that is outstanding is its holder, if it is that same incarnation
   * of it.
   */
  boolean isHolder(Grant grant, int client, long incarnation, long token) {
    return grant.token() == token && grant.holder() == client && grant.incarnation() == incarnation;
  }

  /**
   * A grant that was given back is not revived by a request that was long on its way, and the name
   * blocked for a term.
   */
  boolean isOutstanding(Grant grant) {
    return grant.outstanding();
  }

  boolean isRunning(Grant grant, Timestamp now) {
    return grant.outstanding() && grant.expiresAt().after(now);
  }

  boolean exceedsToken(long token, Grant grant) {
    return token > grant.token();
  }

  private boolean hasCapacity(Timestamp now) {
    if (grants.size() < MAX_LEASES) {
      return true;
    }
    Iterator<Map.Entry<String, Grant>> each = grants.entrySet().iterator();
    // full only where somebody uses names without end: the search is then the price
    while (each.hasNext()) {
      Grant grant = each.next().getValue();
      if (!now.since(grant.expiresAt()).over(terms.maxTerm())) {
        continue;
      }
      each.remove();
      return true;
    }
    return false;
  }

  private boolean enqueue(int client, String name) {
    if (waiters.size() >= MAX_LEASES && !waiters.containsKey(name)) {
      return false;
    }
    Set<Integer> queue = waiters.computeIfAbsent(name, any -> new LinkedHashSet<>());
    if (queue.size() >= MAX_WAITERS && !queue.contains(client)) {
      return false;
    }
    queue.add(client);
    return true;
  }

  /**
   * The holder gives it back, or a client what was no quorum; {@code successor}: who is to have it
   * next, -1: anybody.
   */
  void release(
      int client, long incarnation, String name, long token, int successor, Timestamp now) {
    Grant grant = grants.get(name);
    if (grant == null || !isHolder(grant, client, incarnation, token) || !grant.outstanding()) {
      return;
    }
    Timestamp keptUntil = successor >= 0 ? now.plus(terms.term().times(SUCCESSOR_TERMS)) : now;
    grants.put(name, new Grant(token, client, incarnation, keptUntil, false, successor));
    if (successor >= 0) {
      replies.sendAvailable(successor, name);
    } else {
      notifyNext(name);
    }
  }

  /** Who has waited longest here; it may be gone, and then the next one asks by itself. */
  private void notifyNext(String name) {
    Set<Integer> queue = waiters.get(name);
    if (queue == null) {
      return;
    }
    Iterator<Integer> first = queue.iterator();
    if (first.hasNext()) {
      int next = first.next();
      first.remove();
      replies.sendAvailable(next, name);
    }
    if (queue.isEmpty()) {
      waiters.remove(name);
    }
  }

  /** A client is disconnected; what it holds runs out by itself. */
  void disconnected(int client) {
    waiters
        .values()
        .removeIf(
            queue -> {
              queue.remove(client);
              return queue.isEmpty();
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

  /** Asks that were rejected so far. */
  long rejectedCount() {
    return rejectedCount;
  }

  /** Which clients wait for a lease, the longest first. */
  List<Integer> waiters(String name) {
    return new ArrayList<>(waiters.getOrDefault(name, new TreeSet<>()));
  }
}
