package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A weighted mean in which older values lose weight exponentially with age. */
public final class DecayingMean {
  private final DecayingSum sum;
  private final DecayingSum count;

  /**
   * Creates an empty mean.
   *
   * @param decayTime the time in which a value's weight falls to 1/e
   */
  public DecayingMean(TimeSpan decayTime) {
    sum = new DecayingSum(decayTime);
    count = new DecayingSum(decayTime);
  }

  /** Adds a value of weight 1. */
  public void add(Timestamp now, double value) {
    add(now, value, 1);
  }

  /** Adds a value; {@code now} must not be earlier than in previous calls. */
  public void add(Timestamp now, double value, double weight) {
    sum.add(now, value * weight);
    count.add(now, weight);
  }

  /** The remaining weight of all values; a new value has weight 1. */
  public double count(Timestamp now) {
    return count.at(now);
  }

  /** The mean, shrunk towards {@code prior}, which counts as {@code weight} values. */
  public double at(Timestamp now, double prior, double weight) {
    return (sum.at(now) + prior * weight) / (count.at(now) + weight);
  }
}
