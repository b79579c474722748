package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A sum whose terms lose weight exponentially with age; brought up to date when read. */
public final class DecayingSum {
  private final double lifeMs;
  private double sum;
  private Timestamp asOf;

  public DecayingSum(TimeSpan life) {
    lifeMs = life.ms();
  }

  public void add(Timestamp now, double amount) {
    sum = at(now) + amount;
    asOf = now;
  }

  public double at(Timestamp now) {
    return asOf == null ? 0 : sum * Math.exp(-now.since(asOf).ms() / lifeMs);
  }

  /** The rate a second that a steady flow would need to hold the sum where it is. */
  public double perSecond(Timestamp now) {
    return at(now) * 1000 / lifeMs;
  }

  /** The same for a sum that began then, whose first time is not full. */
  public double perSecond(Timestamp began, Timestamp now) {
    return perSecond(now)
        / (1 - Math.exp(-Math.max(now.since(began).ms(), 0.05 * lifeMs) / lifeMs));
  }
}
