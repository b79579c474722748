package sprucerock.controller.comparison;

/**
 * A sequential test by betting: its evidence is the wealth of a bettor who bets repeatedly that the
 * mean of a series of values is above zero. If the expectation of each value, given all values
 * before it, is at most zero, then the probability that the wealth ever exceeds 1/a is at most a,
 * however often the result is read (Ville 1939; testing by betting: Waudby-Smith and Ramdas,
 * "Estimating means of bounded random variables by betting", 2024). The stakes need no tuning: the
 * wealth is divided among a few of them, and the best one soon holds nearly all of it.
 */
final class BettingTest {
  // Steps of about a factor of two, from a stake that loses next to nothing on noise to one
  // of which a value of -1 leaves a tenth.
  private static final double[] STAKES = {0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9};

  private final double[] logWealthByStake = new double[STAKES.length];
  private double maxLogWealth;

  /** Bets on one more value; values below -1 or above 1 count as -1 or 1. */
  void add(double value) {
    double bounded = Math.max(-1, Math.min(1, value));
    for (int i = 0; i < STAKES.length; i++) {
      logWealthByStake[i] += Math.log1p(STAKES[i] * bounded);
    }
    maxLogWealth = Math.max(maxLogWealth, logWealth());
  }

  /** Returns the logarithm of the current wealth; the wealth begins at 1. */
  double logWealth() {
    double best = Double.NEGATIVE_INFINITY;
    for (double logWealth : logWealthByStake) {
      best = Math.max(best, logWealth);
    }
    double sum = 0;
    for (double logWealth : logWealthByStake) {
      sum += Math.exp(logWealth - best);
    }
    return best + Math.log(sum / logWealthByStake.length);
  }

  /** Whether the wealth ever exceeded {@code 1 / probability}. */
  boolean everExceeded(double probability) {
    return maxLogWealth > -Math.log(probability);
  }
}
