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
 * One grantor, an acceptor in the terms of Paxos. It has at most one running grant for each lease,
 * and grants a lease to another client only under a higher token than all its earlier grants of
 * this lease. It needs no disk: after its start it grants nothing for the longest term that its
 * previous incarnation may have granted. A restart loses the tokens of earlier grants, but clients
 * remember them and request under higher ones. Messages may arrive late, twice, never and in any
 * order. A pure state machine: it reads no clock and opens no connection. Not thread-safe.
 *
 * <p>The design follows Gray and Cheriton's lease (1989), a grant that expires by itself. A quorum
 * grants it, as in PaxosLease (Trencseni and others, 2009). PaxosLease needs two rounds. Here one
 * round is enough, because each client brings a token that no other client can choose.
 */
class LeaseGrantor {
  /** Sends answers and notifications to clients. They may get lost. */
  interface Replies {
    void sendGranted(int client, String name, long token, long round);

    /**
     * Rejects a request.
     *
     * @param highestToken the token that the next request has to exceed
     * @param minWait how long the client should wait before it requests again, unless it is
     *     notified earlier; zero: it may request again at once
     */
    void sendRejected(
        int client,
        String name,
        long token,
        long round,
        long highestToken,
        TimeSpan minWait,
        Rejection reason);

    /** Notifies one waiting client that the lease is available now. */
    void sendAvailable(int client, String name);
  }

  /** The reason for a rejection. The names are sent to clients. */
  enum Rejection {
    /** A grant to another client or incarnation, or under another token, is running. */
    HELD,
    /** The token is not higher than that of the latest grant. */
    LOWER,
    /** The client has released the grant under this token. */
    RETURNED,
    /** The grantor has started recently, and grants of its previous incarnation may still run. */
    STARTING,
    /** The former holder released the lease for another client, and it is kept for that client. */
    KEPT,
    /** The grantor has no room for another lease name. */
    TOO_MANY
  }

  /**
   * The largest number of leases. Beyond it a new lease replaces one whose latest grant expired
   * more than the longest term ago.
   */
  static final int MAX_LEASES = 1024;

  /**
   * The largest length of a lease's queue. Each time the lease becomes available, the first client
   * in the queue is notified. Other clients request again without a notification.
   */
  static final int MAX_WAITERS = 16;

  // A client that finds the queue full waits for the end of the running grant and this many terms
  // more. With a thousand clients and terms of three seconds a grantor rejects some forty requests
  // a second, few enough that the holder's renewals are always received.
  private static final double QUEUE_FULL_TERMS = 8;

  /**
   * How long a released lease is kept for the successor. A successor that runs requests it within a
   * round trip.
   */
  private static final double SUCCESSOR_TERMS = 0.5;

  private final LeaseTerms terms;
  private final Replies replies;

  /** The time before which this grantor grants nothing. */
  private final Timestamp grantsFrom;

  private final Map<String, Grant> grants = new TreeMap<>();
  private final Map<String, Set<Integer>> waiters = new TreeMap<>();
  private long rejectedCount;

  /** Creates a grantor that has just started. It grants nothing for the longest term. */
  LeaseGrantor(LeaseTerms terms, Replies replies, Timestamp now) {
    this(terms, replies, now.plus(terms.maxTerm()), Map.of());
  }

  /** Creates a grantor that continues from known grants. */
  LeaseGrantor(LeaseTerms terms, Replies replies, Timestamp grantsFrom, Map<String, Grant> grants) {
    this.terms = terms;
    this.replies = replies;
    this.grantsFrom = grantsFrom;
    this.grants.putAll(grants);
  }

  /**
   * Handles a client's request. A request under the token of the client's own grant renews it, a
   * request under another token asks for a new grant.
   */
  void request(int client, long incarnation, String name, long token, long round, Timestamp now) {
    Grant grant = grants.getOrDefault(name, Grant.NONE);
    Rejection reason = rejectionOf(client, incarnation, name, token, grant, now);
    if (reason == null) {
      grants.put(name, new Grant(token, client, incarnation, now.plus(terms.term()), true, -1));
      Set<Integer> queue = waiters.get(name);
      if (queue != null) {
        queue.remove(client);
      }
      replies.sendGranted(client, name, token, round);
      return;
    }
    rejectedCount++;
    boolean isOwnGrant = grant.token() == token && grant.incarnation() == incarnation;
    TimeSpan minWait =
        switch (reason) {
          case STARTING -> grantsFrom.since(now);
          case HELD, KEPT -> grant.expiresAt().since(now);
          case TOO_MANY -> terms.maxTerm();
          case LOWER, RETURNED -> TimeSpan.ZERO;
        };
    if (reason == Rejection.HELD && !isOwnGrant && !enqueue(client, name)) {
      minWait = minWait.plus(terms.term().times(QUEUE_FULL_TERMS));
    }
    replies.sendRejected(client, name, token, round, grant.token(), minWait, reason);
  }

  private Rejection rejectionOf(
      int client, long incarnation, String name, long token, Grant grant, Timestamp now) {
    if (isStarting(now)) {
      return Rejection.STARTING;
    }
    if (isGrantedTo(grant, client, incarnation, token)) {
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
    return grants.containsKey(name) || ensureCapacity(now) ? null : Rejection.TOO_MANY;
  }

  // Each rule that keeps two clients from holding a lease at once is a method of its own, so that
  // tests can remove it and show that their checker finds it missing.

  /** Returns whether grants of the previous incarnation may still run. */
  boolean isStarting(Timestamp now) {
    return grantsFrom.after(now);
  }

  /**
   * Returns whether a grant was given to this incarnation of the client under this token. The grant
   * may have expired or have been released.
   */
  boolean isGrantedTo(Grant grant, int client, long incarnation, long token) {
    return grant.token() == token && grant.holder() == client && grant.incarnation() == incarnation;
  }

  /**
   * Returns whether the holder has yet to release the grant. A delayed request of the former holder
   * must not renew a released grant: that would block the lease for a term.
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

  /**
   * Returns whether another lease can be granted. If there are {@link #MAX_LEASES} leases, forgets
   * one whose latest grant expired more than the longest term ago.
   */
  private boolean ensureCapacity(Timestamp now) {
    if (grants.size() < MAX_LEASES) {
      return true;
    }
    Iterator<Map.Entry<String, Grant>> entries = grants.entrySet().iterator();
    // The scan runs only if the map is full, which happens only if clients use ever new names.
    while (entries.hasNext()) {
      Grant grant = entries.next().getValue();
      if (!now.since(grant.expiresAt()).over(terms.maxTerm())) {
        continue;
      }
      entries.remove();
      return true;
    }
    return false;
  }

  /** Returns whether the client is in the lease's queue now; false: the queue is full. */
  private boolean enqueue(int client, String name) {
    if (waiters.size() >= MAX_LEASES && !waiters.containsKey(name)) {
      return false;
    }
    Set<Integer> queue = waiters.computeIfAbsent(name, absent -> new LinkedHashSet<>());
    if (queue.size() >= MAX_WAITERS && !queue.contains(client)) {
      return false;
    }
    queue.add(client);
    return true;
  }

  /**
   * Releases a grant. A holder does so to give up its lease. A client that got grants without a
   * quorum does so to let other clients get the lease.
   *
   * @param successor the client that the lease is kept for; -1: none
   */
  void release(
      int client, long incarnation, String name, long token, int successor, Timestamp now) {
    Grant grant = grants.get(name);
    if (grant == null || !isGrantedTo(grant, client, incarnation, token) || !grant.outstanding()) {
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

  /**
   * Notifies the client that has waited longest. If that client has ended, the others request the
   * lease without a notification when their wait is over.
   */
  private void notifyNext(String name) {
    Set<Integer> queue = waiters.get(name);
    if (queue == null) {
      return;
    }
    Iterator<Integer> clients = queue.iterator();
    if (clients.hasNext()) {
      int next = clients.next();
      clients.remove();
      replies.sendAvailable(next, name);
    }
    if (queue.isEmpty()) {
      waiters.remove(name);
    }
  }

  /** Removes a disconnected client from all queues. Its grants expire by themselves. */
  void disconnected(int client) {
    waiters
        .values()
        .removeIf(
            queue -> {
              queue.remove(client);
              return queue.isEmpty();
            });
  }

  /** Returns all known grants by lease name, for operators and tests. */
  Map<String, Grant> grants() {
    return new LinkedHashMap<>(grants);
  }

  /** Returns the time before which this grantor grants nothing. */
  Timestamp grantsFrom() {
    return grantsFrom;
  }

  /** Returns the number of requests rejected so far. */
  long rejectedCount() {
    return rejectedCount;
  }

  /** Returns the clients in a lease's queue, first the one that has waited longest. */
  List<Integer> waiters(String name) {
    return new ArrayList<>(waiters.getOrDefault(name, new TreeSet<>()));
  }
}
