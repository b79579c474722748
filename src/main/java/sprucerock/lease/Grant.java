package sprucerock.lease;

import sprucerock.time.Timestamp;

/**
 * The latest grant of one lease at a grantor. Immutable.
 *
 * @param token the highest token that was granted for this lease
 * @param holder the holder's client number
 * @param incarnation the incarnation of the holder's process; it differs with each start, so it
 *     distinguishes two processes that have one client number
 * @param expiresAt the end of the grant, or of the time for which it is kept for the successor, by
 *     the grantor's clock
 * @param outstanding whether the holder has not released the lease
 * @param successor the client that the lease is kept for until {@code expiresAt}; -1: none
 */
record Grant(
    long token,
    int holder,
    long incarnation,
    Timestamp expiresAt,
    boolean outstanding,
    int successor) {
  static final Grant NONE =
      new Grant(0, -1, 0, Timestamp.ofMs(Double.NEGATIVE_INFINITY), false, -1);
}
