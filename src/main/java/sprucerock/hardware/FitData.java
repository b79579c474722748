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
 * The observations of some windows as a fit needs them: cells with enough samples, of settled
 * builds, with their errors. Families and methods are told by their places in {@link #families} and
 * {@link #methods}.
 */
final class FitData {
  /** A cell of one or two samples says more about chance than about its family. */
  private static final double MIN_SAMPLES = 3;

  /**
   * The mean logarithm of a cell at no depth.
   *
   * @param group cells of one window, method and build, which are compared with each other
   * @param variance of the mean
   */
  record Point(int group, int methodIndex, int familyIndex, double mean, double variance) {}

  /**
   * A cell at some depth, beside the one at no depth.
   *
   * @param depth how many attempts the endpoint served, with the cell's own
   * @param slower by how much, as a logarithm
   * @param variance of {@code slower}
   */
  record DepthPoint(
      int familyIndex, double concurrentAttempts, double logSlowdown, double variance) {}

  private final IntPredicate settled;
  private final List<Integer> families;
  private final List<Integer> methods;
  private final List<Point> points = new ArrayList<>();
  private final List<DepthPoint> depthPoints = new ArrayList<>();
  private final Map<Integer, RunningMoments> pooledByMethod = new TreeMap<>(); // see pool()
  private int groupCount;

  /** Of each window's cells; {@code settled} says which builds count. */
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

  /** By method: squared distances of all samples from their cells' means, and their freedom. */
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

  /** Of one sample of a method. */
  private double variance(int method) {
    RunningMoments all = pooledByMethod.get(method);
    return all.squaredDeviations() / all.count();
  }

  private void addPoints(Map<Cell, RunningMoments> window) {
    Map<List<Integer>, Integer> groupOf = new HashMap<>();
    window.forEach(
        (cell, samples) -> {
          if (!isIncluded(cell, samples) || cell.depth() != 0) {
            return;
          }
          int group =
              groupOf.computeIfAbsent(List.of(cell.method(), cell.build()), any -> groupCount++);
          points.add(
              new Point(
                  group,
                  methods.indexOf(cell.method()),
                  families.indexOf(cell.family()),
                  samples.mean(),
                  variance(cell.method()) / samples.count()));
        });
  }

  /** Beside the time at no depth of the same window, method, family and build. */
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
                  Cell.estimatedInFlight(cell.depth()) + 1,
                  samples.mean() - idle.mean(),
                  variance(cell.method()) * (1 / idle.count() + 1 / samples.count())));
        });
  }

  /** Families that were seen, at most {@link LeastSquaresFit#MAX_FAMILIES}. */
  List<Integer> families() {
    return families;
  }

  /** Methods that were seen, at most {@link LeastSquaresFit#MAX_METHODS}. */
  List<Integer> methods() {
    return methods;
  }

  List<Point> points() {
    return points;
  }

  List<DepthPoint> depthPoints() {
    return depthPoints;
  }

  /** Groups of points, numbered from 0. */
  int groupCount() {
    return groupCount;
  }
}
