package sprucerock.stats;

import java.util.Arrays;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * How slow several kinds of work are beside an earlier time, by the logarithms of their times, in
 * which tails count little. Each source of times has its own earlier ones.
 */
public final class RelativeSlowness {
  private final DecayingMean[][] before;
  private final DecayingMean[] slowness;

  public RelativeSlowness(int kinds, int sources, TimeSpan lifeBefore, TimeSpan life) {
    before = new DecayingMean[sources][kinds];
    for (DecayingMean[] source : before) {
      Arrays.setAll(source, i -> new DecayingMean(lifeBefore));
    }
    slowness = new DecayingMean[kinds];
    Arrays.setAll(slowness, i -> new DecayingMean(life));
  }

  public void addBaseline(int source, int kind, double ms, double weight, Timestamp now) {
    before[source][kind].add(now, Math.log(Math.max(ms, 1e-3)), weight);
  }

  /** Counts from two earlier ones on. */
  public void add(int source, int kind, double ms, double weight, Timestamp now) {
    DecayingMean earlier = before[source][kind];
    if (earlier.count(now) < 2) {
      return;
    }
    slowness[kind].add(now, Math.log(Math.max(ms, 1e-3)) - earlier.at(now, 0, 1e-9), weight);
  }

  /** The mean over all kinds; of three or more that were seen of late without the slowest. */
  public double mean(Timestamp now) {
    double[] sum = sums(now);
    return sum[0] / (sum[1] + 0.1);
  }

  public double weight(Timestamp now) {
    return sums(now)[1];
  }

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
