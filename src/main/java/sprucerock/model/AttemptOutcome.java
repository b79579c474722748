package sprucerock.model;

/**
 * How an attempt ended. The constants have the order of the columns in which the accounts count
 * attempts.
 */
public enum AttemptOutcome {
  /** The endpoint answered without an error. */
  OK(false),

  /** The endpoint answered with an error. */
  ERROR(false),

  /** The endpoint rejected the attempt for lack of capacity and ran nothing. */
  FULL(true),

  /** No answer came within the attempt's timeout. */
  TIMED_OUT(false),

  /** There was no connection to the endpoint. */
  NOT_CONNECTED(true),

  /** The connection broke before the answer was complete. */
  BROKEN(false),

  /** The relay cancelled the attempt. */
  CANCELLED(false),

  /** The relay gave up the attempt before it was written to a connection. */
  MOOT(true);

  /** Whether the endpoint certainly ran no part of the attempt. */
  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
