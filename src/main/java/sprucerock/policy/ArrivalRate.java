package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** How many requests arrive at this relay, and whether that is enough to judge a fleet by. */
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

  /** The decaying count of arrivals. */
  double decayingCount() {
    return arrivals.at(actions.now());
  }

  double perSecond(Timestamp now) {
    return arrivals.perSecond(now);
  }

  boolean isLow(Timestamp now) {
    return arrivals.perSecond(now) < LOW_REQUESTS_PER_SECOND;
  }

  /** Sees too few requests to judge a fleet by itself within some seconds, and gets counts. */
  boolean reliesOnFleetCounts() {
    return settings.fleetCountsPeriod.over(TimeSpan.ZERO) && isLow(actions.now());
  }

  /** How late counts tell of a change, in ms: a period to fill, one to come. */
  double fleetCountsLagMs() {
    return reliesOnFleetCounts() ? 2 * settings.fleetCountsPeriod.ms() : 0;
  }
}
