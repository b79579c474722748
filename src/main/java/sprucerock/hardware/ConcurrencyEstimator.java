package sprucerock.hardware;

import java.util.List;

/**
 * Estimates how many concurrent attempts an endpoint of a hardware family serves before they slow
 * each other down. Times do not grow with the attempts in flight while cores are free, and grow
 * proportionally after that. The estimate is the mean of a posterior distribution over a grid of
 * numbers of cores.
 */
final class ConcurrencyEstimator {
  /** Logarithms of 0.5 to 128 cores, in steps of a twentieth of a doubling. */
  private static final double[] LOG_CORES_GRID = new double[161];

  /** The mean of the prior: four cores, with a standard deviation of a factor of four. */
  private static final double PRIOR_LOG_CORES = Math.log(4);

  /** The error of depths: they are known to a factor of about 1.1. */
  private static final double DEPTH_LOG_ERROR = 0.1;

  private static final double MIN_VARIANCE = 1e-6;

  static {
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      LOG_CORES_GRID[i] = Math.log(0.5) + i * Math.log(2) / 20;
    }
  }

  private final List<FitData.DepthPoint> points;
  private final double extraVariance;

  /**
   * Creates an estimator.
   *
   * @param extraVariance the variance between cells beyond their own errors
   */
  ConcurrencyEstimator(List<FitData.DepthPoint> points, double extraVariance) {
    this.points = points;
    this.extraVariance = extraVariance;
  }

  /**
   * Returns the logarithm of a family's concurrency, and its standard error.
   *
   * @param familyIndex the family's index in the fit data
   */
  HardwareModel.Estimate estimate(int familyIndex) {
    double[] logLikelihoods = new double[LOG_CORES_GRID.length];
    double maxLogLikelihood = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      logLikelihoods[i] = logLikelihood(familyIndex, LOG_CORES_GRID[i]);
      maxLogLikelihood = Math.max(maxLogLikelihood, logLikelihoods[i]);
    }
    double totalWeight = 0;
    double mean = 0;
    double square = 0;
    for (int i = 0; i < LOG_CORES_GRID.length; i++) {
      double weight = Math.exp(logLikelihoods[i] - maxLogLikelihood);
      totalWeight += weight;
      mean += weight * LOG_CORES_GRID[i];
      square += weight * LOG_CORES_GRID[i] * LOG_CORES_GRID[i];
    }
    mean /= totalWeight;
    return new HardwareModel.Estimate(
        mean, Math.sqrt(Math.max(square / totalWeight - mean * mean, MIN_VARIANCE)));
  }

  private double logLikelihood(int familyIndex, double logCores) {
    double sum = -0.5 * Math.pow((logCores - PRIOR_LOG_CORES) / Math.log(4), 2);
    for (FitData.DepthPoint point : points) {
      if (point.familyIndex() != familyIndex) {
        continue;
      }
      double residual =
          point.logSlowdown() - Math.max(0, Math.log(point.concurrentAttempts()) - logCores);
      sum -=
          0.5
              * residual
              * residual
              / (point.variance() + extraVariance + DEPTH_LOG_ERROR * DEPTH_LOG_ERROR);
    }
    return sum;
  }
}
