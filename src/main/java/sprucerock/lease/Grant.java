package sprucerock.lease;

import sprucerock.time.Timestamp;

/**
 * The latest grant of one lease at a grantor. Immutable.
 *
 * @param token the highest token that was granted for this lease
 * @param holder the holder's client number
 * @param incarnation the incarnation of the holder's process; it differs with each start, so it
 *     distinguishes two processes that have one client number
 * @param expiresAt when the grant expires, or until when a released lease is kept for the
 *     successor, by the grantor's clock
 * @param outstanding true until the holder releases the grant, even if the grant has expired
 * @param successor the client that the lease is kept for until {@code expiresAt}; -1: none
 */
record Grant(
    long token,
    int holder,
    long incarnation,
    Timestamp expiresAt,
    boolean outstanding,
    int successor) {
  /** Stands for the latest grant of a lease that was never granted or is forgotten. */
  static final Grant NONE =
      new Grant(0, -1, 0, Timestamp.ofMs(Double.NEGATIVE_INFINITY), false, -1);
}
