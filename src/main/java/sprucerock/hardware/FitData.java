package sprucerock.hardware;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * The observations of some windows in the form that a fit needs: cells of settled builds with
 * enough samples, and their errors. Families and methods are identified by their indexes in {@link
 * #families} and {@link #methods}.
 */
final class FitData {
  /** The mean of one or two samples depends more on chance than on the hardware family. */
  private static final double MIN_SAMPLES = 3;

  /**
   * The mean logarithm of the times of a cell at depth 0.
   *
   * @param group the number of the group, which has the cells of one window, method and build; only
   *     cells of one group are compared with each other
   * @param variance the variance of the mean
   */
  record Point(int group, int methodIndex, int familyIndex, double mean, double variance) {}

  /**
   * A cell at a depth over 0, compared with the same cell at depth 0.
   *
   * @param concurrentAttempts how many attempts the endpoint served, including the cell's own
   * @param logSlowdown the logarithm of the factor by which the times are longer
   * @param variance the variance of {@code logSlowdown}
   */
  record DepthPoint(
      int familyIndex, double concurrentAttempts, double logSlowdown, double variance) {}

  private final IntPredicate settled;
  private final List<Integer> families;
  private final List<Integer> methods;
  private final List<Point> points = new ArrayList<>();
  private final List<DepthPoint> depthPoints = new ArrayList<>();

  /**
   * By method: the squared deviations of all samples, and their degrees of freedom as the count.
   */
  private final Map<Integer, RunningMoments> pooledByMethod = new TreeMap<>();

  private int groupCount;

  /**
   * Collects the data of some windows.
   *
   * @param windows the cells of each window
   * @param settled returns whether a build counts
   */
  FitData(Collection<Map<Cell, RunningMoments>> windows, IntPredicate settled) {
    this.settled = settled;
    TreeSet<Integer> knownFamilies = new TreeSet<>();
    TreeSet<Integer> knownMethods = new TreeSet<>();
    for (Map<Cell, RunningMoments> window : windows) {
      for (Cell cell : window.keySet()) {
        knownFamilies.add(cell.family());
        knownMethods.add(cell.method());
      }
    }
    families = knownFamilies.stream().limit(LeastSquaresFit.MAX_FAMILIES).toList();
    methods = knownMethods.stream().limit(LeastSquaresFit.MAX_METHODS).toList();
    windows.forEach(this::pool);
    for (Map<Cell, RunningMoments> window : windows) {
      addPoints(window);
    }
    for (Map<Cell, RunningMoments> window : windows) {
      addDepthPoints(window);
    }
  }

  private boolean isIncluded(Cell cell, RunningMoments samples) {
    return families.contains(cell.family())
        && methods.contains(cell.method())
        && samples.count() >= MIN_SAMPLES
        && settled.test(cell.build());
  }

  /**
   * Adds a window's samples to the pooled squared deviations from the means of their cells, and
   * their degrees of freedom, by method.
   */
  private void pool(Map<Cell, RunningMoments> window) {
    window.forEach(
        (cell, samples) -> {
          if (isIncluded(cell, samples)) {
            RunningMoments before =
                pooledByMethod.getOrDefault(cell.method(), RunningMoments.EMPTY);
            pooledByMethod.put(
                cell.method(),
                new RunningMoments(
                    before.count() + (samples.count() - 1),
                    0,
                    before.squaredDeviations() + samples.squaredDeviations()));
          }
        });
  }

  /** Returns the variance of one sample of a method. */
  private double variance(int method) {
    RunningMoments pooled = pooledByMethod.get(method);
    return pooled.squaredDeviations() / pooled.count();
  }

  private void addPoints(Map<Cell, RunningMoments> window) {
    Map<List<Integer>, Integer> groupNumbers = new HashMap<>();
    window.forEach(
        (cell, samples) -> {
          if (!isIncluded(cell, samples) || cell.depth() != 0) {
            return;
          }
          int group =
              groupNumbers.computeIfAbsent(
                  List.of(cell.method(), cell.build()), absent -> groupCount++);
          points.add(
              new Point(
                  group,
                  methods.indexOf(cell.method()),
                  families.indexOf(cell.family()),
                  samples.mean(),
                  variance(cell.method()) / samples.count()));
        });
  }

  /** Compares cells with those at depth 0 of the same window, method, family and build. */
  private void addDepthPoints(Map<Cell, RunningMoments> window) {
    window.forEach(
        (cell, samples) -> {
          RunningMoments idle = window.get(new Cell(cell.method(), cell.family(), cell.build(), 0));
          if (cell.depth() == 0
              || idle == null
              || !isIncluded(cell, samples)
              || idle.count() < MIN_SAMPLES) {
            return;
          }
          depthPoints.add(
              new DepthPoint(
                  families.indexOf(cell.family()),
                  Cell.estimatedOthersInFlight(cell.depth()) + 1,
                  samples.mean() - idle.mean(),
                  variance(cell.method()) * (1 / idle.count() + 1 / samples.count())));
        });
  }

  /** Returns the observed families, {@link LeastSquaresFit#MAX_FAMILIES} at most. */
  List<Integer> families() {
    return families;
  }

  /** Returns the observed methods, {@link LeastSquaresFit#MAX_METHODS} at most. */
  List<Integer> methods() {
    return methods;
  }

  List<Point> points() {
    return points;
  }

  List<DepthPoint> depthPoints() {
    return depthPoints;
  }

  /** Returns the number of groups of points, which are numbered from 0. */
  int groupCount() {
    return groupCount;
  }
}
