package sprucerock.hardware;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whose fault it is where times change on one family: the family's, if settled builds have changed
 * there too; the build's, if only it is slow there beside the settled ones of the same windows.
 * Told apart before a model is fitted, and from the same sums.
 */
public final class OutlierScore {
  /**
   * What seems to be the matter. {@code build} 0: the family itself. {@code slower}: by how much,
   * as a logarithm.
   */
  public record Finding(int family, int build, double slower, double errors) {}

  // One look a window, some families and builds each: at 4 standard errors one false alarm in
  // 15,000 looks at one of them. What is under
  // a tenth is of no use to anybody.
  private static final double ERRORS = 4;
  private static final double LEAST = 0.1;
  private static final double LEAST_PICKS = 3;

  private OutlierScore() {}

  private static final class Mean {
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
      Observation seen, long firstWindow, int build, java.util.function.IntPredicate settled) {
    Map<Integer, Mean> byFamily = new TreeMap<>();
    for (Map<Cell, RunningMoments> window : seen.since(firstWindow).values()) {
      window.forEach(
          (cell, own) -> {
            if (cell.build() != build || cell.depth() > 0 || own.count() < LEAST_PICKS) {
              return;
            }
            RunningMoments usual = RunningMoments.NONE;
            for (Map.Entry<Cell, RunningMoments> other : window.entrySet()) {
              Cell beside = other.getKey();
              boolean like =
                  beside.method() == cell.method()
                      && beside.family() == cell.family()
                      && beside.depth() == 0;
              if (like && beside.build() != build && settled.test(beside.build())) {
                usual = usual.plus(other.getValue());
              }
            }
            if (usual.count() < LEAST_PICKS) {
              return;
            }
            byFamily
                .computeIfAbsent(cell.family(), any -> new Mean())
                .add(
                    own.mean() - usual.mean(),
                    own.squares() / (own.count() - 1) / own.count()
                        + usual.squares() / (usual.count() - 1) / usual.count()
                        + 0.02 * 0.02);
          });
    }
    return besideOthers(byFamily, build);
  }

  /**
   * Families on which settled builds run slower in the windows from one on than before it, beside
   * other families.
   */
  public static List<Finding> slowFamilies(
      Observation seen, long firstWindow, long from, java.util.function.IntPredicate settled) {
    Map<Integer, Mean> byFamily = new TreeMap<>();
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
      if (old.count() < LEAST_PICKS || now.count() < LEAST_PICKS) {
        continue;
      }
      byFamily
          .computeIfAbsent(cell.family(), any -> new Mean())
          .add(
              now.mean() - old.mean(),
              old.squares() / (old.count() - 1) / old.count()
                  + now.squares() / (now.count() - 1) / now.count()
                  + 0.02 * 0.02);
    }
    return besideOthers(byFamily, 0);
  }

  /**
   * What all families have in common is a load, a method or a build that is slow everywhere, and no
   * family's.
   */
  private static List<Finding> besideOthers(Map<Integer, Mean> byFamily, int build) {
    List<Finding> found = new ArrayList<>();
    byFamily.forEach(
        (family, own) -> {
          List<Mean> others = new ArrayList<>(byFamily.values());
          others.remove(own);
          if (others.isEmpty()) {
            return;
          }
          others.sort((a, b) -> Double.compare(a.mean(), b.mean()));
          Mean usual =
              others.get((others.size() - 1) / 2); // the middle one: another family may be ill too
          double slower = own.mean() - usual.mean();
          double errors = slower / Math.sqrt(own.variance() + usual.variance());
          if (slower > LEAST && errors > ERRORS) {
            found.add(new Finding(family, build, slower, errors));
          }
        });
    return found;
  }
}
