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
  public final TimeSpan patience;

  /**
   * Noted by the module: from then on it may not be put on a connection any more; null: it always
   * may.
   */
  public Timestamp startBy;

  private AttemptOutcome outcome;
  private TimeSpan took;
  private boolean written;

  /** What the relay's pool keeps with it; nobody else looks at it. */
  public Object door;

  /** Noted by the module, like those below: nothing came within the usual time. */
  public boolean overdue;

  public boolean copy;
  public ShadowPair pair;

  public Attempt(Rpc rpc, Endpoint endpoint, Timestamp sent, TimeSpan patience) {
    this.rpc = rpc;
    this.endpoint = endpoint;
    this.number = rpc.attempts.size();
    this.sent = sent;
    this.patience = patience;
  }

  /** How it ended; null while it is out. */
  public AttemptOutcome outcome() {
    return outcome;
  }

  /** How long it took; null while it is out. */
  public TimeSpan took() {
    return took;
  }

  @ByLedger
  public void end(AttemptOutcome how, TimeSpan after) {
    outcome = how;
    took = after;
  }

  /** Whether it is, or was, on a connection. */
  public boolean written() {
    return written;
  }

  @ByLedger
  public void write() {
    written = true;
  }

  /** How long it took, or has taken so far. */
  public TimeSpan took(Timestamp now) {
    return took != null ? took : now.since(sent);
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
  public boolean erred() {
    return outcome == AttemptOutcome.ERROR;
  }
}
