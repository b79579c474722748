package sprucerock.hardware;

/**
 * Moments of logarithms of times, computed as by Welford (1962) and merged as by Chan and others
 * (1979). Immutable.
 *
 * @param count the number of times
 * @param mean the mean of their logarithms
 * @param squaredDeviations the sum of the squared deviations from the mean
 */
public record RunningMoments(double count, double mean, double squaredDeviations) {
  static final RunningMoments EMPTY = new RunningMoments(0, 0, 0);

  /**
   * Returns the moments with another time added. A time under a microsecond counts as a
   * microsecond.
   */
  public RunningMoments plus(double ms) {
    double log = Math.log(Math.max(ms, 0.001));
    double deviation = log - mean;
    double newMean = mean + deviation / (count + 1);
    return new RunningMoments(count + 1, newMean, squaredDeviations + deviation * (log - newMean));
  }

  /** Returns the moments of both sets of times. */
  public RunningMoments plus(RunningMoments other) {
    if (count == 0) {
      return other;
    }
    if (other.count == 0) {
      return this;
    }
    double totalCount = count + other.count;
    double difference = other.mean - mean;
    return new RunningMoments(
        totalCount,
        mean + difference * other.count / totalCount,
        squaredDeviations
            + other.squaredDeviations
            + difference * difference * count * other.count / totalCount);
  }
}
