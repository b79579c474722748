package sprucerock.lease;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process's side of one lease. It requests the lease from all grantors, holds it once a quorum
 * has granted it in one round, renews it in time, and releases it. The term counts from before the
 * request was sent, by this process's own clock, and is shortened by the allowed clock drift. So
 * the lease ends at the client before any grantor can grant it to another client. Callers ask
 * through {@link LeaseCheck}, immediately before they act, whether the lease is held.
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

  /**
   * The number of low bits of a token, which are the number of the client that chose it. The high
   * bits increase with each new token.
   */
  private static final int CLIENT_BITS = 16;

  // Shares of the usable term. A lease is renewed after a third, with up to a sixth of jitter, so
  // that the renewals of a fleet spread out and a third round is possible after two lost ones. The
  // timeout of a round is a sixth, far more than a round trip with any sensible term.
  private static final double RENEW_SHARE = 1.0 / 3;
  private static final double JITTER_SHARE = 1.0 / 6;
  private static final double ROUND_TIMEOUT_SHARE = 1.0 / 6;

  /** Further failed rounds do not lengthen the backoff, which is then eight times the first one. */
  private static final int MAX_COUNTED_FAILURES = 4;

  private final String name;
  private final LeaseTerms terms;
  private final Transport transport;
  private final DoubleSupplier random;
  private final int client;
  private final long incarnation;

  private final LeaseRound round = new LeaseRound();
  private boolean campaigning;

  /** The token of the current request or lease; 0: none. */
  private long token;

  /** The end of the usable term; null: the lease is not held. */
  private Timestamp heldUntil;

  /** The time of the next action; null: no action is due by time. */
  private Timestamp nextTick;

  private long highestSeenToken;

  /** Rounds that failed since a quorum last granted the lease, up to MAX_COUNTED_FAILURES. */
  private int failedRounds;

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
    highestSeenToken = other.highestSeenToken;
    failedRounds = other.failedRounds;
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
        + highestSeenToken
        + ", failures "
        + failedRounds;
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
   * @param wallMs the wall clock in milliseconds, a lower bound of new tokens
   */
  void acquire(Timestamp now, long wallMs) {
    if (campaigning) {
      return;
    }
    campaigning = true;
    requestWithNewToken(now, wallMs);
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
   * high bits are also not below the wall clock. A wrong wall clock only skips tokens: safety does
   * not depend on it while at least one grantor of each quorum remembers the highest token.
   *
   * @param wallMs the wall clock in milliseconds
   */
  private long nextToken(long wallMs) {
    return Math.max((highestSeenToken >>> CLIENT_BITS) + 1, wallMs) << CLIENT_BITS | client;
  }

  private void requestWithNewToken(Timestamp now, long wallMs) {
    token = nextToken(wallMs);
    highestSeenToken = token;
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
      // This client has given up that token, and its release may have been lost.
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
    failedRounds = 0;
    double renewAfter = RENEW_SHARE + JITTER_SHARE * random.getAsDouble();
    nextTick = round.requestedAt().plus(terms.usableTerm().times(renewAfter)).laterOf(now);
    if (newlyAcquired) {
      transport.acquired(name, token);
    }
  }

  /**
   * Counts a rejection. If the lease is not held and too few grantors are left for a quorum, the
   * round fails. A lease that is held is never ended by rejections, only by the end of its term.
   *
   * @param highestToken the token that the next request has to exceed
   * @param minWait how long the grantor wants the client to wait before it requests again
   * @param held whether another client holds the lease
   */
  void handleRejection(
      int grantor,
      long answeredToken,
      long answeredRound,
      long highestToken,
      TimeSpan minWait,
      boolean held,
      Timestamp now) {
    observeToken(highestToken);
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
   * Returns whether an answer belongs to the current round. This client counts the term from the
   * start of the current round. A grant of an earlier round began before that, and may expire while
   * the client's term still runs.
   */
  boolean isCurrentRound(long answeredRound) {
    return answeredRound == round.number();
  }

  int requiredGrants() {
    return terms.quorum();
  }

  /**
   * Returns the time from which the term counts. This client does not know when a grantor began its
   * grant, only that the grantor did so after the request was sent.
   */
  Timestamp termStart(Timestamp now) {
    return round.requestedAt();
  }

  TimeSpan usableTerm() {
    return terms.usableTerm();
  }

  /** Requests the lease, which a grantor has reported as available. */
  void handleAvailable(Timestamp now, long wallMs) {
    if (campaigning && heldUntil == null && token == 0) {
      requestWithNewToken(now, wallMs);
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
    failedRounds = Math.min(failedRounds + 1, MAX_COUNTED_FAILURES);
    nextTick = now.plus(backoff());
  }

  /**
   * Returns the time span until the next request. If another client holds the lease, that is the
   * shortest wait that a grantor stated: the other client's term may have ended then. Otherwise
   * clients requested at the same time or grantors are unreachable, and the backoff doubles with
   * each failed round. Both have jitter, so that clients that requested together do not request
   * together again.
   */
  private TimeSpan backoff() {
    TimeSpan wait = round.waitIfHeldByOther();
    if (wait != null) {
      return wait.plus(terms.usableTerm().times(ROUND_TIMEOUT_SHARE * random.getAsDouble()));
    }
    return terms
        .usableTerm()
        .times(ROUND_TIMEOUT_SHARE * (1 << (failedRounds - 1)) * (0.5 + random.getAsDouble()));
  }

  /** Returns when to call {@link #tick} next; null: only after another event. */
  Timestamp nextTick() {
    return nextTick;
  }

  /** Renews the lease, requests it again or gives up an expired lease, whichever is due. */
  void tick(Timestamp now, long wallMs) {
    if (heldUntil != null && !isHeldAt(now)) {
      relinquish("the term ended before a quorum renewed it", -1);
      if (campaigning) {
        requestWithNewToken(now, wallMs);
      }
      return;
    }
    if (nextTick == null || nextTick.after(now)) {
      return;
    }
    if (heldUntil != null) {
      // This round renews the lease. Until a quorum grants it, the old term continues.
      beginRound(now);
    } else if (token != 0) {
      failRound(now);
    } else if (campaigning) {
      requestWithNewToken(now, wallMs);
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

  /** Returns whether the lease is certainly held at a time by this process's clock. */
  boolean isHeldAt(Timestamp at) {
    return heldUntil != null && heldUntil.after(at);
  }

  /** Returns how long the lease is certainly held after a time; zero: it is not held then. */
  TimeSpan remaining(Timestamp at) {
    return isHeldAt(at) ? heldUntil.since(at) : TimeSpan.ZERO;
  }

  /** Returns the fencing token for acts under the lease; 0 if it is not held. */
  long token() {
    return heldUntil == null ? 0 : token;
  }

  /** Records a token of any client, so that the next token of this client is higher. */
  void observeToken(long seen) {
    highestSeenToken = Math.max(highestSeenToken, seen);
  }
}
