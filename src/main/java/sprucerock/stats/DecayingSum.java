package sprucerock.stats;

import sprucerock.time.Moment;
import sprucerock.time.Span;

/** A sum whose terms lose weight exponentially with age; brought up to date when read. */
public final class DecayingSum {
  private final double lifeMs;
  private double sum;
  private Moment asOf;

  public DecayingSum(Span life) {
    lifeMs = life.ms();
  }

  public void add(Moment now, double amount) {
    sum = at(now) + amount;
    asOf = now;
  }

  public double at(Moment now) {
    return asOf == null ? 0 : sum * Math.exp(-now.since(asOf).ms() / lifeMs);
  }

  /** The rate a second that a steady flow would need to hold the sum where it is. */
  public double perSecond(Moment now) {
    return at(now) * 1000 / lifeMs;
  }

  /** The same for a sum that began then, whose first time is not full. */
  public double perSecond(Moment began, Moment now) {
    return perSecond(now)
        / (1 - Math.exp(-Math.max(now.since(began).ms(), 0.05 * lifeMs) / lifeMs));
  }
}
