package sprucerock.stats;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A mean in which older values weigh less. */
public final class DecayingMean {
  private final DecayingSum sum;
  private final DecayingSum count;

  public DecayingMean(TimeSpan life) {
    sum = new DecayingSum(life);
    count = new DecayingSum(life);
  }

  public void add(Timestamp now, double value) {
    add(now, value, 1);
  }

  public void add(Timestamp now, double value, double weight) {
    sum.add(now, value * weight);
    count.add(now, weight);
  }

  public double count(Timestamp now) {
    return count.at(now);
  }

  /** The mean, drawn towards a prior that counts as so many values. */
  public double at(Timestamp now, double prior, double weight) {
    return (sum.at(now) + prior * weight) / (count.at(now) + weight);
  }
}
