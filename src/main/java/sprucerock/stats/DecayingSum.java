package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A sum whose terms lose weight exponentially with age; brought up to date when read. */
public final class DecayingSum {
  private final double decayTimeMs;
  private double sum;
  private Timestamp updatedAt;

  /**
   * An empty sum.
   *
   * @param life the time in which a term's weight falls to 1/e
   */
  public DecayingSum(TimeSpan life) {
    decayTimeMs = life.ms();
  }

  /** Adds a term; {@code now} is no earlier than in the calls before. */
  public void add(Timestamp now, double amount) {
    sum = at(now) + amount;
    updatedAt = now;
  }

  /** The sum as it stands at {@code now}. */
  public double at(Timestamp now) {
    return updatedAt == null ? 0 : sum * Math.exp(-now.since(updatedAt).ms() / decayTimeMs);
  }

  /** The rate a second at which a steady flow would hold the sum where it is. */
  public double perSecond(Timestamp now) {
    return at(now) * 1000 / decayTimeMs;
  }

  /** The same, corrected for a sum whose terms go back no further than {@code began}. */
  public double perSecond(Timestamp began, Timestamp now) {
    return perSecond(now)
        / (1 - Math.exp(-Math.max(now.since(began).ms(), 0.05 * decayTimeMs) / decayTimeMs));
  }
}
