package sprucerock.model;

/**
 * How an attempt ended. The order of the constants is that of the columns in which attempts are
 * counted.
 */
public enum AttemptOutcome {
  /** The endpoint answered ok. */
  OK(false),

  /** The endpoint answered with an error. */
  ERROR(false),

  /** The endpoint had no capacity and ran nothing. */
  FULL(true),

  /** No answer within the attempt's timeout. */
  TIMED_OUT(false),

  /** There was no connection to the endpoint. */
  NOT_CONNECTED(true),

  /** The connection broke before the answer was complete. */
  BROKEN(false),

  /** The relay cancelled it. */
  CANCELLED(false),

  /** Its RPC was over before it could be sent. */
  MOOT(true);

  /** Whether it is certain that the endpoint ran nothing of it. */
  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
