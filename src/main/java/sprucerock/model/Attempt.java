package sprucerock.model;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One sending of an RPC to a unit. */
public final class Attempt {
  public final Rpc rpc;
  public final Endpoint endpoint;
  public final int number;
  public final Timestamp sent;

  /** When to give up on it; null: not before the client does. */
  public final TimeSpan timeout;

  /**
   * Noted by the module: from then on it may not be put on a connection any more; null: it always
   * may.
   */
  public Timestamp writeBy;

  private AttemptOutcome outcome;
  private TimeSpan latency;
  private boolean written;

  /** What the relay's pool keeps with it; nobody else looks at it. */
  public Object attachment;

  /** Noted by the module, like those below: nothing came within the usual time. */
  public boolean overdue;

  public boolean shadow;
  public ShadowPair shadowPair;

  public Attempt(Rpc rpc, Endpoint endpoint, Timestamp sent, TimeSpan patience) {
    this.rpc = rpc;
    this.endpoint = endpoint;
    this.number = rpc.attempts.size();
    this.sent = sent;
    this.timeout = patience;
  }

  /** How it ended; null while it is out. */
  public AttemptOutcome outcome() {
    return outcome;
  }

  /** How long it took; null while it is out. */
  public TimeSpan latency() {
    return latency;
  }

  @WrittenByRequestTracker
  public void recordOutcome(AttemptOutcome how, TimeSpan after) {
    outcome = how;
    latency = after;
  }

  /** Whether it is, or was, on a connection. */
  public boolean written() {
    return written;
  }

  @WrittenByRequestTracker
  public void markWritten() {
    written = true;
  }

  /** How long it took, or has taken so far. */
  public TimeSpan latency(Timestamp now) {
    return latency != null ? latency : now.since(sent);
  }

  public boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan;
  }

  /** Full, out of reach, called off or cut off: says nothing of a build. */
  public boolean voidsPair() {
    return outcome != null && outcome.neverRan
        || outcome == AttemptOutcome.CANCELLED
        || outcome == AttemptOutcome.BROKEN;
  }

  /**
   * The unit answered with an error: no time-out, no broken connection, no full or missing unit.
   */
  public boolean answeredWithError() {
    return outcome == AttemptOutcome.ERROR;
  }
}
