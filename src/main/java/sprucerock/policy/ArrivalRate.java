package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Measures this relay's request rate, and tells whether the rate suffices to judge the fleet. */
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

  /** The number of requests that arrived; each counts less with age. */
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
   * Whether the controller sends fleet counts, and this relay needs them, as it gets too few
   * requests to judge the fleet within a few seconds.
   */
  boolean reliesOnFleetCounts() {
    return settings.fleetCountsPeriod.over(TimeSpan.ZERO) && isLow(actions.now());
  }

  /**
   * How late fleet counts show a change: they are collected for one period and arrive within
   * another. Zero if this relay does not rely on them.
   */
  double fleetCountsLagMs() {
    return reliesOnFleetCounts() ? 2 * settings.fleetCountsPeriod.ms() : 0;
  }
}
