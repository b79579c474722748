package sprucerock.model;

import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;

/** A kind of RPC, as the start settings state it. */
public final class Method {
  public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NONE
  }

  public enum KeyScope {
    ALL,
    ZONE,
    CELL
  }

  public final int index;
  public final Idempotency idempotency;
  public final KeyScope keyScope;
  public final TimeSpan latencyObjective;
  public final TimeSpan keyLifetime;
  public final double priorityWeight;
  public final boolean stream;

  /**
   * What the module notes: how long picks took of late, and the logarithms of all times before an
   * offer.
   */
  public DecayingMean recentLatency;

  public DecayingMean recentLogLatency;

  /** Picks that may go to a build on trial. */
  public double canaryTokens;

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

  /** Never to be cut short in the hope of another pick: what must not run twice, and streams. */
  public boolean mustNotBeCutShort() {
    return idempotency == Idempotency.NONE || stream;
  }

  /** Whether {@code unit} drops a repeat of what {@code before} may have run. */
  public boolean dropsRepeats(Endpoint before, Endpoint endpoint) {
    return idempotency != Idempotency.KEYED
        || switch (keyScope) {
          case ALL -> true;
          case ZONE -> before.zone == endpoint.zone;
          case CELL -> before.cell == endpoint.cell;
        };
  }

  /** A repeat does no harm at any unit. */
  public boolean repeatableAnywhere() {
    return idempotent() || idempotency == Idempotency.KEYED && keyScope == KeyScope.ALL;
  }

  public boolean idempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }
}
