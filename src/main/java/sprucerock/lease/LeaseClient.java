package sprucerock.lease;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process's side of one lease: requests it from all grantors, holds it while a quorum granted
 * it in one round, renews it in time, and releases it. The term counts from before the request was
 * sent, by this process's own clock, shortened by the allowed clock drift; so the client stops
 * before any grantor can grant the lease to another. Whether it is held is asked at the last
 * instant, through {@link LeaseCheck}.
 *
 * <p>A pure state machine: it reads no clock, starts no timer and sends through its {@link
 * Transport} alone. Not thread-safe.
 */
class LeaseClient {
  /** Sends requests and is notified of changes; messages may get lost. */
  interface Transport {
    void request(int grantor, String name, long token, long round);

    /**
     * Gives a grant back.
     *
     * @param successor the client that should have it next; -1: anybody
     */
    void release(int grantor, String name, long token, int successor);

    void acquired(String name, long token);

    void lost(String name, long token, String why);
  }

  /** The low bits of a token say which client chose it; the rest counts up. */
  private static final int CLIENT_BITS = 16;

  // Shares of the usable term. Renewed after a third, with up to a sixth of jitter, so that a
  // fleet's renewals spread and two lost rounds still leave a third one. An answer is waited for a
  // sixth, far over a round trip wherever a term makes sense.
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
  private long token; // 0: none is requested
  private Timestamp heldUntil; // null: not held
  private Timestamp nextTick; // null: nothing is to be done by time
  private long highestSeen;
  private int failures;

  /**
   * A client that wants nothing yet.
   *
   * @param random numbers from 0 to under 1
   * @param client this process's number in the fleet, 0 to 65535
   * @param incarnation another one with each start of the process
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
      throw new IllegalArgumentException("a candidate's number is 0 to 65535, not " + client);
    }
    this.name = name;
    this.terms = terms;
    this.transport = transport;
    this.random = random;
    this.client = client;
    this.incarnation = incarnation;
  }

  /** Takes over all that the other one knows, so that a search can branch from one state. */
  void copyStateFrom(LeaseClient other) {
    round.copyFrom(other.round);
    campaigning = other.campaigning;
    token = other.token;
    heldUntil = other.heldUntil;
    nextTick = other.nextTick;
    highestSeen = other.highestSeen;
    failures = other.failures;
  }

  /** All that it knows but for each grantor's vote, which {@link #voteOf} says. */
  String stateWithoutVotes() {
    return name
        + " by "
        + client
        + (campaigning ? "" : ", not wanted")
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

  /** What a grantor said in this round: 1 that it is granted, 2 that it isn't, 0 nothing. */
  int voteOf(int grantor) {
    return round.voteOf(grantor);
  }

  String name() {
    return name;
  }

  long incarnation() {
    return incarnation;
  }

  /** It is to be had from now on. {@code floorMs}: see {@link #nextToken}. */
  void acquire(Timestamp now, long floorMs) {
    if (campaigning) {
      return;
    }
    campaigning = true;
    requestWithNewToken(now, floorMs);
  }

  /**
   * Gives it back, if it is held, and requests it no more.
   *
   * @param successor who is to have it next; -1: anybody
   */
  void release(int successor) {
    campaigning = false;
    nextTick = null;
    relinquish("left", successor);
  }

  boolean campaigning() {
    return campaigning;
  }

  /**
   * A token higher than all that were seen, ending in whose it is, so that no two clients can
   * request under one. Grantors forget tokens when they restart; so it is not below the wall clock
   * either, which {@code floorMs} tells in milliseconds. A wall clock that is wrong costs nothing
   * but tokens: nobody's safety depends on it while one grantor of a quorum remembers.
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
    for (int each = 0; each < terms.grantorCount(); each++) {
      transport.request(each, name, token, round.number());
    }
  }

  /** A grantor granted it. */
  void handleGrant(int grantor, long ofToken, long ofRound, Timestamp now) {
    if (ofToken != token) {
      // of a token that was given up; the release that told the grantor so may have been lost
      transport.release(grantor, name, ofToken, -1);
      return;
    }
    if (!isCurrentRound(ofRound)) {
      return;
    }
    round.addGrant(grantor);
    if (round.grantCount() < requiredGrants()) {
      return;
    }
    Timestamp end = termStart(now).plus(usableTerm());
    if (!end.after(now)) {
      return; // so late that the term is over; the round ends by its timeout
    }
    final boolean first = heldUntil == null;
    heldUntil = end;
    failures = 0;
    double renewAfter = RENEW_SHARE + JITTER_SHARE * random.getAsDouble();
    nextTick = round.requestedAt().plus(terms.usableTerm().times(renewAfter)).later(now);
    if (first) {
      transport.acquired(name, token);
    }
  }

  /**
   * A grantor rejected the request.
   *
   * @param highest the token that the next one has to exceed
   * @param wait asking again before that is of no use
   * @param held whether another client holds it
   */
  void handleRejection(
      int grantor,
      long ofToken,
      long ofRound,
      long highest,
      TimeSpan wait,
      boolean held,
      Timestamp now) {
    observeToken(highest);
    if (ofToken != token || ofRound != round.number()) {
      return;
    }
    round.addRejection(grantor, wait, held);
    if (heldUntil == null && round.rejectionCount() > terms.grantorCount() - terms.quorum()) {
      failRound(now);
    }
  }

  // Each rule that keeps two clients from holding it stands alone, so that tests can take it out
  // and show that their checker finds it missing.

  /** An answer to an earlier round says nothing of when this one began. */
  boolean isCurrentRound(long ofRound) {
    return ofRound == round.number();
  }

  int requiredGrants() {
    return terms.quorum();
  }

  /**
   * The moment from which the term counts: nobody knows when a grantor began to count, but not
   * before it was asked.
   */
  Timestamp termStart(Timestamp now) {
    return round.requestedAt();
  }

  TimeSpan usableTerm() {
    return terms.usableTerm();
  }

  /** A grantor has said that it may be had. */
  void handleAvailable(Timestamp now, long floorMs) {
    if (campaigning && heldUntil == null && token == 0) {
      requestWithNewToken(now, floorMs);
    }
  }

  /**
   * No quorum: what was granted is given back at once, so that two who were granted a part do not
   * block each other.
   */
  private void failRound(Timestamp now) {
    long given = token;
    token = 0;
    for (int each = 0; each < terms.grantorCount(); each++) {
      if (!round.rejectedBy(each)) {
        transport.release(each, name, given, -1);
      }
    }
    failures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
    nextTick = now.plus(backoff());
  }

  /**
   * Where another client holds it, until its term may have ended. Else two requested it at once, or
   * grantors are away: a backoff that doubles. Each has jitter, so that those who requested
   * together do not request together again.
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

  /** When {@link #tick} is to be called next; null: not before something else happens. */
  Timestamp nextTick() {
    return nextTick;
  }

  /** Does what is due by then: renews, requests again, or notices that the term ran out. */
  void tick(Timestamp now, long floorMs) {
    if (heldUntil != null && !isHeldAt(now)) {
      relinquish("it ran out, not renewed in time", -1);
      if (campaigning) {
        requestWithNewToken(now, floorMs);
      }
      return;
    }
    if (nextTick == null || nextTick.after(now)) {
      return;
    }
    if (heldUntil != null) {
      beginRound(now); // to renew it; until then it is held as before
    } else if (token != 0) {
      failRound(now);
    } else if (campaigning) {
      requestWithNewToken(now, floorMs);
    } else {
      nextTick = null;
    }
    if (heldUntil != null) {
      nextTick = nextTick.earlier(heldUntil);
    }
  }

  private void relinquish(String why, int successor) {
    if (token == 0) {
      return;
    }
    long given = token;
    final boolean held = heldUntil != null;
    token = 0;
    heldUntil = null;
    for (int each = 0; each < terms.grantorCount(); each++) {
      transport.release(each, name, given, successor);
    }
    if (held) {
      transport.lost(name, given, why);
    }
  }

  /** Whether it is held for certain at that moment of this process's clock. */
  boolean isHeldAt(Timestamp at) {
    return heldUntil != null && heldUntil.after(at);
  }

  /** How long it is held for certain from then on; zero where it isn't. */
  TimeSpan remaining(Timestamp at) {
    return isHeldAt(at) ? heldUntil.since(at) : TimeSpan.ZERO;
  }

  /** The fencing token that stamps acts under it; 0 where it is not held. */
  long token() {
    return heldUntil == null ? 0 : token;
  }

  /** Somebody acted or asked under this token; the next one of ours is higher. */
  void observeToken(long seen) {
    highestSeen = Math.max(highestSeen, seen);
  }
}
