package sprucerock.hardware;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Distinguishes a slow hardware family from a slow build when times on one family become longer.
 * The family is slow if settled builds became slower on it. A build is slow if only this build is
 * slow on the family, compared with the settled builds in the same windows. Uses the same sums as a
 * fit, but needs no fitted model.
 */
public final class OutlierScore {
  /**
   * A slow family, or a build that is slow on one family.
   *
   * @param build the build that is slow on this family; 0: the family itself is slow
   * @param logSlowdown the logarithm of the factor by which times are longer
   * @param standardErrors {@code logSlowdown} divided by its standard error
   */
  public record Finding(int family, int build, double logSlowdown, double standardErrors) {}

  // Some families and builds are checked in each window. At 4 standard errors there is one false
  // alarm in 15,000 checks of a family or build. A slowdown by less than a tenth is too small to
  // act on.
  private static final double MIN_STANDARD_ERRORS = 4;
  private static final double MIN_LOG_SLOWDOWN = 0.1;
  private static final double MIN_SAMPLES = 3;

  /**
   * The standard deviation of the logarithm of the factor by which two means of many samples differ
   * without any cause.
   */
  private static final double MIN_LOG_ERROR = 0.02;

  private OutlierScore() {}

  private static final class WeightedMean {
    private double weights;
    private double sum;

    void add(double value, double variance) {
      weights += 1 / variance;
      sum += value / variance;
    }

    double mean() {
      return sum / weights;
    }

    double variance() {
      return 1 / weights;
    }
  }

  /**
   * Returns the families on which a build is slower, compared with the settled builds, than on
   * other families.
   */
  public static List<Finding> slowBuilds(
      Observation observation, long firstWindow, int build, IntPredicate settled) {
    Map<Integer, WeightedMean> byFamily = new TreeMap<>();
    for (Map<Cell, RunningMoments> window : observation.since(firstWindow).values()) {
      window.forEach(
          (cell, own) -> {
            if (cell.build() != build || cell.depth() > 0 || own.count() < MIN_SAMPLES) {
              return;
            }
            RunningMoments baseline = baseline(window, cell, settled);
            if (baseline.count() >= MIN_SAMPLES) {
              addDifference(byFamily, cell.family(), own, baseline);
            }
          });
    }
    return outliersAmong(byFamily, build);
  }

  /** Returns the times of settled builds in the same window, for the same method and family. */
  private static RunningMoments baseline(
      Map<Cell, RunningMoments> window, Cell cell, IntPredicate settled) {
    RunningMoments baseline = RunningMoments.EMPTY;
    for (Map.Entry<Cell, RunningMoments> entry : window.entrySet()) {
      Cell other = entry.getKey();
      boolean comparable =
          other.method() == cell.method() && other.family() == cell.family() && other.depth() == 0;
      if (comparable && other.build() != cell.build() && settled.test(other.build())) {
        baseline = baseline.plus(entry.getValue());
      }
    }
    return baseline;
  }

  private static void addDifference(
      Map<Integer, WeightedMean> byFamily,
      int family,
      RunningMoments own,
      RunningMoments baseline) {
    byFamily
        .computeIfAbsent(family, absent -> new WeightedMean())
        .add(
            own.mean() - baseline.mean(),
            varianceOfMean(own) + varianceOfMean(baseline) + MIN_LOG_ERROR * MIN_LOG_ERROR);
  }

  private static double varianceOfMean(RunningMoments samples) {
    return samples.squaredDeviations() / (samples.count() - 1) / samples.count();
  }

  /**
   * Returns the families on which settled builds became slower, compared with other families.
   *
   * @param firstWindow the first window that counts
   * @param firstNewWindow the window from which times are compared with those before it
   */
  public static List<Finding> slowFamilies(
      Observation observation, long firstWindow, long firstNewWindow, IntPredicate settled) {
    Map<Integer, WeightedMean> byFamily = new TreeMap<>();
    Map<Cell, RunningMoments> before = new TreeMap<>();
    Map<Cell, RunningMoments> since = new TreeMap<>();
    observation
        .since(firstWindow)
        .forEach(
            (window, cells) ->
                cells.forEach(
                    (cell, sums) -> {
                      if (cell.depth() == 0 && settled.test(cell.build())) {
                        (window < firstNewWindow ? before : since)
                            .merge(cell, sums, RunningMoments::plus);
                      }
                    }));
    TreeSet<Cell> commonCells = new TreeSet<>(before.keySet());
    commonCells.retainAll(since.keySet());
    for (Cell cell : commonCells) {
      RunningMoments oldTimes = before.get(cell);
      RunningMoments newTimes = since.get(cell);
      if (oldTimes.count() < MIN_SAMPLES || newTimes.count() < MIN_SAMPLES) {
        continue;
      }
      addDifference(byFamily, cell.family(), newTimes, oldTimes);
    }
    return outliersAmong(byFamily, 0);
  }

  /**
   * Returns the families that are slow compared with the other families. A slowdown on all families
   * is caused by load, a method or a build, not by a family.
   */
  private static List<Finding> outliersAmong(Map<Integer, WeightedMean> byFamily, int build) {
    List<Finding> findings = new ArrayList<>();
    byFamily.forEach(
        (family, own) -> {
          List<WeightedMean> others = new ArrayList<>(byFamily.values());
          others.remove(own);
          if (others.isEmpty()) {
            return;
          }
          others.sort((a, b) -> Double.compare(a.mean(), b.mean()));
          // The median is robust if another family is slow too.
          WeightedMean median = others.get((others.size() - 1) / 2);
          double logSlowdown = own.mean() - median.mean();
          double standardErrors = logSlowdown / Math.sqrt(own.variance() + median.variance());
          if (logSlowdown > MIN_LOG_SLOWDOWN && standardErrors > MIN_STANDARD_ERRORS) {
            findings.add(new Finding(family, build, logSlowdown, standardErrors));
          }
        });
    return findings;
  }
}
