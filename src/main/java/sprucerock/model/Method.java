package sprucerock.model;

import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;

/**
 * A method of the service, as configured in the start settings. The routing policy writes the
 * fields that are not final.
 */
public final class Method {
  /** Whether an RPC may safely run more than once. */
  public enum Idempotency {
    /** Safe to repeat anywhere. */
    IDEMPOTENT,

    /** Safe to repeat at endpoints that know the idempotency key; see {@link KeyScope}. */
    KEYED,

    /** Never safe to repeat. */
    NONE
  }

  /** Which endpoints share their store of idempotency keys. */
  public enum KeyScope {
    /** All endpoints. */
    ALL,

    /** The endpoints of one zone. */
    ZONE,

    /** The endpoints of one cell. */
    CELL
  }

  /** The position in {@link Settings#methods}. */
  public final int index;

  /** Whether an RPC of this method may safely run more than once. */
  public final Idempotency idempotency;

  /** Which endpoints share idempotency keys; only used for {@link Idempotency#KEYED}. */
  public final KeyScope keyScope;

  /** The latency up to which an answer is on time. */
  public final TimeSpan latencyObjective;

  /** How long endpoints remember an idempotency key. */
  public final TimeSpan keyLifetime;

  /** The priority of an answer relative to the answers of other methods. */
  public final double priorityWeight;

  /** Whether the answer is a stream. */
  public final boolean stream;

  /** The mean latency of recent attempts, in milliseconds. */
  public DecayingMean recentLatencyMs;

  /**
   * The mean of ln(latency / hinted work) of recent attempts at builds that are not on trial, both
   * taken as at least 1 ms; an RPC without a hint counts as 1 ms of work.
   */
  public DecayingMean recentLogLatency;

  /**
   * Tokens left for attempts of this method at a canary; one token is one attempt. Only used with
   * {@link Settings#capsPerMethod}.
   */
  public double canaryTokens;

  /**
   * Creates a method as configured.
   *
   * @param keyLifetime how long endpoints remember an idempotency key
   */
  public Method(
      int index,
      Idempotency idempotency,
      KeyScope keyScope,
      TimeSpan latencyObjective,
      TimeSpan keyLifetime,
      double priorityWeight,
      boolean stream) {
    this.index = index;
    this.idempotency = idempotency;
    this.keyScope = keyScope;
    this.latencyObjective = latencyObjective;
    this.keyLifetime = keyLifetime;
    this.priorityWeight = priorityWeight;
    this.stream = stream;
  }

  /**
   * Returns whether an attempt must not time out before the client's deadline to make way for a
   * retry. This holds for methods that must not run twice and for streams.
   */
  public boolean mustNotBeCutShort() {
    return idempotency == Idempotency.NONE || stream;
  }

  /**
   * Returns whether idempotency keys allow a repeat at {@code endpoint} after {@code previous} may
   * have run the RPC. For a {@link Idempotency#KEYED} method, both endpoints must share their store
   * of keys; otherwise {@code endpoint} would run the RPC again. Other methods use no keys, so the
   * result is true; see {@link #idempotency} for whether they may be repeated at all.
   */
  public boolean keyScopeAllowsRepeat(Endpoint previous, Endpoint endpoint) {
    return idempotency != Idempotency.KEYED
        || switch (keyScope) {
          case ALL -> true;
          case ZONE -> previous.zone == endpoint.zone;
          case CELL -> previous.cell == endpoint.cell;
        };
  }

  /** Returns whether a repeat is safe at every endpoint. */
  public boolean repeatableAnywhere() {
    return idempotent() || idempotency == Idempotency.KEYED && keyScope == KeyScope.ALL;
  }

  /** Returns whether the method is idempotent without a key. */
  public boolean idempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }
}
