package sprucerock.lease;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process's side of one lease. It requests the lease from all grantors, holds it once a quorum
 * has granted it in one round, renews it in time, and releases it. The term counts from before the
 * request was sent, by this process's own clock, and is shortened by the allowed clock drift. So
 * the client stops before any grantor can grant the lease to another client. Callers ask through
 * {@link LeaseCheck}, immediately before they act, whether the lease is held.
 *
 * <p>A pure state machine: it reads no clock, starts no timer and sends only through its {@link
 * Transport}. Not thread-safe.
 */
class LeaseClient {
  /** Sends messages, which may get lost, and is notified when the lease is acquired or lost. */
  interface Transport {
    void request(int grantor, String name, long token, long round);

    /**
     * Releases a grant.
     *
     * @param successor the client that gets the lease next; -1: any client
     */
    void release(int grantor, String name, long token, int successor);

    void acquired(String name, long token);

    void lost(String name, long token, String reason);
  }

  /** The number of low bits of a token that name the client that chose it. The rest counts up. */
  private static final int CLIENT_BITS = 16;

  // Shares of the usable term. A lease is renewed after a third, with up to a sixth of jitter, so
  // that the renewals of a fleet spread out and a third round is possible after two lost ones. The
  // timeout of a round is a sixth, far more than a round trip with any sensible term.
  private static final double RENEW_SHARE = 1.0 / 3;
  private static final double JITTER_SHARE = 1.0 / 6;
  private static final double ROUND_TIMEOUT_SHARE = 1.0 / 6;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final String name;
  private final LeaseTerms terms;
  private final Transport transport;
  private final DoubleSupplier random;
  private final int client;
  private final long incarnation;

  private final LeaseRound round = new LeaseRound();
  private boolean campaigning;

  /** The token of the present request or lease; 0: none. */
  private long token;

  /** The end of the usable term; null: the lease is not held. */
  private Timestamp heldUntil;

  /** The time of the next action; null: no action is due by time. */
  private Timestamp nextTick;

  private long highestSeen;
  private int failures;

  /**
   * Creates a client that does not campaign yet.
   *
   * @param random returns numbers from 0 to under 1
   * @param client this process's number in the fleet, 0 to 65535
   * @param incarnation a number that differs with each start of the process
   * @throws IllegalArgumentException if {@code client} is out of range
   */
  LeaseClient(
      String name,
      LeaseTerms terms,
      Transport transport,
      DoubleSupplier random,
      int client,
      long incarnation) {
    if (client < 0 || client >= 1 << CLIENT_BITS) {
      throw new IllegalArgumentException("lease client number must be 0 to 65535, not " + client);
    }
    this.name = name;
    this.terms = terms;
    this.transport = transport;
    this.random = random;
    this.client = client;
    this.incarnation = incarnation;
  }

  /** Copies the state of another client, so that a state-space search can branch. */
  void copyStateFrom(LeaseClient other) {
    round.copyFrom(other.round);
    campaigning = other.campaigning;
    token = other.token;
    heldUntil = other.heldUntil;
    nextTick = other.nextTick;
    highestSeen = other.highestSeen;
    failures = other.failures;
  }

  /** Returns the whole state as text, except the grantors' votes: see {@link #voteOf}. */
  String stateWithoutVotes() {
    return name
        + " by "
        + client
        + (campaigning ? "" : ", not campaigning")
        + ", token "
        + token
        + ", round "
        + round.stateWithoutVotes()
        + ", until "
        + heldUntil
        + ", next "
        + nextTick
        + ", seen "
        + highestSeen
        + ", failures "
        + failures;
  }

  /** Returns a grantor's answers in this round; bit 0: it granted, bit 1: it rejected. */
  int voteOf(int grantor) {
    return round.voteOf(grantor);
  }

  String name() {
    return name;
  }

  long incarnation() {
    return incarnation;
  }

  /**
   * Starts to campaign for the lease. Without effect while this client campaigns.
   *
   * @param floorMs see {@link #nextToken}
   */
  void acquire(Timestamp now, long floorMs) {
    if (campaigning) {
      return;
    }
    campaigning = true;
    requestWithNewToken(now, floorMs);
  }

  /**
   * Releases the lease and stops campaigning for it.
   *
   * @param successor the client that gets the lease next; -1: any client
   */
  void release(int successor) {
    campaigning = false;
    nextTick = null;
    relinquish("released by this process", successor);
  }

  boolean campaigning() {
    return campaigning;
  }

  /**
   * Returns a token that is higher than all tokens seen. Its low bits are the client's number, so
   * that no two clients request under one token. Grantors forget tokens when they restart, so the
   * token is also not below the wall clock. A wrong wall clock only skips tokens: safety does not
   * depend on it while one grantor of a quorum remembers the highest token.
   *
   * @param floorMs the wall clock in milliseconds
   */
  private long nextToken(long floorMs) {
    return Math.max((highestSeen >>> CLIENT_BITS) + 1, floorMs) << CLIENT_BITS | client;
  }

  private void requestWithNewToken(Timestamp now, long floorMs) {
    token = nextToken(floorMs);
    highestSeen = token;
    beginRound(now);
  }

  private void beginRound(Timestamp now) {
    round.begin(now);
    nextTick = now.plus(terms.usableTerm().times(ROUND_TIMEOUT_SHARE));
    for (int grantor = 0; grantor < terms.grantorCount(); grantor++) {
      transport.request(grantor, name, token, round.number());
    }
  }

  /** Counts a grant. A quorum of grants in the current round acquires or renews the lease. */
  void handleGrant(int grantor, long answeredToken, long answeredRound, Timestamp now) {
    if (answeredToken != token) {
      // The token was given up, and the release that said so may have been lost.
      transport.release(grantor, name, answeredToken, -1);
      return;
    }
    if (!isCurrentRound(answeredRound)) {
      return;
    }
    round.addGrant(grantor);
    if (round.grantCount() < requiredGrants()) {
      return;
    }
    Timestamp end = termStart(now).plus(usableTerm());
    if (!end.after(now)) {
      // The grants arrived after the end of the term. The round ends by its timeout.
      return;
    }
    final boolean newlyAcquired = heldUntil == null;
    heldUntil = end;
    failures = 0;
    double renewAfter = RENEW_SHARE + JITTER_SHARE * random.getAsDouble();
    nextTick = round.requestedAt().plus(terms.usableTerm().times(renewAfter)).laterOf(now);
    if (newlyAcquired) {
      transport.acquired(name, token);
    }
  }

  /**
   * Counts a rejection. The round fails if too few grantors are left for a quorum.
   *
   * @param highest the token that the next request has to exceed
   * @param minWait a request before this time span has passed is rejected too
   * @param held whether another client holds the lease
   */
  void handleRejection(
      int grantor,
      long answeredToken,
      long answeredRound,
      long highest,
      TimeSpan minWait,
      boolean held,
      Timestamp now) {
    observeToken(highest);
    if (answeredToken != token || answeredRound != round.number()) {
      return;
    }
    round.addRejection(grantor, minWait, held);
    if (heldUntil == null && round.rejectionCount() > terms.grantorCount() - terms.quorum()) {
      failRound(now);
    }
  }

  // Each rule that keeps two clients from holding a lease at once is a method of its own, so that
  // tests can remove it and show that their checker finds it missing.

  /**
   * Returns whether an answer belongs to the current round. The term counts from the start of the
   * round, and a grantor that answered an earlier round may have begun its grant before that.
   */
  boolean isCurrentRound(long answeredRound) {
    return answeredRound == round.number();
  }

  int requiredGrants() {
    return terms.quorum();
  }

  /**
   * Returns the time from which the term counts. It is not known when a grantor began to count, but
   * it was not before the request.
   */
  Timestamp termStart(Timestamp now) {
    return round.requestedAt();
  }

  TimeSpan usableTerm() {
    return terms.usableTerm();
  }

  /** Requests the lease, which a grantor has reported as available. */
  void handleAvailable(Timestamp now, long floorMs) {
    if (campaigning && heldUntil == null && token == 0) {
      requestWithNewToken(now, floorMs);
    }
  }

  /**
   * Ends a round without a quorum. Releases the grants at once, so that two clients that each have
   * some grants do not block each other.
   */
  private void failRound(Timestamp now) {
    long releasedToken = token;
    token = 0;
    for (int grantor = 0; grantor < terms.grantorCount(); grantor++) {
      if (!round.rejectedBy(grantor)) {
        transport.release(grantor, name, releasedToken, -1);
      }
    }
    failures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
    nextTick = now.plus(backoff());
  }

  /**
   * Returns the time span until the next request. While another client holds the lease, it lasts
   * until that client's term may have ended. Otherwise clients requested at the same time or
   * grantors are unreachable, and the backoff doubles with each failure. Both have jitter, so that
   * clients that requested together do not request together again.
   */
  private TimeSpan backoff() {
    TimeSpan heldFor = round.heldByOtherFor();
    if (heldFor != null) {
      return heldFor.plus(terms.usableTerm().times(ROUND_TIMEOUT_SHARE * random.getAsDouble()));
    }
    return terms
        .usableTerm()
        .times(ROUND_TIMEOUT_SHARE * (1 << (failures - 1)) * (0.5 + random.getAsDouble()));
  }

  /** Returns when to call {@link #tick} next; null: only after another event. */
  Timestamp nextTick() {
    return nextTick;
  }

  /** Renews the lease, requests it again or gives up an expired lease, whichever is due. */
  void tick(Timestamp now, long floorMs) {
    if (heldUntil != null && !isHeldAt(now)) {
      relinquish("the term ended before a quorum renewed it", -1);
      if (campaigning) {
        requestWithNewToken(now, floorMs);
      }
      return;
    }
    if (nextTick == null || nextTick.after(now)) {
      return;
    }
    if (heldUntil != null) {
      // This renews the lease, which is held as before until then.
      beginRound(now);
    } else if (token != 0) {
      failRound(now);
    } else if (campaigning) {
      requestWithNewToken(now, floorMs);
    } else {
      nextTick = null;
    }
    if (heldUntil != null) {
      nextTick = nextTick.earlierOf(heldUntil);
    }
  }

  /** Releases all grants, and reports the lease as lost if it was held. */
  private void relinquish(String reason, int successor) {
    if (token == 0) {
      return;
    }
    long releasedToken = token;
    final boolean held = heldUntil != null;
    token = 0;
    heldUntil = null;
    for (int grantor = 0; grantor < terms.grantorCount(); grantor++) {
      transport.release(grantor, name, releasedToken, successor);
    }
    if (held) {
      transport.lost(name, releasedToken, reason);
    }
  }

  /** Returns whether the lease is certainly held at a time of this process's clock. */
  boolean isHeldAt(Timestamp at) {
    return heldUntil != null && heldUntil.after(at);
  }

  /** Returns how long the lease is certainly held from that time on; zero if it is not held. */
  TimeSpan remaining(Timestamp at) {
    return isHeldAt(at) ? heldUntil.since(at) : TimeSpan.ZERO;
  }

  /** Returns the fencing token for acts under the lease; 0 if it is not held. */
  long token() {
    return heldUntil == null ? 0 : token;
  }

  /** Records a token that a client acted or requested under. The next own token is higher. */
  void observeToken(long seen) {
    highestSeen = Math.max(highestSeen, seen);
  }
}
