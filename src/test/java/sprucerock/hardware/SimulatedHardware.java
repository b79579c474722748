package sprucerock.hardware;

import java.util.SplittableRandom;

/**
 * Families as they truly are, and what relays see of them: work of an exponential length, cores
 * that it shares, units that differ a little.
 */
final class SimulatedHardware {
  static final double[] WORK_MS = {8, 20, 3};

  final double[] speed;
  final double[] cores;

  /** By family and method: what a method makes of a family beyond its speed. */
  final double[][] bent;

  private final SplittableRandom random;
  private final double[] level = new double[WORK_MS.length];

  SimulatedHardware(long seed, int families) {
    random = new SplittableRandom(seed);
    speed = new double[families];
    cores = new double[families];
    bent = new double[families][WORK_MS.length];
    for (int f = 0; f < families; f++) {
      speed[f] = Math.exp(0.5 * gauss());
      cores[f] = 1 << random.nextInt(5);
      for (int m = 0; m < WORK_MS.length; m++) {
        bent[f][m] = Math.exp(0.08 * gauss());
      }
    }
  }

  double gauss() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  double time(int family, int method) {
    return bent[family][method] / speed[family];
  }

  double capacity(int family, int method) {
    return cores[family] / time(family, method);
  }

  /** A window begins: each method's requests are of another mix now. */
  void window() {
    for (int m = 0; m < level.length; m++) {
      level[m] = 0.3 * gauss();
    }
  }

  /** One pick of a method on a family that held so many others. */
  double ms(int family, int method, int others, double slower) {
    double work = -Math.log(1 - random.nextDouble()) * WORK_MS[method] * Math.exp(level[method]);
    return Math.max(work, 0.01)
        * time(family, method)
        * Math.max(1, (others + 1) / cores[family])
        * slower
        * Math.exp(0.03 * gauss());
  }

  int draw(int most) {
    return random.nextInt(most);
  }

  /** So many windows of so many picks each, over all families and methods, by some relays. */
  Observation seen(int windows, int attempts, int relays) {
    Observation seen = new Observation();
    for (int w = 1; w <= windows; w++) {
      window();
      SampleSums[] tallies = new SampleSums[relays];
      for (int r = 0; r < relays; r++) {
        tallies[r] = new SampleSums(r, w);
      }
      for (int i = 0; i < attempts; i++) {
        int family = draw(speed.length);
        int method = draw(WORK_MS.length);
        int others = random.nextInt(3) == 0 ? draw(64) : 0;
        tallies[draw(relays)].add(method, family, 1, others, ms(family, method, others, 1));
      }
      for (SampleSums one : tallies) {
        seen.add(one);
      }
    }
    return seen;
  }
}
