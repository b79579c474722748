package sprucerock.stats;

import java.util.Arrays;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * How much slower several kinds of work have become than in a baseline period, as a mean difference
 * of the logarithms of their latencies, so that tails count little. Each source of latencies is
 * compared with its own baseline only.
 */
public final class RelativeSlowness {
  private static final double MIN_MS = 1e-3; // keeps the logarithm finite

  private final DecayingMean[][] baselines;
  private final DecayingMean[] slowness;

  /**
   * Has no values yet.
   *
   * @param kinds how many kinds of work there are
   * @param sources how many sources of latencies there are
   * @param baselineLife decay time of the baselines
   * @param life decay time of the differences
   */
  public RelativeSlowness(int kinds, int sources, TimeSpan baselineLife, TimeSpan life) {
    baselines = new DecayingMean[sources][kinds];
    for (DecayingMean[] source : baselines) {
      Arrays.setAll(source, i -> new DecayingMean(baselineLife));
    }
    slowness = new DecayingMean[kinds];
    Arrays.setAll(slowness, i -> new DecayingMean(life));
  }

  /** Adds a latency of the baseline period, in milliseconds. */
  public void addBaseline(int source, int kind, double ms, double weight, Timestamp now) {
    baselines[source][kind].add(now, logMs(ms), weight);
  }

  /** Adds a present latency, in milliseconds; dropped while the baseline has under two values. */
  public void add(int source, int kind, double ms, double weight, Timestamp now) {
    DecayingMean baseline = baselines[source][kind];
    if (baseline.count(now) < 2) {
      return;
    }
    slowness[kind].add(now, logMs(ms) - baseline.at(now, 0, 1e-9), weight);
  }

  /**
   * The mean logarithm of the slowdown over all kinds; with over two active ones, without the
   * slowest.
   */
  public double mean(Timestamp now) {
    double[] sum = sums(now);
    return sum[0] / (sum[1] + 0.1);
  }

  /** The weight of the values behind {@link #mean}, in values. */
  public double weight(Timestamp now) {
    return sums(now)[1];
  }

  private static double logMs(double ms) {
    return Math.log(Math.max(ms, MIN_MS));
  }

  /** Weighted sum and weight of the differences that count. */
  private double[] sums(Timestamp now) {
    double[] all = new double[2];
    double[] slowest = {0, 1e-9};
    int active = 0;
    for (DecayingMean one : slowness) {
      double[] own = {one.at(now, 0, 0.1) * one.count(now), Math.max(one.count(now), 1e-9)};
      active += own[1] >= 1 ? 1 : 0;
      all[0] += own[0];
      all[1] += own[1];
      if (own[0] / own[1] > slowest[0] / slowest[1] || one == slowness[0]) {
        slowest = own;
      }
    }
    return active > 2 ? new double[] {all[0] - slowest[0], all[1] - slowest[1]} : all;
  }
}
