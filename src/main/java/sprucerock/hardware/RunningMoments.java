package sprucerock.hardware;

/**
 * Logarithms of times: how many, their mean, and the sum of their squared distances from it.
 * (Welford 1962; merged as by Chan and others, 1979.) Never changed, only replaced.
 */
public record RunningMoments(double count, double mean, double squaredDeviations) {
  static final RunningMoments EMPTY = new RunningMoments(0, 0, 0);

  /** With one more time, in milliseconds; what is under a microsecond counts as that. */
  public RunningMoments plus(double ms) {
    double log = Math.log(Math.max(ms, 0.001));
    double off = log - mean;
    double now = mean + off / (count + 1);
    return new RunningMoments(count + 1, now, squaredDeviations + off * (log - now));
  }

  /** With all of another one. */
  public RunningMoments plus(RunningMoments other) {
    if (count == 0) {
      return other;
    }
    if (other.count == 0) {
      return this;
    }
    double all = count + other.count;
    double off = other.mean - mean;
    return new RunningMoments(
        all,
        mean + off * other.count / all,
        squaredDeviations + other.squaredDeviations + off * off * count * other.count / all);
  }
}
