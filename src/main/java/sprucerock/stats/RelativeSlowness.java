package sprucerock.stats;

import java.util.Arrays;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Measures how much slower several kinds of work have become since a baseline period, as the mean
 * difference of the logarithms of their latencies. The logarithm limits the effect of very long
 * latencies. Each source of latencies is compared with its own baseline only.
 */
public final class RelativeSlowness {
  private static final double MIN_MS = 1e-3; // keeps the logarithm finite

  private final DecayingMean[][] baselines;
  private final DecayingMean[] slowness;

  /**
   * Creates an object without values.
   *
   * @param kinds how many kinds of work there are
   * @param sources how many sources of latencies there are
   * @param baselineDecayTime decay time of the baselines
   * @param decayTime decay time of the differences
   */
  public RelativeSlowness(int kinds, int sources, TimeSpan baselineDecayTime, TimeSpan decayTime) {
    baselines = new DecayingMean[sources][kinds];
    for (DecayingMean[] source : baselines) {
      Arrays.setAll(source, i -> new DecayingMean(baselineDecayTime));
    }
    slowness = new DecayingMean[kinds];
    Arrays.setAll(slowness, i -> new DecayingMean(decayTime));
  }

  /** Adds a latency of the baseline period, in milliseconds. */
  public void addBaseline(int source, int kind, double ms, double weight, Timestamp now) {
    baselines[source][kind].add(now, logMs(ms), weight);
  }

  /**
   * Adds a latency to compare with the baseline, in milliseconds. The latency is dropped while the
   * baseline has a weight of less than two values.
   */
  public void add(int source, int kind, double ms, double weight, Timestamp now) {
    DecayingMean baseline = baselines[source][kind];
    if (baseline.count(now) < 2) {
      return;
    }
    slowness[kind].add(now, logMs(ms) - baseline.at(now, 0, 1e-9), weight);
  }

  /**
   * The mean logarithm of the slowdown over all kinds of work. A kind is active if its values have
   * a remaining weight of at least 1; if more than two kinds are active, the slowest kind is left
   * out.
   */
  public double mean(Timestamp now) {
    double[] sum = sums(now);
    return sum[0] / (sum[1] + 0.1);
  }

  /** The remaining weight of the values in {@link #mean}; a new value has weight 1. */
  public double weight(Timestamp now) {
    return sums(now)[1];
  }

  private static double logMs(double ms) {
    return Math.log(Math.max(ms, MIN_MS));
  }

  /** The weighted sum and the total weight of the differences that {@link #mean} uses. */
  private double[] sums(Timestamp now) {
    double[] ofAllKinds = new double[2];
    double[] slowest = {0, 1e-9};
    int activeKinds = 0;
    for (DecayingMean kindSlowness : slowness) {
      double[] ofKind = {
        kindSlowness.at(now, 0, 0.1) * kindSlowness.count(now),
        Math.max(kindSlowness.count(now), 1e-9)
      };
      activeKinds += ofKind[1] >= 1 ? 1 : 0;
      ofAllKinds[0] += ofKind[0];
      ofAllKinds[1] += ofKind[1];
      if (ofKind[0] / ofKind[1] > slowest[0] / slowest[1] || kindSlowness == slowness[0]) {
        slowest = ofKind;
      }
    }
    return activeKinds > 2
        ? new double[] {ofAllKinds[0] - slowest[0], ofAllKinds[1] - slowest[1]}
        : ofAllKinds;
  }
}
