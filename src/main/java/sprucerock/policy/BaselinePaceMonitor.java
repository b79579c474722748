package sprucerock.policy;

import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.Slowdown;
import sprucerock.stats.RelativeSlowness;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Detects whether the baseline got slower since the canary trial began, and whether the slowdown
 * follows the canary's exposure.
 *
 * <p>A build may slow down old and new endpoints alike, so that the latencies of every shadow pair
 * match. When the baseline is slower than before the trial, shadow requests are therefore paused.
 * If latencies recover during the pause and get worse again after it, the slowdown follows the
 * canary's exposure, and the build is blamed. If latencies do not recover during the pause, the
 * build is not blamed until they do. All relays see the same slowdown, so they pause at about the
 * same time. If a slowdown with another cause coincides with the pauses, the build is blamed
 * wrongly.
 */
final class BaselinePaceMonitor {
  /** Source of latencies for {@link #observe}: this relay's attempts. */
  static final int OWN_ATTEMPTS = 0;

  /** Source of latencies for {@link #observe}: the controller's counts. */
  static final int FLEET_COUNTS = 1;

  private static final int SOURCE_COUNT = 2;

  // A fleet that has just started has no queues yet, so its latencies are not comparable.
  private static final double IGNORED_AFTER_START_MS = 2000;

  private static final double ACTIVE_AFTER_RELEASE_MS = 15000;
  private static final double RECOVERED_LOG_SLOWDOWN = 0.2;
  private static final TimeSpan MIN_PAUSE_LENGTH = TimeSpan.ofMs(500);
  private static final double PAUSE_AFTER_SLOW_MS = 700;
  private static final double INVESTIGATE_AFTER_RESUMING_MS = 3000;

  // Twice the time in which a queue drains.
  private static final double RECOVERY_WINDOW_MS = 5000;

  private final RelayActions actions;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;
  private final Timestamp startedAt;
  private final RelativeSlowness slowness;

  BaselinePaceMonitor(
      RelayActions actions,
      Settings settings,
      CanaryStatus canary,
      ArrivalRate arrivals,
      Timestamp startedAt) {
    this.actions = actions;
    this.canary = canary;
    this.arrivals = arrivals;
    this.startedAt = startedAt;
    slowness =
        new RelativeSlowness(
            settings.methods.size(), SOURCE_COUNT, TimeSpan.ofMs(20000), TimeSpan.ofMs(3000));
  }

  /** Adds a latency in milliseconds, which stands for {@code weight} attempts. */
  void observe(int source, Method method, double ms, double weight) {
    Timestamp now = actions.now();
    if (!TimeChecks.longerThan(IGNORED_AFTER_START_MS, startedAt, now)) {
      return;
    }
    // The few canary attempts of the first stage hardly slow down the baseline, so that stage
    // belongs to the baseline period.
    boolean isBaselinePeriod = !isActive(now) || canary.trial().stage() == 0;
    if (isBaselinePeriod) {
      slowness.addBaseline(source, method.index, ms, weight, now);
    } else {
      slowness.add(source, method.index, ms, weight, now);
    }
  }

  /**
   * Whether the canary is judged at present: while it is on trial, and, if this relay saw the
   * trial, for some time after its release, when it serves all traffic.
   */
  boolean isActive(Timestamp now) {
    boolean recentlyReleased = canary.isReleased() && canary.trial().isSeenOnTrial();
    return canary.state() == RolloutState.ON_TRIAL
        || recentlyReleased
            && !TimeChecks.longerThan(
                ACTIVE_AFTER_RELEASE_MS + arrivals.fleetCountsLagMs(),
                canary.trial().stageStartedAt(),
                now);
  }

  /** Mean logarithm of the slowdown since the trial began. */
  double meanLogSlowdown(Timestamp now) {
    return slowness.mean(now);
  }

  /**
   * Whether the baseline is slower by more than about half (0.4 as a logarithm) and by more than
   * three standard errors. One standard error is 0.9, the standard deviation of the logarithms,
   * divided by the root of their weight; hence 2.7.
   */
  boolean isSlowed(Timestamp now) {
    double count = slowness.weight(now);
    return count >= 2 && slowness.mean(now) > Math.max(0.4, 2.7 / Math.sqrt(count));
  }

  /**
   * Pauses or resumes shadow requests as the baseline slows down or recovers, and counts the
   * slowdowns that began soon after shadow requests resumed.
   */
  void updateShadowPause(Timestamp now) {
    Slowdown slowdown = canary.trial().slowdown;
    if (slowness.mean(now) < RECOVERED_LOG_SLOWDOWN) {
      slowdown.end();
      if (slowdown.pausedAt() != null && now.since(slowdown.pausedAt()).over(MIN_PAUSE_LENGTH)) {
        slowdown.resume(now);
      }
    } else if (slowdown.slowSince() == null && isSlowed(now)) {
      slowdown.begin(now);
    }
    if (slowdown.pausedAt() == null
        && !slowdown.isCanaryCleared()
        && TimeChecks.longerThan(PAUSE_AFTER_SLOW_MS, slowdown.slowSince(), now)) {
      if (slowdown.resumedAt() != null
          && !TimeChecks.longerThan(
              RECOVERY_WINDOW_MS + arrivals.fleetCountsLagMs(), slowdown.resumedAt(), now)) {
        slowdown.blameCanary();
      }
      slowdown.pause(now);
    }
    if (TimeChecks.longerThan(
        RECOVERY_WINDOW_MS + arrivals.fleetCountsLagMs(), slowdown.pausedAt(), now)) {
      slowdown.clearCanary();
    }
  }

  /** Whether a slowdown is being investigated; the stage must not advance meanwhile. */
  boolean isInvestigating(Timestamp now) {
    Slowdown slowdown = canary.trial().slowdown;
    return slowdown.pausedAt() != null
        || slowdown.slowSince() != null && !slowdown.isCanaryCleared()
        || slowdown.resumedAt() != null
            && !TimeChecks.longerThan(
                INVESTIGATE_AFTER_RESUMING_MS + arrivals.fleetCountsLagMs(),
                slowdown.resumedAt(),
                now);
  }

  /**
   * Whether the slowdown followed the canary's exposure: once if measured by fleet counts, which
   * vary less, otherwise twice.
   */
  boolean isCanaryBlamed() {
    return canary.trial().slowdown.blameCount() > (arrivals.reliesOnFleetCounts() ? 0 : 1);
  }
}
