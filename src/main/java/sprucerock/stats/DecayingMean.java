package sprucerock.stats;

import sprucerock.time.Moment;
import sprucerock.time.Span;

/** A mean in which older values weigh less. */
public final class DecayingMean {
  private final DecayingSum sum;
  private final DecayingSum count;

  public DecayingMean(Span life) {
    sum = new DecayingSum(life);
    count = new DecayingSum(life);
  }

  public void add(Moment now, double value) {
    add(now, value, 1);
  }

  public void add(Moment now, double value, double weight) {
    sum.add(now, value * weight);
    count.add(now, weight);
  }

  public double count(Moment now) {
    return count.at(now);
  }

  /** The mean, drawn towards a prior that counts as so many values. */
  public double at(Moment now, double prior, double weight) {
    return (sum.at(now) + prior * weight) / (count.at(now) + weight);
  }
}
