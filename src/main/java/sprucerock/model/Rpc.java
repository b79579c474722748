package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One RPC that a client sent to this relay, with its attempts. The request tracker writes the
 * private fields, the routing policy writes {@link #leftQueue}.
 */
public final class Rpc {
  /** Unique among the RPCs that the relay tracks. */
  public final long id;

  /** The method that is called. */
  public final Method method;

  /** The number of the tenant that the RPC belongs to. */
  public final int tenant;

  /** The hash of the affinity key or idempotency key; 0 without a key. */
  public final long key;

  /** When the RPC arrived at this relay. */
  public final Timestamp arrivedAt;

  /** When the client stops waiting for the answer. */
  public final Timestamp deadline;

  /** The work that the client expects, from its hint; null without a hint. */
  public final TimeSpan workHint;

  private final List<Attempt> mutableAttempts = new ArrayList<>(2);

  /** The attempts of this RPC by their numbers; read-only. */
  public final List<Attempt> attempts = Collections.unmodifiableList(mutableAttempts);

  /** Data of the listener that received this RPC; no other code reads it. */
  public final Object attachment;

  private boolean ended;
  private boolean streaming;
  private int inFlight;

  /**
   * Whether this RPC no longer counts as waiting ahead of new RPCs: it was answered or is past its
   * latency objective. Written by the routing policy.
   */
  public boolean leftQueue;

  /** Creates an RPC that has just arrived. */
  public Rpc(
      long id,
      Method method,
      int tenant,
      long key,
      Timestamp arrivedAt,
      Timestamp deadline,
      TimeSpan workHint,
      Object attachment) {
    this.id = id;
    this.method = method;
    this.tenant = tenant;
    this.key = key;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.workHint = workHint;
    this.attachment = attachment;
  }

  /** Returns whether the RPC has its final answer or its client disconnected. */
  public boolean ended() {
    return ended;
  }

  /** Returns whether a streamed answer has begun to reach the client. */
  public boolean streaming() {
    return streaming;
  }

  /** Returns how many attempts of this RPC are in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Adds an attempt that is now in flight. */
  @WrittenByRequestTracker
  public void add(Attempt attempt) {
    mutableAttempts.add(attempt);
    inFlight++;
  }

  /** Counts one attempt in flight less. */
  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  /** Records that the RPC is over for the client. */
  @WrittenByRequestTracker
  public void markEnded() {
    ended = true;
  }

  /** Records that a streamed answer has begun to reach the client. */
  @WrittenByRequestTracker
  public void markStreaming() {
    streaming = true;
  }

  /** Returns the work that the client expects; zero without a hint. */
  public TimeSpan hintedWork() {
    return workHint == null ? TimeSpan.ZERO : workHint;
  }

  /** Returns the first attempt that may have taken effect; null if none may have. */
  public Attempt firstThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns whether an attempt of this RPC was sent to the endpoint. */
  public boolean hasAttemptAt(Endpoint endpoint) {
    for (Attempt attempt : attempts) {
      if (attempt.endpoint == endpoint) {
        return true;
      }
    }
    return false;
  }
}
