package sprucerock.hardware;

import java.util.List;

/**
 * How many attempts an endpoint of a family serves side by side before they slow each other: read
 * off how times grow with what it holds. As long as cores are free not at all, then in step. A
 * posterior over a grid of numbers of cores.
 */
final class ConcurrencyEstimator {
  /** Logarithms, from half a core to 128, by a twentieth of a doubling. */
  private static final double[] LOG_CORES_GRID = new double[161];

  /** Before anything is seen four cores, give or take a factor of four; as a logarithm. */
  private static final double PRIOR_LOG_CORES = Math.log(4);

  /** Depths are known to a factor of 1.1 or so. */
  private static final double DEPTH_LOG_ERROR = 0.1;

  private static final double MIN_VARIANCE = 1e-6;

  static {
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      LOG_CORES_GRID[i] = Math.log(0.5) + i * Math.log(2) / 20;
    }
  }

  private final List<FitData.DepthPoint> points;
  private final double extraVariance;

  /** {@code extraVariance}: what cells stray beyond their own errors. */
  ConcurrencyEstimator(List<FitData.DepthPoint> points, double extraVariance) {
    this.points = points;
    this.extraVariance = extraVariance;
  }

  /** The logarithm of a family's concurrency, and its standard error. */
  HardwareModel.Estimate estimate(int family) {
    double[] logLikelihoods = new double[LOG_CORES_GRID.length];
    double best = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      logLikelihoods[i] = logLikelihood(family, LOG_CORES_GRID[i]);
      best = Math.max(best, logLikelihoods[i]);
    }
    double all = 0;
    double mean = 0;
    double square = 0;
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      double weight = Math.exp(logLikelihoods[i] - best);
      all += weight;
      mean += weight * LOG_CORES_GRID[i];
      square += weight * LOG_CORES_GRID[i] * LOG_CORES_GRID[i];
    }
    mean /= all;
    return new HardwareModel.Estimate(
        mean, Math.sqrt(Math.max(square / all - mean * mean, MIN_VARIANCE)));
  }

  private double logLikelihood(int family, double logCores) {
    double sum = -0.5 * Math.pow((logCores - PRIOR_LOG_CORES) / Math.log(4), 2);
    for (FitData.DepthPoint one : points) {
      if (one.familyIndex() != family) {
        continue;
      }
      double residual =
          one.logSlowdown() - Math.max(0, Math.log(one.concurrentAttempts()) - logCores);
      sum -=
          0.5
              * residual
              * residual
              / (one.variance() + extraVariance + DEPTH_LOG_ERROR * DEPTH_LOG_ERROR);
    }
    return sum;
  }
}
