package sprucerock.model;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One sending of an RPC to one endpoint: the first attempt, a retry, a hedged request or a shadow
 * request. The request tracker writes the private fields; the routing policy writes the public
 * fields that are not final, except {@link #attachment}.
 */
public final class Attempt {
  /** The RPC that this attempt sends. */
  public final Rpc rpc;

  /** The endpoint that this attempt is sent to. */
  public final Endpoint endpoint;

  /** The position of this attempt among the RPC's attempts, from 0. */
  public final int number;

  /** When this attempt was handed over for sending. */
  public final Timestamp sentAt;

  /** How long to wait for the answer; null to wait until the client's deadline. */
  public final TimeSpan timeout;

  /**
   * The latest time at which this attempt may be written to a connection; null for no limit. A
   * repeat has such a limit if it is only safe while endpoints remember the idempotency key.
   */
  public Timestamp writeBy;

  /**
   * The exposure cap under which this attempt was counted; 0 if its endpoint's build was not on
   * trial when it was sent.
   */
  public double exposureCap;

  private AttemptOutcome outcome;
  private TimeSpan latency;
  private boolean written;

  /** Data of the relay's connection pool about this attempt; no other code reads it. */
  public Object attachment;

  /** Whether this attempt took longer than is usual for its RPC; stays set after it ended. */
  public boolean overdue;

  /**
   * Whether this attempt was sent to compare a canary with the baseline: as a shadow request next
   * to an attempt at the baseline, or as an RPC's first attempt in place of one at the baseline. As
   * with every attempt, its answer goes to the client if it is the RPC's first OK.
   */
  public boolean shadow;

  /** The shadow pair that this attempt belongs to; null if none. */
  public ShadowPair shadowPair;

  /** Creates an attempt that is about to be sent; it gets the RPC's next attempt number. */
  public Attempt(Rpc rpc, Endpoint endpoint, Timestamp sent, TimeSpan timeout) {
    this.rpc = rpc;
    this.endpoint = endpoint;
    this.number = rpc.attempts.size();
    this.sentAt = sent;
    this.timeout = timeout;
  }

  /** Returns how this attempt ended; null while it is in flight. */
  public AttemptOutcome outcome() {
    return outcome;
  }

  /** Returns the time from sending to the end of this attempt; null while it is in flight. */
  public TimeSpan latency() {
    return latency;
  }

  /** Returns how long this attempt took, or has taken until {@code now} if it is in flight. */
  public TimeSpan latency(Timestamp now) {
    return latency != null ? latency : now.since(sentAt);
  }

  /** Records how and after how long this attempt ended. */
  @WrittenByRequestTracker
  public void recordOutcome(AttemptOutcome finalOutcome, TimeSpan finalLatency) {
    outcome = finalOutcome;
    latency = finalLatency;
  }

  /** Returns whether this attempt has been written to a connection. */
  public boolean written() {
    return written;
  }

  /** Records that this attempt was written to a connection. */
  @WrittenByRequestTracker
  public void markWritten() {
    written = true;
  }

  /** Returns whether the endpoint may have run this attempt, in whole or in part. */
  public boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan;
  }

  /**
   * Returns whether the outcome says nothing about the endpoint's build, so that a shadow pair with
   * this attempt can't be compared: the attempt never ran, was cancelled or its connection broke.
   */
  public boolean voidsShadowPair() {
    return outcome != null && outcome.neverRan
        || outcome == AttemptOutcome.CANCELLED
        || outcome == AttemptOutcome.BROKEN;
  }

  /** Returns whether the endpoint itself answered with an error. */
  public boolean answeredWithError() {
    return outcome == AttemptOutcome.ERROR;
  }
}
