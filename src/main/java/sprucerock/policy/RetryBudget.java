package sprucerock.policy;

import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Limits retries, hedged requests and attempts at outliers to one per twenty requests. This is
 * enough to bypass a lost endpoint, and too little for a retry storm. Shadow requests are held back
 * while the budget is used up, but do not use it.
 */
final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.05;

  private final RelayActions actions;
  private final ArrivalRate arrivals;
  private final DecayingSum retries = new DecayingSum(TimeSpan.ofMs(5000));

  RetryBudget(RelayActions actions, ArrivalRate arrivals) {
    this.actions = actions;
    this.arrivals = arrivals;
  }

  boolean hasCapacity() {
    return retries.at(actions.now()) < 1 + RETRIES_PER_REQUEST * arrivals.decayingCount();
  }

  void spend(Timestamp now) {
    retries.add(now, 1);
  }
}
