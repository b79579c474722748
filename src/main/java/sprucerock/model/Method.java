package sprucerock.model;

import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;

/**
 * A kind of RPC, as the start settings state it. Fields that aren't final are written by the
 * routing policy.
 */
public final class Method {
  /** Whether it may safely run more than once. */
  public enum Idempotency {
    /** Safe to repeat anywhere. */
    IDEMPOTENT,

    /** Safe to repeat where the idempotency key is known, see {@link KeyScope}. */
    KEYED,

    /** Never safe to repeat. */
    NONE
  }

  /** Which endpoints share what they know of idempotency keys. */
  public enum KeyScope {
    /** All of them. */
    ALL,

    /** Those of one zone. */
    ZONE,

    /** Those of one cell. */
    CELL
  }

  /** Its place in {@link Settings#methods}. */
  public final int index;

  /** Whether it may safely run more than once. */
  public final Idempotency idempotency;

  /** Which endpoints drop a repeat, where it is keyed. */
  public final KeyScope keyScope;

  /** The latency within which an answer is on time. */
  public final TimeSpan latencyObjective;

  /** How long endpoints know a key. */
  public final TimeSpan keyLifetime;

  /** What an answer is worth beside those of other methods. */
  public final double priorityWeight;

  /** Whether its answer is a stream. */
  public final boolean stream;

  /** How long attempts took of late, in milliseconds. */
  public DecayingMean recentLatencyMs;

  /** The logarithms of the latencies of late. */
  public DecayingMean recentLogLatency;

  /** Attempts that may still go to a canary. */
  public double canaryTokens;

  /** A method as the settings have it. */
  public Method(
      int index,
      Idempotency effect,
      KeyScope group,
      TimeSpan latencyObjective,
      TimeSpan window,
      double utility,
      boolean stream) {
    this.index = index;
    this.idempotency = effect;
    this.keyScope = group;
    this.latencyObjective = latencyObjective;
    this.keyLifetime = window;
    this.priorityWeight = utility;
    this.stream = stream;
  }

  /** Whether it is never cut short for another attempt: what mustn't run twice, and streams. */
  public boolean mustNotBeCutShort() {
    return idempotency == Idempotency.NONE || stream;
  }

  /** Whether {@code endpoint} drops a repeat of what {@code before} may have run. */
  public boolean dropsRepeats(Endpoint before, Endpoint endpoint) {
    return idempotency != Idempotency.KEYED
        || switch (keyScope) {
          case ALL -> true;
          case ZONE -> before.zone == endpoint.zone;
          case CELL -> before.cell == endpoint.cell;
        };
  }

  /** Whether a repeat does no harm at any endpoint. */
  public boolean repeatableAnywhere() {
    return idempotent() || idempotency == Idempotency.KEYED && keyScope == KeyScope.ALL;
  }

  /** Whether it is idempotent without a key. */
  public boolean idempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }
}
