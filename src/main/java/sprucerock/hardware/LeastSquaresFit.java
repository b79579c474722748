package sprucerock.hardware;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import org.hipparchus.linear.CholeskyDecomposition;
import org.hipparchus.linear.MatrixUtils;
import org.hipparchus.linear.RealMatrix;

/**
 * What families are worth, from picks of the same method and build in the same window on units of
 * unlike families.
 *
 * <p>The logarithm of a time is that of its group (window, method, build), plus that of its family
 * for this method, plus what strays. A group's own level is taken out, so that only families seen
 * side by side are compared; others are linked through those. A family's value for one method
 * strays around its value for all by {@code tau}, which is estimated too (shrinkage as by Efron and
 * Morris, 1975); what cells stray beyond their own spread, by {@code omega} (DerSimonian and Laird,
 * 1986), so that many picks in one odd window are not taken for many windows. Cells far off count
 * less (Huber 1964).
 *
 * <p>How many picks a unit bears side by side is read off how times grow with what it holds: as
 * long as cores are free not at all, then in step.
 */
public final class LeastSquaresFit {
  /** Methods and families that are told apart; what comes beyond is left out, and said. */
  public static final int MAX_METHODS = 64;

  public static final int MAX_FAMILIES = 16;
  // Before anything is seen: a family may be twenty times as fast as another or as slow (three
  // sigma of 1), for one method up to half
  // as much beside the others.
  private static final double PRIOR = 1;
  private static final double LEAST_TAU = 0.01;
  private static final double MOST_TAU = 0.5;
  private static final int ROUNDS =
      4; // spreads, weights and values settle within three in all that was tried
  private static final double HUBER = 2; // in standard errors
  private static final double LEAST_PICKS =
      3; // a cell of one or two says more about chance than about its family
  private static final double[] CORES =
      new double[161]; // from half a core to 128, by a twentieth of a doubling

  static {
    for (int i = 0; i < CORES.length; i++) {
      CORES[i] = Math.log(0.5) + i * Math.log(2) / 20;
    }
  }

  private record Point(
      int group, int method, int family, double count, double mean, double spread) {}

  private record Deep(int family, double depth, double slower, double variance) {}

  private final List<Integer> families;
  private final List<Integer> methods;
  private final List<Point> points = new ArrayList<>();
  private final List<Deep> deep = new ArrayList<>();
  private final Map<Integer, double[]> spreads =
      new TreeMap<>(); // by method: squares, and how many
  private double omega = 0.05 * 0.05;
  private double tau = 0.1 * 0.1;

  private LeastSquaresFit(Collection<Map<Cell, RunningMoments>> windows, IntPredicate settled) {
    TreeSet<Integer> kinds = new TreeSet<>();
    TreeSet<Integer> ways = new TreeSet<>();
    for (Map<Cell, RunningMoments> window : windows) {
      for (Cell cell : window.keySet()) {
        kinds.add(cell.family());
        ways.add(cell.method());
      }
    }
    families = kinds.stream().limit(MAX_FAMILIES).toList();
    methods = ways.stream().limit(MAX_METHODS).toList();
    int group = 0;
    for (Map<Cell, RunningMoments> window : windows) {
      Map<List<Integer>, Integer> groups =
          new TreeMap<>(java.util.Comparator.comparing(List::toString));
      for (Map.Entry<Cell, RunningMoments> one : window.entrySet()) {
        Cell cell = one.getKey();
        RunningMoments sums = one.getValue();
        boolean known = families.contains(cell.family()) && methods.contains(cell.method());
        if (!known || sums.count() < LEAST_PICKS || !settled.test(cell.build())) {
          continue;
        }
        if (sums.count() > 1) {
          double[] spread = spreads.computeIfAbsent(cell.method(), any -> new double[2]);
          spread[0] += sums.squares();
          spread[1] += sums.count() - 1;
        }
        if (cell.depth() == 0) {
          List<Integer> key = List.of(cell.method(), cell.build());
          Integer at = groups.get(key);
          if (at == null) {
            groups.put(key, at = group++);
          }
          points.add(
              new Point(
                  at,
                  methods.indexOf(cell.method()),
                  families.indexOf(cell.family()),
                  sums.count(),
                  sums.mean(),
                  0));
        }
      }
    }
    for (int i = 0; i < points.size(); i++) {
      Point one = points.get(i);
      points.set(
          i,
          new Point(
              one.group,
              one.method,
              one.family,
              one.count,
              one.mean,
              variance(methods.get(one.method)) / one.count));
    }
    for (Map<Cell, RunningMoments> window : windows) {
      depths(window, settled);
    }
  }

  private double variance(int method) {
    double[] spread = spreads.get(method);
    return spread[0] / spread[1];
  }

  /** Beside the time at no depth of the same window, method, family and build. */
  private void depths(Map<Cell, RunningMoments> window, IntPredicate settled) {
    for (Map.Entry<Cell, RunningMoments> one : window.entrySet()) {
      Cell cell = one.getKey();
      RunningMoments calm = window.get(new Cell(cell.method(), cell.family(), cell.build(), 0));
      boolean known =
          families.contains(cell.family())
              && methods.contains(cell.method())
              && settled.test(cell.build());
      if (cell.depth() == 0
          || calm == null
          || !known
          || calm.count() < LEAST_PICKS
          || one.getValue().count() < LEAST_PICKS) {
        continue;
      }
      double variance = variance(cell.method()) * (1 / calm.count() + 1 / one.getValue().count());
      deep.add(
          new Deep(
              families.indexOf(cell.family()),
              Cell.others(cell.depth()) + 1,
              one.getValue().mean() - calm.mean(),
              variance));
    }
  }

  /**
   * A model of what was seen in those windows, by builds that are settled: what a build on trial
   * does is its own, and no family's.
   *
   * @return null where nothing was seen of any
   */
  public static HardwareModel fit(
      Observation seen, long firstWindow, IntPredicate settled, long number) {
    LeastSquaresFit fit = new LeastSquaresFit(seen.since(firstWindow).values(), settled);
    return fit.points.isEmpty() ? null : fit.model(number, seen.newestWindow());
  }

  private int node(int family, int method) {
    return families.size() + family * methods.size() + method;
  }

  private HardwareModel model(long number, long newest) {
    int size = families.size() * (1 + methods.size());
    double[] weights = new double[points.size()];
    java.util.Arrays.fill(weights, 1);
    double[] values = new double[size];
    RealMatrix covariance = null;
    int free = 1;
    for (int round = 0; round < ROUNDS; round++) {
      double[][] precision = new double[size][size];
      double[] right = new double[size];
      for (int f = 0; f < families.size(); f++) {
        precision[f][f] += 1 / (PRIOR * PRIOR);
        for (int m = 0; m < methods.size(); m++) {
          connection(precision, f, node(f, m), 1 / tau);
        }
      }
      Map<Integer, List<Integer>> groups = new TreeMap<>();
      for (int i = 0; i < points.size(); i++) {
        groups.computeIfAbsent(points.get(i).group, any -> new ArrayList<>()).add(i);
      }
      double[] levels = new double[groups.size()];
      free = 0;
      for (Map.Entry<Integer, List<Integer>> group : groups.entrySet()) {
        double all = 0;
        double mean = 0;
        for (int i : group.getValue()) {
          all += weight(i, weights);
          mean += weight(i, weights) * points.get(i).mean;
        }
        mean /= all;
        free += group.getValue().size() - 1;
        for (int i : group.getValue()) {
          int at = node(points.get(i).family, points.get(i).method);
          double own = weight(i, weights);
          right[at] += own * (points.get(i).mean - mean);
          precision[at][at] += own;
          for (int j : group.getValue()) {
            precision[at][node(points.get(j).family, points.get(j).method)] -=
                own * weight(j, weights) / all;
          }
        }
      }
      CholeskyDecomposition solved =
          new CholeskyDecomposition(MatrixUtils.createRealMatrix(precision), 1e-9, 1e-12);
      covariance = solved.getSolver().getInverse();
      values = covariance.operate(right);
      for (Map.Entry<Integer, List<Integer>> group : groups.entrySet()) {
        double all = 0;
        for (int i : group.getValue()) {
          all += weight(i, weights);
          levels[group.getKey()] +=
              weight(i, weights)
                  * (points.get(i).mean - values[node(points.get(i).family, points.get(i).method)]);
        }
        levels[group.getKey()] /= all;
      }
      spread(values, levels, weights, free);
      shrink(values, covariance);
    }
    HardwareModel.Estimate[][][] times =
        new HardwareModel.Estimate[methods.size() + 1][families.size()][families.size()];
    for (int m = 0; m <= methods.size(); m++) {
      for (int a = 0; a < families.size(); a++) {
        for (int b = 0; b < families.size(); b++) {
          int one = m == methods.size() ? a : node(a, m);
          int other = m == methods.size() ? b : node(b, m);
          double variance =
              covariance.getEntry(one, one)
                  + covariance.getEntry(other, other)
                  - 2 * covariance.getEntry(one, other);
          times[m][a][b] =
              new HardwareModel.Estimate(
                  values[one] - values[other], Math.sqrt(Math.max(0, variance)));
        }
      }
    }
    return new HardwareModel(
        number, newest, families, methods, times, cores(), Math.max(3, free - families.size()));
  }

  private static void connection(double[][] precision, int a, int b, double by) {
    precision[a][a] += by;
    precision[b][b] += by;
    precision[a][b] -= by;
    precision[b][a] -= by;
  }

  private double weight(int i, double[] weights) {
    return weights[i] / (points.get(i).spread + omega);
  }

  /** What strays beyond each cell's own spread; and cells far off count less from now on. */
  private void spread(double[] values, double[] levels, double[] weights, int free) {
    double beyond = 0;
    double share = 0;
    for (int i = 0; i < points.size(); i++) {
      Point one = points.get(i);
      double off = one.mean - levels[one.group] - values[node(one.family, one.method)];
      double error = Math.sqrt(one.spread + omega);
      weights[i] = Math.min(1, HUBER * error / Math.max(Math.abs(off), 1e-9));
      double clipped = Math.min(off * off, 9 * error * error);
      beyond += clipped / one.spread;
      share += 1 / one.spread;
    }
    if (free > 0) {
      omega = Math.max(1e-6, (beyond * points.size() / Math.max(1, free) - points.size()) / share);
    }
  }

  private void shrink(double[] values, RealMatrix covariance) {
    double sum = 0;
    int count = 0;
    for (int f = 0; f < families.size(); f++) {
      for (int m = 0; m < methods.size(); m++) {
        int at = node(f, m);
        double off = values[at] - values[f];
        sum +=
            off * off
                + covariance.getEntry(at, at)
                + covariance.getEntry(f, f)
                - 2 * covariance.getEntry(at, f);
        count++;
      }
    }
    tau = Math.max(LEAST_TAU * LEAST_TAU, Math.min(MOST_TAU * MOST_TAU, sum / count));
  }

  /**
   * By family: the logarithm of how many picks a unit bears side by side, and its standard error.
   */
  private HardwareModel.Estimate[] cores() {
    HardwareModel.Estimate[] found = new HardwareModel.Estimate[families.size()];
    for (int f = 0; f < families.size(); f++) {
      double[] logs = new double[CORES.length];
      double best = Double.NEGATIVE_INFINITY;
      for (int i = 0; i < CORES.length; i++) {
        // before anything is seen four cores, give or take a factor of four
        logs[i] = -0.5 * Math.pow((CORES[i] - Math.log(4)) / Math.log(4), 2);
        for (Deep one : deep) {
          if (one.family != f) {
            continue;
          }
          double off = one.slower - Math.max(0, Math.log(one.depth) - CORES[i]);
          logs[i] -=
              0.5
                  * off
                  * off
                  / (one.variance + omega + 0.1 * 0.1); // depths are known to a factor of 1.1 or so
        }
        best = Math.max(best, logs[i]);
      }
      double all = 0;
      double mean = 0;
      double square = 0;
      for (int i = 0; i < CORES.length; i++) {
        double weight = Math.exp(logs[i] - best);
        all += weight;
        mean += weight * CORES[i];
        square += weight * CORES[i] * CORES[i];
      }
      mean /= all;
      found[f] =
          new HardwareModel.Estimate(mean, Math.sqrt(Math.max(square / all - mean * mean, 1e-6)));
    }
    return found;
  }
}
