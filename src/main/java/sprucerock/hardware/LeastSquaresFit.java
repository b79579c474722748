package sprucerock.hardware;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.hipparchus.linear.CholeskyDecomposition;
import org.hipparchus.linear.MatrixUtils;
import org.hipparchus.linear.RealMatrix;

/**
 * What families of hardware are worth, by weighted least squares over attempts of the same method
 * and build in the same window on endpoints of unlike families.
 *
 * <p>The logarithm of a time is that of its group (window, method, build), plus that of its family
 * for this method, plus a residual. A group's own level is taken out, so that only families seen
 * side by side are compared; others are linked through those. A family's value for one method
 * strays around its value for all by {@code tau}, which is estimated too (shrinkage as by Efron and
 * Morris, 1975); what cells stray beyond their own errors, by {@code omega} (DerSimonian and Laird,
 * 1986), so that many attempts in one odd window are not taken for many windows. Cells far off
 * count less (Huber 1964).
 */
public final class LeastSquaresFit {
  /** Methods that are told apart; what comes beyond is left out. */
  public static final int MAX_METHODS = 64;

  /** Families that are told apart; what comes beyond is left out. */
  public static final int MAX_FAMILIES = 16;

  // Before anything is seen: a family may be twenty times as fast as another or as slow (three
  // sigma of 1), for one method up to half as much beside the others.
  private static final double PRIOR_SIGMA = 1;
  private static final double MIN_TAU = 0.01;
  private static final double MAX_TAU = 0.5;
  private static final double INITIAL_TAU = 0.1;
  private static final double INITIAL_OMEGA = 0.05;
  private static final double MIN_OMEGA_SQUARED = 1e-6;

  /** Errors, weights and values settle within three in all that was tried. */
  private static final int ITERATIONS = 4;

  /** In standard errors. */
  private static final double HUBER_STANDARD_ERRORS = 2;

  /** Squared residuals count as at most so many squared standard errors in omega. */
  private static final double MAX_SQUARED_ERRORS = 9;

  private static final int MIN_DEGREES_OF_FREEDOM = 3;
  private static final double SYMMETRY_THRESHOLD = 1e-9;
  private static final double POSITIVITY_THRESHOLD = 1e-12;

  private final FitData data;
  private final List<FitData.Point> points;
  private final int familyCount;
  private final int methodCount;
  private final Map<Integer, List<Integer>> groups = new TreeMap<>(); // indexes of points
  private final double[] weights;
  private double[] effects; // families, then families by method
  private double[] groupLevels; // by group
  private RealMatrix covariance;
  private double omegaSquared = INITIAL_OMEGA * INITIAL_OMEGA;
  private double tauSquared = INITIAL_TAU * INITIAL_TAU;

  private LeastSquaresFit(FitData data) {
    this.data = data;
    points = data.points();
    familyCount = data.families().size();
    methodCount = data.methods().size();
    for (int i = 0; i < points.size(); i++) {
      groups.computeIfAbsent(points.get(i).group(), any -> new ArrayList<>()).add(i);
    }
    weights = new double[points.size()];
    Arrays.fill(weights, 1);
  }

  /**
   * A model of what was observed from one window on, by builds that are settled: what a canary does
   * is its own, and no family's.
   *
   * @param number of the lease under which it is fitted
   * @return null where nothing was observed of any
   */
  public static HardwareModel fit(
      Observation seen, long firstWindow, IntPredicate settled, long number) {
    FitData data = new FitData(seen.since(firstWindow).values(), settled);
    if (data.points().isEmpty()) {
      return null;
    }
    LeastSquaresFit fit = new LeastSquaresFit(data);
    for (int round = 0; round < ITERATIONS; round++) {
      fit.solve();
      fit.updateOmegaAndWeights();
      fit.updateTau();
    }
    return fit.model(number, seen.newestWindow());
  }

  /** The place of a family's value for one method. */
  private int effectIndex(int family, int method) {
    return familyCount + family * methodCount + method;
  }

  private int effectIndex(FitData.Point point) {
    return effectIndex(point.familyIndex(), point.methodIndex());
  }

  private double weight(int i) {
    return weights[i] / (points.get(i).variance() + omegaSquared);
  }

  /** Values, their covariance and the groups' levels at the present weights. */
  private void solve() {
    double[][] precision = priorPrecision();
    double[] right = new double[precision.length];
    for (List<Integer> group : groups.values()) {
      addGroup(group, precision, right);
    }
    covariance =
        new CholeskyDecomposition(
                MatrixUtils.createRealMatrix(precision), SYMMETRY_THRESHOLD, POSITIVITY_THRESHOLD)
            .getSolver()
            .getInverse();
    effects = covariance.operate(right);
    groupLevels = new double[groups.size()];
    groups.forEach((number, group) -> groupLevels[number] = groupLevel(group));
  }

  private double[][] priorPrecision() {
    int size = familyCount * (1 + methodCount);
    double[][] precision = new double[size][size];
    for (int f = 0; f < familyCount; f++) {
      precision[f][f] += 1 / (PRIOR_SIGMA * PRIOR_SIGMA);
      for (int m = 0; m < methodCount; m++) {
        connect(precision, f, effectIndex(f, m), 1 / tauSquared);
      }
    }
    return precision;
  }

  /** Two values are alike, with that precision. */
  private static void connect(double[][] precision, int a, int b, double by) {
    precision[a][a] += by;
    precision[b][b] += by;
    precision[a][b] -= by;
    precision[b][a] -= by;
  }

  /** Adds a group's points with the group's own level taken out. */
  private void addGroup(List<Integer> group, double[][] precision, double[] right) {
    double all = 0;
    double mean = 0;
    for (int i : group) {
      all += weight(i);
      mean += weight(i) * points.get(i).mean();
    }
    mean /= all;
    for (int i : group) {
      int at = effectIndex(points.get(i));
      double own = weight(i);
      right[at] += own * (points.get(i).mean() - mean);
      precision[at][at] += own;
      for (int j : group) {
        precision[at][effectIndex(points.get(j))] -= own * weight(j) / all;
      }
    }
  }

  private double groupLevel(List<Integer> group) {
    double all = 0;
    double sum = 0;
    for (int i : group) {
      all += weight(i);
      sum += weight(i) * (points.get(i).mean() - effects[effectIndex(points.get(i))]);
    }
    return sum / all;
  }

  /** Observations beyond one in each group. */
  private int degreesOfFreedom() {
    return points.size() - groups.size();
  }

  /** What strays beyond each cell's own error; and cells far off count less from now on. */
  private void updateOmegaAndWeights() {
    double beyond = 0;
    double share = 0;
    for (int i = 0; i < points.size(); i++) {
      FitData.Point one = points.get(i);
      double residual = one.mean() - groupLevels[one.group()] - effects[effectIndex(one)];
      double error = Math.sqrt(one.variance() + omegaSquared);
      weights[i] = Math.min(1, HUBER_STANDARD_ERRORS * error / Math.max(Math.abs(residual), 1e-9));
      double clipped = Math.min(residual * residual, MAX_SQUARED_ERRORS * error * error);
      beyond += clipped / one.variance();
      share += 1 / one.variance();
    }
    int freedom = degreesOfFreedom();
    if (freedom > 0) {
      omegaSquared =
          Math.max(MIN_OMEGA_SQUARED, (beyond * points.size() / freedom - points.size()) / share);
    }
  }

  /** How far methods stray around their families. */
  private void updateTau() {
    double sum = 0;
    int count = 0;
    for (int f = 0; f < familyCount; f++) {
      for (int m = 0; m < methodCount; m++) {
        int at = effectIndex(f, m);
        double off = effects[at] - effects[f];
        sum +=
            off * off
                + covariance.getEntry(at, at)
                + covariance.getEntry(f, f)
                - 2 * covariance.getEntry(at, f);
        count++;
      }
    }
    tauSquared = Math.max(MIN_TAU * MIN_TAU, Math.min(MAX_TAU * MAX_TAU, sum / count));
  }

  private HardwareModel model(long number, long newestWindow) {
    HardwareModel.Estimate[][][] times =
        new HardwareModel.Estimate[methodCount + 1][familyCount][familyCount];
    for (int m = 0; m <= methodCount; m++) {
      for (int a = 0; a < familyCount; a++) {
        for (int b = 0; b < familyCount; b++) {
          times[m][a][b] =
              m == methodCount
                  ? difference(a, b)
                  : difference(effectIndex(a, m), effectIndex(b, m));
        }
      }
    }
    ConcurrencyEstimator concurrency = new ConcurrencyEstimator(data.depthPoints(), omegaSquared);
    HardwareModel.Estimate[] cores = new HardwareModel.Estimate[familyCount];
    Arrays.setAll(cores, concurrency::estimate);
    return new HardwareModel(
        number,
        newestWindow,
        data.families(),
        data.methods(),
        times,
        cores,
        Math.max(MIN_DEGREES_OF_FREEDOM, degreesOfFreedom() - familyCount));
  }

  private HardwareModel.Estimate difference(int one, int other) {
    double variance =
        covariance.getEntry(one, one)
            + covariance.getEntry(other, other)
            - 2 * covariance.getEntry(one, other);
    return new HardwareModel.Estimate(
        effects[one] - effects[other], Math.sqrt(Math.max(0, variance)));
  }
}
