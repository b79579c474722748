package sprucerock.model;

import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;

/** A kind of RPC, as the start settings state it. */
public final class Method {
  public enum Effect {
    IDEMPOTENT,
    TOKENED,
    NON_IDEMPOTENT
  }

  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  public final int index;
  public final Effect effect;
  public final Group group;
  public final TimeSpan latencyObjective;
  public final TimeSpan window;
  public final double utility;
  public final boolean stream;

  /**
   * What the module notes: how long picks took of late, and the logarithms of all times before an
   * offer.
   */
  public DecayingMean took;

  public DecayingMean logNow;

  /** Picks that may go to a build on trial. */
  public double trialTokens;

  public Method(
      int index,
      Effect effect,
      Group group,
      TimeSpan latencyObjective,
      TimeSpan window,
      double utility,
      boolean stream) {
    this.index = index;
    this.effect = effect;
    this.group = group;
    this.latencyObjective = latencyObjective;
    this.window = window;
    this.utility = utility;
    this.stream = stream;
  }

  /** Never to be cut short in the hope of another pick: what must not run twice, and streams. */
  public boolean streamOrOnce() {
    return effect == Effect.NON_IDEMPOTENT || stream;
  }

  /** Whether {@code unit} drops a repeat of what {@code before} may have run. */
  public boolean dropsRepeats(Endpoint before, Endpoint endpoint) {
    return effect != Effect.TOKENED
        || switch (group) {
          case ALL -> true;
          case ZONE -> before.zone == endpoint.zone;
          case CELL -> before.cell == endpoint.cell;
        };
  }

  /** A repeat does no harm at any unit. */
  public boolean harmlessAnywhere() {
    return idempotent() || effect == Effect.TOKENED && group == Group.ALL;
  }

  public boolean idempotent() {
    return effect == Effect.IDEMPOTENT;
  }
}
