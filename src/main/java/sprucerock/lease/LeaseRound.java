package sprucerock.lease;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One round of requests to all grantors, with the votes that came in for it. Votes are kept as one
 * bit a grantor, so a vote that arrives twice counts once.
 */
final class LeaseRound {
  /** Counts up by one with each round of a client; 0: none was begun. */
  private long number;

  private Timestamp requestedAt;
  private long grantBits;
  private long rejectionBits;
  private TimeSpan shortestWait; // null: no grantor rejected it in this round
  private boolean heldByOther;

  /** Begins the next round at that time, without votes. */
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
   * @param wait how long the grantor says that asking again is of no use
   * @param held whether another client holds the lease there
   */
  void addRejection(int grantor, TimeSpan wait, boolean held) {
    rejectionBits |= 1L << grantor;
    shortestWait = shortestWait == null ? wait : shortestWait.atMost(wait);
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

  /** Bit 0: the grantor granted it in this round; bit 1: it rejected it. */
  int voteOf(int grantor) {
    return (int) (((grantBits >> grantor) & 1) | (((rejectionBits >> grantor) & 1) << 1));
  }

  /** How long another client holds it at least; null: nobody is known to. */
  TimeSpan heldByOtherFor() {
    return heldByOther ? shortestWait : null;
  }

  /** Everything but the single votes, as text; two rounds of one text differ by votes alone. */
  String stateWithoutVotes() {
    return number + " of " + requestedAt + ", " + shortestWait + (heldByOther ? " held" : "");
  }
}
