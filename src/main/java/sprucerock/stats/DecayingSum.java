package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A sum whose terms lose weight exponentially with age; the decay is applied on reading. */
public final class DecayingSum {
  private final double decayTimeMs;
  private double sum;
  private Timestamp updatedAt;

  /**
   * Creates an empty sum.
   *
   * @param decayTime the time in which a term's weight falls to 1/e
   */
  public DecayingSum(TimeSpan decayTime) {
    decayTimeMs = decayTime.ms();
  }

  /** Adds a term; {@code now} must not be earlier than in previous calls. */
  public void add(Timestamp now, double amount) {
    sum = at(now) + amount;
    updatedAt = now;
  }

  /** The decayed sum at {@code now}. */
  public double at(Timestamp now) {
    return updatedAt == null ? 0 : sum * Math.exp(-now.since(updatedAt).ms() / decayTimeMs);
  }

  /** The steady rate per second that would keep the sum at its present value. */
  public double perSecond(Timestamp now) {
    return at(now) * 1000 / decayTimeMs;
  }

  /**
   * The steady rate per second that would have brought a sum that was empty at {@code began} to its
   * present value. For a sum younger than 5% of the decay time, that age is assumed.
   */
  public double perSecond(Timestamp began, Timestamp now) {
    return perSecond(now)
        / (1 - Math.exp(-Math.max(now.since(began).ms(), 0.05 * decayTimeMs) / decayTimeMs));
  }
}
