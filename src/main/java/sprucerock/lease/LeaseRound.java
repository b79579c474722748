package sprucerock.lease;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One round of requests to all grantors, with the votes received for it. There is one bit for each
 * grantor, so a vote that arrives twice counts once.
 */
final class LeaseRound {
  /** Increases by one with each round of a client; 0: no round has begun. */
  private long number;

  private Timestamp requestedAt;
  private long grantBits;
  private long rejectionBits;

  /** The shortest wait that a grantor stated; null: no grantor rejected this round's request. */
  private TimeSpan shortestWait;

  private boolean heldByOther;

  /** Begins the next round, without votes. */
  void begin(Timestamp now) {
    number++;
    requestedAt = now;
    grantBits = 0;
    rejectionBits = 0;
    shortestWait = null;
    heldByOther = false;
  }

  void copyFrom(LeaseRound other) {
    number = other.number;
    requestedAt = other.requestedAt;
    grantBits = other.grantBits;
    rejectionBits = other.rejectionBits;
    shortestWait = other.shortestWait;
    heldByOther = other.heldByOther;
  }

  void addGrant(int grantor) {
    grantBits |= 1L << grantor;
  }

  /**
   * Counts a rejection.
   *
   * @param minWait how long the grantor wants the client to wait before it requests again
   * @param held whether the grantor has granted the lease to another client
   */
  void addRejection(int grantor, TimeSpan minWait, boolean held) {
    rejectionBits |= 1L << grantor;
    shortestWait = shortestWait == null ? minWait : shortestWait.atMost(minWait);
    heldByOther |= held;
  }

  long number() {
    return number;
  }

  Timestamp requestedAt() {
    return requestedAt;
  }

  int grantCount() {
    return Long.bitCount(grantBits);
  }

  int rejectionCount() {
    return Long.bitCount(rejectionBits);
  }

  boolean rejectedBy(int grantor) {
    return ((rejectionBits >> grantor) & 1) != 0;
  }

  /** Returns a grantor's votes in this round; bit 0: it granted, bit 1: it rejected. */
  int voteOf(int grantor) {
    return (int) (((grantBits >> grantor) & 1) | (((rejectionBits >> grantor) & 1) << 1));
  }

  /**
   * Returns the shortest wait that a grantor stated, if any grantor answered that another client
   * holds the lease; null otherwise.
   */
  TimeSpan waitIfHeldByOther() {
    return heldByOther ? shortestWait : null;
  }

  /** Returns the state without the votes as text. Rounds with equal texts differ only in votes. */
  String stateWithoutVotes() {
    return number + " of " + requestedAt + ", " + shortestWait + (heldByOther ? " held" : "");
  }
}
