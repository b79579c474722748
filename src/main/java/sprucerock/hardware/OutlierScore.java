package sprucerock.hardware;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Scores which family or build is an outlier where times change on one family: the family's, if
 * settled builds have changed there too; the build's, if only it is slow there beside the settled
 * ones of the same windows. Told apart before a model is fitted, and from the same sums.
 */
public final class OutlierScore {
  /**
   * A family that is slow.
   *
   * @param build that is slow there; 0: the family itself
   * @param slower by how much, as a logarithm
   * @param errors the same in standard errors
   */
  public record Finding(int family, int build, double logSlowdown, double standardErrors) {}

  // One check a window, some families and builds each: at 4 standard errors one false alarm in
  // 15,000 checks of one of them. What is under a tenth is of no use to anybody.
  private static final double MIN_STANDARD_ERRORS = 4;
  private static final double MIN_SLOWDOWN = 0.1;
  private static final double MIN_SAMPLES = 3;

  /** What two means differ by in any case, as a logarithm. */
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
   * Families on which a build runs slower beside the settled ones than it does on other families.
   */
  public static List<Finding> slowBuilds(
      Observation seen, long firstWindow, int build, IntPredicate settled) {
    Map<Integer, WeightedMean> byFamily = new TreeMap<>();
    for (Map<Cell, RunningMoments> window : seen.since(firstWindow).values()) {
      window.forEach(
          (cell, own) -> {
            if (cell.build() != build || cell.depth() > 0 || own.count() < MIN_SAMPLES) {
              return;
            }
            RunningMoments usual = baseline(window, cell, settled);
            if (usual.count() >= MIN_SAMPLES) {
              addDifference(byFamily, cell.family(), own, usual);
            }
          });
    }
    return outliersAmong(byFamily, build);
  }

  /** What settled builds take in the same window for the same method on the same family. */
  private static RunningMoments baseline(
      Map<Cell, RunningMoments> window, Cell cell, IntPredicate settled) {
    RunningMoments usual = RunningMoments.EMPTY;
    for (Map.Entry<Cell, RunningMoments> other : window.entrySet()) {
      Cell beside = other.getKey();
      boolean alike =
          beside.method() == cell.method()
              && beside.family() == cell.family()
              && beside.depth() == 0;
      if (alike && beside.build() != cell.build() && settled.test(beside.build())) {
        usual = usual.plus(other.getValue());
      }
    }
    return usual;
  }

  private static void addDifference(
      Map<Integer, WeightedMean> byFamily, int family, RunningMoments own, RunningMoments usual) {
    byFamily
        .computeIfAbsent(family, any -> new WeightedMean())
        .add(
            own.mean() - usual.mean(),
            varianceOfMean(own) + varianceOfMean(usual) + MIN_LOG_ERROR * MIN_LOG_ERROR);
  }

  private static double varianceOfMean(RunningMoments samples) {
    return samples.squaredDeviations() / (samples.count() - 1) / samples.count();
  }

  /**
   * Families on which settled builds run slower in the windows from one on than before it, beside
   * other families.
   */
  public static List<Finding> slowFamilies(
      Observation seen, long firstWindow, long from, IntPredicate settled) {
    Map<Integer, WeightedMean> byFamily = new TreeMap<>();
    Map<Cell, RunningMoments> before = new TreeMap<>();
    Map<Cell, RunningMoments> since = new TreeMap<>();
    seen.since(firstWindow)
        .forEach(
            (window, cells) ->
                cells.forEach(
                    (cell, sums) -> {
                      if (cell.depth() == 0 && settled.test(cell.build())) {
                        (window < from ? before : since).merge(cell, sums, RunningMoments::plus);
                      }
                    }));
    TreeSet<Cell> both = new TreeSet<>(before.keySet());
    both.retainAll(since.keySet());
    for (Cell cell : both) {
      RunningMoments old = before.get(cell);
      RunningMoments now = since.get(cell);
      if (old.count() < MIN_SAMPLES || now.count() < MIN_SAMPLES) {
        continue;
      }
      addDifference(byFamily, cell.family(), now, old);
    }
    return outliersAmong(byFamily, 0);
  }

  /**
   * What all families have in common is a load, a method or a build that is slow everywhere, and no
   * family's.
   */
  private static List<Finding> outliersAmong(Map<Integer, WeightedMean> byFamily, int build) {
    List<Finding> found = new ArrayList<>();
    byFamily.forEach(
        (family, own) -> {
          List<WeightedMean> others = new ArrayList<>(byFamily.values());
          others.remove(own);
          if (others.isEmpty()) {
            return;
          }
          others.sort((a, b) -> Double.compare(a.mean(), b.mean()));
          // the middle one: another family may be slow too
          WeightedMean usual = others.get((others.size() - 1) / 2);
          double slower = own.mean() - usual.mean();
          double errors = slower / Math.sqrt(own.variance() + usual.variance());
          if (slower > MIN_SLOWDOWN && errors > MIN_STANDARD_ERRORS) {
            found.add(new Finding(family, build, slower, errors));
          }
        });
    return found;
  }
}
