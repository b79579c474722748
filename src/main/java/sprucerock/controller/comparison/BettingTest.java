package sprucerock.controller.comparison;

/**
 * Evidence that may be looked at all the time: the wealth of somebody who bets, again and again,
 * that values are above zero in the mean. If each value's expectation, given all before it, is zero
 * at most, the wealth passes 1/a at any time with a chance of a at most, however often one looks
 * (Ville 1939; testing by betting: Waudby-Smith and Ramdas, "Estimating means of bounded random
 * variables by betting", 2024). The stakes need not be tuned: the wealth is shared out among a few
 * of them and the best one soon holds nearly all of it.
 */
final class BettingTest {
  // halves from what loses nothing on noise to what a value of -1 just does not ruin
  private static final double[] STAKES = {0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9};

  private final double[] logWealthByStake = new double[STAKES.length];
  private double maxLogWealth;

  /** One more value, from -1 to 1; what lies beyond counts as these. */
  void add(double value) {
    double bounded = Math.max(-1, Math.min(1, value));
    for (int i = 0; i < STAKES.length; i++) {
      logWealthByStake[i] += Math.log1p(STAKES[i] * bounded);
    }
    maxLogWealth = Math.max(maxLogWealth, logWealth());
  }

  /** The logarithm of the wealth now; it began at 0. */
  double logWealth() {
    double best = Double.NEGATIVE_INFINITY;
    for (double one : logWealthByStake) {
      best = Math.max(best, one);
    }
    double sum = 0;
    for (double one : logWealthByStake) {
      sum += Math.exp(one - best);
    }
    return best + Math.log(sum / logWealthByStake.length);
  }

  /** Whether the wealth ever passed {@code 1 / chance}. */
  boolean everExceeded(double chance) {
    return maxLogWealth > -Math.log(chance);
  }
}
