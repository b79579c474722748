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
 * Estimates the relative speed of hardware families, by weighted least squares over attempts of the
 * same method and build in the same window on endpoints of different families.
 *
 * <p>The logarithm of a time is the sum of the level of its group (window, method, build), the
 * effect of the family for this method, and a residual. The level of each group is eliminated, so
 * that only families observed in the same group are compared directly; other families are compared
 * through families that share a group with each of them. A family's effects for single methods vary
 * around its effect for all methods with standard deviation {@code tau}, which is estimated too
 * (shrinkage as by Efron and Morris, 1975). Cells vary beyond their own errors with standard
 * deviation {@code omega} (DerSimonian and Laird, 1986), so that many attempts in one unusual
 * window do not count as many windows. Outlying cells have less weight (Huber, 1964).
 */
public final class LeastSquaresFit {
  /** The largest number of methods. Further methods are ignored. */
  public static final int MAX_METHODS = 64;

  /** The largest number of families. Further families are ignored. */
  public static final int MAX_FAMILIES = 16;

  // Standard deviations of the prior, in logarithms. A family may be twenty times as fast or as
  // slow as another (three sigma of 1). The effects of a family for single methods vary around its
  // effect for all methods with a standard deviation of up to a half (MAX_TAU).
  private static final double PRIOR_SIGMA = 1;
  private static final double MIN_TAU = 0.01;
  private static final double MAX_TAU = 0.5;
  private static final double INITIAL_TAU = 0.1;
  private static final double INITIAL_OMEGA = 0.05;
  private static final double MIN_OMEGA_SQUARED = 1e-6;

  /** Errors, weights and effects converge within three iterations. */
  private static final int ITERATIONS = 4;

  /** The residual, in standard errors, beyond which a cell has less weight. */
  private static final double HUBER_STANDARD_ERRORS = 2;

  /** The limit of a squared residual in the estimate of omega, in squared standard errors. */
  private static final double MAX_SQUARED_ERRORS = 9;

  private static final int MIN_DEGREES_OF_FREEDOM = 3;
  private static final double SYMMETRY_THRESHOLD = 1e-9;
  private static final double POSITIVITY_THRESHOLD = 1e-12;

  private final FitData data;
  private final List<FitData.Point> points;
  private final int familyCount;
  private final int methodCount;

  /** The indexes of the points of each group, by group number. */
  private final Map<Integer, List<Integer>> groups = new TreeMap<>();

  /** By point: 1, or less if the point is an outlier. */
  private final double[] weights;

  /** The families' effects for all methods, then those for single methods. */
  private double[] effects;

  /** The level of each group, by group number. */
  private double[] groupLevels;

  private RealMatrix covariance;
  private double omegaSquared = INITIAL_OMEGA * INITIAL_OMEGA;
  private double tauSquared = INITIAL_TAU * INITIAL_TAU;

  private LeastSquaresFit(FitData data) {
    this.data = data;
    points = data.points();
    familyCount = data.families().size();
    methodCount = data.methods().size();
    for (int i = 0; i < points.size(); i++) {
      groups.computeIfAbsent(points.get(i).group(), absent -> new ArrayList<>()).add(i);
    }
    weights = new double[points.size()];
    Arrays.fill(weights, 1);
  }

  /**
   * Fits a model to the observations of settled builds. The times of a canary are a property of the
   * build, not of a hardware family.
   *
   * @param observation the observed samples
   * @param firstWindow the first window that counts
   * @param settled returns whether a build counts: a settled build is in no canary trial
   * @param fencingToken the token of the lease under which the model is fitted
   * @return null if no settled build was observed
   */
  public static HardwareModel fit(
      Observation observation, long firstWindow, IntPredicate settled, long fencingToken) {
    FitData data = new FitData(observation.since(firstWindow).values(), settled);
    if (data.points().isEmpty()) {
      return null;
    }
    LeastSquaresFit fit = new LeastSquaresFit(data);
    for (int iteration = 0; iteration < ITERATIONS; iteration++) {
      fit.solve();
      fit.updateOmegaAndWeights();
      fit.updateTau();
    }
    return fit.model(fencingToken, observation.newestWindow());
  }

  /** Returns the index of a family's effect for one method. */
  private int effectIndex(int family, int method) {
    return familyCount + family * methodCount + method;
  }

  private int effectIndex(FitData.Point point) {
    return effectIndex(point.familyIndex(), point.methodIndex());
  }

  private double weight(int i) {
    return weights[i] / (points.get(i).variance() + omegaSquared);
  }

  /** Computes the effects, their covariance and the groups' levels for the present weights. */
  private void solve() {
    double[][] precision = priorPrecision();
    double[] rightSide = new double[precision.length];
    for (List<Integer> group : groups.values()) {
      addGroup(group, precision, rightSide);
    }
    covariance =
        new CholeskyDecomposition(
                MatrixUtils.createRealMatrix(precision), SYMMETRY_THRESHOLD, POSITIVITY_THRESHOLD)
            .getSolver()
            .getInverse();
    effects = covariance.operate(rightSide);
    groupLevels = new double[groups.size()];
    groups.forEach((groupNumber, group) -> groupLevels[groupNumber] = groupLevel(group));
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

  /** Adds the prior that the difference of two effects is zero, with a precision. */
  private static void connect(double[][] precision, int a, int b, double added) {
    precision[a][a] += added;
    precision[b][b] += added;
    precision[a][b] -= added;
    precision[b][a] -= added;
  }

  /** Adds the points of a group, with the level of the group eliminated. */
  private void addGroup(List<Integer> group, double[][] precision, double[] rightSide) {
    double totalWeight = 0;
    double mean = 0;
    for (int i : group) {
      totalWeight += weight(i);
      mean += weight(i) * points.get(i).mean();
    }
    mean /= totalWeight;
    for (int i : group) {
      int effect = effectIndex(points.get(i));
      double weight = weight(i);
      rightSide[effect] += weight * (points.get(i).mean() - mean);
      precision[effect][effect] += weight;
      for (int j : group) {
        precision[effect][effectIndex(points.get(j))] -= weight * weight(j) / totalWeight;
      }
    }
  }

  private double groupLevel(List<Integer> group) {
    double totalWeight = 0;
    double sum = 0;
    for (int i : group) {
      totalWeight += weight(i);
      sum += weight(i) * (points.get(i).mean() - effects[effectIndex(points.get(i))]);
    }
    return sum / totalWeight;
  }

  /** Returns the number of points less one for each group, whose level is estimated. */
  private int degreesOfFreedom() {
    return points.size() - groups.size();
  }

  /** Updates omega, the variation beyond the cells' own errors, and the weights of the cells. */
  private void updateOmegaAndWeights() {
    double scaledResiduals = 0;
    double totalPrecision = 0;
    for (int i = 0; i < points.size(); i++) {
      FitData.Point point = points.get(i);
      double residual = point.mean() - groupLevels[point.group()] - effects[effectIndex(point)];
      double error = Math.sqrt(point.variance() + omegaSquared);
      weights[i] = Math.min(1, HUBER_STANDARD_ERRORS * error / Math.max(Math.abs(residual), 1e-9));
      double clipped = Math.min(residual * residual, MAX_SQUARED_ERRORS * error * error);
      scaledResiduals += clipped / point.variance();
      totalPrecision += 1 / point.variance();
    }
    int freedom = degreesOfFreedom();
    if (freedom > 0) {
      omegaSquared =
          Math.max(
              MIN_OMEGA_SQUARED,
              (scaledResiduals * points.size() / freedom - points.size()) / totalPrecision);
    }
  }

  /** Updates tau, the variation of the methods' effects around the effects of their families. */
  private void updateTau() {
    double sum = 0;
    int count = 0;
    for (int f = 0; f < familyCount; f++) {
      for (int m = 0; m < methodCount; m++) {
        int effect = effectIndex(f, m);
        double deviation = effects[effect] - effects[f];
        sum +=
            deviation * deviation
                + covariance.getEntry(effect, effect)
                + covariance.getEntry(f, f)
                - 2 * covariance.getEntry(effect, f);
        count++;
      }
    }
    tauSquared = Math.max(MIN_TAU * MIN_TAU, Math.min(MAX_TAU * MAX_TAU, sum / count));
  }

  private HardwareModel model(long fencingToken, long newestWindow) {
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
        fencingToken,
        newestWindow,
        data.families(),
        data.methods(),
        times,
        cores,
        Math.max(MIN_DEGREES_OF_FREEDOM, degreesOfFreedom() - familyCount));
  }

  private HardwareModel.Estimate difference(int effect, int other) {
    double variance =
        covariance.getEntry(effect, effect)
            + covariance.getEntry(other, other)
            - 2 * covariance.getEntry(effect, other);
    return new HardwareModel.Estimate(
        effects[effect] - effects[other], Math.sqrt(Math.max(0, variance)));
  }
}
