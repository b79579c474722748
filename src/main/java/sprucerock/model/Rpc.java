package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One RPC that a client handed to this relay, with the attempts made for it. Its facts are written
 * by the request tracker.
 */
public final class Rpc {
  /** Unique among the RPCs that the relay tracks. */
  public final long id;

  /** What is called. */
  public final Method method;

  /** The number of the tenant that it belongs to. */
  public final int tenant;

  /** Hash of its affinity or idempotency key. */
  public final long key;

  /** When it arrived here. */
  public final Timestamp arrivedAt;

  /** When the client stops waiting. */
  public final Timestamp deadline;

  /** Expected work as the client hinted it; null without a hint. */
  public final TimeSpan workHint;

  private final List<Attempt> made = new ArrayList<>(2);

  /** The attempts made for it, in their order; read-only. */
  public final List<Attempt> attempts = Collections.unmodifiableList(made);

  /** What the listener that took it keeps with it; no other code reads it. */
  public final Object attachment;

  private boolean ended;
  private boolean streaming;
  private int inFlight;

  /** Written by the routing policy: no longer part of the queue that a new RPC faces. */
  public boolean leftQueue;

  /** An RPC that has just arrived. */
  public Rpc(
      long id,
      Method method,
      int tenant,
      long key,
      Timestamp arrived,
      Timestamp deadline,
      TimeSpan workHint,
      Object attachment) {
    this.id = id;
    this.method = method;
    this.tenant = tenant;
    this.key = key;
    this.arrivedAt = arrived;
    this.deadline = deadline;
    this.workHint = workHint;
    this.attachment = attachment;
  }

  /** Whether it has its final answer, or its client left. */
  public boolean ended() {
    return ended;
  }

  /** Whether its answer has begun to reach the client. */
  public boolean streaming() {
    return streaming;
  }

  /** How many of its attempts haven't ended. */
  public int inFlight() {
    return inFlight;
  }

  /** An attempt was started for it. */
  @WrittenByRequestTracker
  public void add(Attempt attempt) {
    made.add(attempt);
    inFlight++;
  }

  /** One of its attempts ended. */
  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  /** It is over for the client. */
  @WrittenByRequestTracker
  public void markEnded() {
    ended = true;
  }

  /** Its answer has begun to reach the client. */
  @WrittenByRequestTracker
  public void markStreaming() {
    streaming = true;
  }

  /** The hinted work; none without a hint. */
  public TimeSpan hintedWork() {
    return workHint == null ? TimeSpan.ZERO : workHint;
  }

  /** The first attempt that may have taken effect; null where none may. */
  public Attempt firstThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether an attempt was made at the endpoint. */
  public boolean hasAttemptAt(Endpoint endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint == endpoint) {
        return true;
      }
    }
    return false;
  }
}
