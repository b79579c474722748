package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Measures the request rate of this relay, and whether it is enough to judge the fleet by. */
final class ArrivalRate {
  private static final double LOW_REQUESTS_PER_SECOND = 10;

  private final RelayActions actions;
  private final Settings settings;
  private final DecayingSum arrivals = new DecayingSum(TimeSpan.ofMs(5000));

  ArrivalRate(RelayActions actions, Settings settings) {
    this.actions = actions;
    this.settings = settings;
  }

  void requestArrived(Timestamp now) {
    arrivals.add(now, 1);
  }

  /** The count of arrivals, decaying with age. */
  double decayingCount() {
    return arrivals.at(actions.now());
  }

  double perSecond(Timestamp now) {
    return arrivals.perSecond(now);
  }

  boolean isLow(Timestamp now) {
    return arrivals.perSecond(now) < LOW_REQUESTS_PER_SECOND;
  }

  /**
   * Whether this relay has too few requests to judge the fleet by itself within some seconds, and
   * the controller sends it fleet counts.
   */
  boolean reliesOnFleetCounts() {
    return settings.countsEvery.over(TimeSpan.ZERO) && isLow(actions.now());
  }

  /** How late fleet counts show a change: one period to collect them, one until they arrive. */
  double fleetCountsLagMs() {
    return reliesOnFleetCounts() ? 2 * settings.countsEvery.ms() : 0;
  }
}
