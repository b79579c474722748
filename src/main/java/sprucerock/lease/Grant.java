package sprucerock.lease;

import sprucerock.time.Timestamp;

/**
 * What a grantor knows of one name. Never changed, only replaced.
 *
 * @param token the highest that was granted under this name
 * @param holder by its number in the fleet
 * @param incarnation of the holder's process: another one with each start, so that two under one
 *     number are told apart
 * @param expiresAt by the grantor's clock
 * @param open it was not given back
 * @param successor to whom it was handed over, and is kept for until {@code expiresAt}; -1: to
 *     nobody
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
