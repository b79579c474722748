package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A weighted mean in which older values lose weight exponentially with age. */
public final class DecayingMean {
  private final DecayingSum sum;
  private final DecayingSum count;

  /**
   * An empty mean.
   *
   * @param life the time in which a value's weight falls to 1/e
   */
  public DecayingMean(TimeSpan life) {
    sum = new DecayingSum(life);
    count = new DecayingSum(life);
  }

  /** Adds a value of weight 1. */
  public void add(Timestamp now, double value) {
    add(now, value, 1);
  }

  /** Adds a value; {@code now} is no earlier than in the calls before. */
  public void add(Timestamp now, double value, double weight) {
    sum.add(now, value * weight);
    count.add(now, weight);
  }

  /** The weight that is left of all values, in values. */
  public double count(Timestamp now) {
    return count.at(now);
  }

  /** The mean, shrunk towards {@code prior}, which counts as {@code weight} values. */
  public double at(Timestamp now, double prior, double weight) {
    return (sum.at(now) + prior * weight) / (count.at(now) + weight);
  }
}
