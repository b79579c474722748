package sprucerock.hardware;

import java.util.SplittableRandom;

/**
 * Hardware families with known speed and cores, and the observations of relays. The work of an
 * attempt has an exponential distribution, attempts share the cores, and endpoints differ a little.
 */
final class SimulatedHardware {
  static final double[] WORK_MS = {8, 20, 3};

  final double[] speed;
  final double[] cores;

  /** By family and method: the factor of a method's times beyond the family's speed. */
  final double[][] methodFactors;

  private final SplittableRandom random;
  private final double[] methodLogLevels = new double[WORK_MS.length];

  SimulatedHardware(long seed, int families) {
    random = new SplittableRandom(seed);
    speed = new double[families];
    cores = new double[families];
    methodFactors = new double[families][WORK_MS.length];
    for (int f = 0; f < families; f++) {
      speed[f] = Math.exp(0.5 * gaussian());
      cores[f] = 1 << random.nextInt(5);
      for (int m = 0; m < WORK_MS.length; m++) {
        methodFactors[f][m] = Math.exp(0.08 * gaussian());
      }
    }
  }

  double gaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  double timeFactor(int family, int method) {
    return methodFactors[family][method] / speed[family];
  }

  double capacity(int family, int method) {
    return cores[family] / timeFactor(family, method);
  }

  /** Begins a window, in which each method has another mix of requests. */
  void beginWindow() {
    for (int m = 0; m < methodLogLevels.length; m++) {
      methodLogLevels[m] = 0.3 * gaussian();
    }
  }

  /**
   * Returns the duration of one attempt.
   *
   * @param others the number of other attempts that the endpoint has in flight
   * @param slowdown a factor of the duration
   */
  double attemptMs(int family, int method, int others, double slowdown) {
    double work =
        -Math.log(1 - random.nextDouble()) * WORK_MS[method] * Math.exp(methodLogLevels[method]);
    return Math.max(work, 0.01)
        * timeFactor(family, method)
        * Math.max(1, (others + 1) / cores[family])
        * slowdown
        * Math.exp(0.03 * gaussian());
  }

  int randomInt(int bound) {
    return random.nextInt(bound);
  }

  /**
   * Returns observations of attempts over all families and methods.
   *
   * @param attempts the number of attempts in each window
   */
  Observation observe(int windows, int attempts, int relays) {
    Observation observation = new Observation();
    for (int w = 1; w <= windows; w++) {
      beginWindow();
      SampleSums[] sums = new SampleSums[relays];
      for (int r = 0; r < relays; r++) {
        sums[r] = new SampleSums(r, w);
      }
      for (int i = 0; i < attempts; i++) {
        int family = randomInt(speed.length);
        int method = randomInt(WORK_MS.length);
        int others = random.nextInt(3) == 0 ? randomInt(64) : 0;
        sums[randomInt(relays)].add(
            method, family, 1, others, attemptMs(family, method, others, 1));
      }
      for (SampleSums sumsOfRelay : sums) {
        observation.add(sumsOfRelay);
      }
    }
    return observation;
  }
}
