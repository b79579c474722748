package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One RPC that a client handed to this relay, with the picks made for it. */
public final class Rpc {
  public final long id;
  public final Method method;
  public final int tenant;
  public final long key;
  public final Timestamp arrived;
  public final Timestamp deadline;

  /** Expected work as the client hinted it; null without a hint. */
  public final TimeSpan workHint;

  private final List<Attempt> made = new ArrayList<>(2);

  /** The picks made for it, in their order; for reading. */
  public final List<Attempt> attempts = Collections.unmodifiableList(made);

  /** What the door that took it keeps with it; nobody else looks at it. */
  public final Object attachment;

  private boolean ended;
  private boolean streaming;
  private int inFlight;

  /** Noted by the module: no longer part of the queue that a new RPC faces. */
  public boolean settled;

  public Rpc(
      long id,
      Method method,
      int tenant,
      long key,
      Timestamp arrived,
      Timestamp deadline,
      TimeSpan hint,
      Object door) {
    this.id = id;
    this.method = method;
    this.tenant = tenant;
    this.key = key;
    this.arrived = arrived;
    this.deadline = deadline;
    this.workHint = hint;
    this.attachment = door;
  }

  /** Has its final answer, or its client left. */
  public boolean ended() {
    return ended;
  }

  /** Its answer has begun and belongs to the client. */
  public boolean streaming() {
    return streaming;
  }

  /** How many of its picks have not ended. */
  public int inFlight() {
    return inFlight;
  }

  @WrittenByRequestTracker
  public void add(Attempt attempt) {
    made.add(attempt);
    inFlight++;
  }

  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  @WrittenByRequestTracker
  public void markEnded() {
    ended = true;
  }

  @WrittenByRequestTracker
  public void markStreaming() {
    streaming = true;
  }

  /** The hinted work; none without a hint. */
  public TimeSpan hintedWork() {
    return workHint == null ? TimeSpan.ZERO : workHint;
  }

  /** The first pick that may have taken effect; null where none may. */
  public Attempt firstThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }

  public boolean triedAt(Endpoint endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint == endpoint) {
        return true;
      }
    }
    return false;
  }
}
