package sprucerock.model;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One sending of an RPC to an endpoint: the first, a retry, a hedged or a shadow request. Facts are
 * written by the request tracker, public fields that aren't final by the routing policy.
 */
public final class Attempt {
  /** The RPC that it is made for. */
  public final Rpc rpc;

  /** Where it is sent. */
  public final Endpoint endpoint;

  /** Its place among the RPC's attempts, from 0. */
  public final int number;

  /** When it was handed over for sending. */
  public final Timestamp sentAt;

  /** How long to wait for its answer; null: as long as the client does. */
  public final TimeSpan timeout;

  /** From then on it may not be put on a connection any more; null: it always may. */
  public Timestamp writeBy;

  private AttemptOutcome outcome;
  private TimeSpan latency;
  private boolean written;

  /** What the relay's connection pool keeps with it; no other code reads it. */
  public Object attachment;

  /** No answer came within the usual time. */
  public boolean overdue;

  /** Whether it is a shadow request, whose answer no client gets. */
  public boolean shadow;

  /** The comparison that it is part of; null where there is none. */
  public ShadowPair shadowPair;

  /** An attempt that is about to be sent; it gets the RPC's next number. */
  public Attempt(Rpc rpc, Endpoint endpoint, Timestamp sent, TimeSpan timeout) {
    this.rpc = rpc;
    this.endpoint = endpoint;
    this.number = rpc.attempts.size();
    this.sentAt = sent;
    this.timeout = timeout;
  }

  /** How it ended; null while it is in flight. */
  public AttemptOutcome outcome() {
    return outcome;
  }

  /** The time from its sending to its end; null while it is in flight. */
  public TimeSpan latency() {
    return latency;
  }

  /** How long it took, or has taken until {@code now}. */
  public TimeSpan latency(Timestamp now) {
    return latency != null ? latency : now.since(sentAt);
  }

  /** Ends it. */
  @WrittenByRequestTracker
  public void recordOutcome(AttemptOutcome how, TimeSpan after) {
    outcome = how;
    latency = after;
  }

  /** Whether it is, or was, on a connection. */
  public boolean written() {
    return written;
  }

  /** Notes that it was put on a connection. */
  @WrittenByRequestTracker
  public void markWritten() {
    written = true;
  }

  /** Whether the endpoint may have run it, in whole or in part. */
  public boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan;
  }

  /** Whether it ended in a way that says nothing about a build: never run, cancelled or cut off. */
  public boolean voidsShadowPair() {
    return outcome != null && outcome.neverRan
        || outcome == AttemptOutcome.CANCELLED
        || outcome == AttemptOutcome.BROKEN;
  }

  /** Whether the endpoint itself answered with an error. */
  public boolean answeredWithError() {
    return outcome == AttemptOutcome.ERROR;
  }
}
