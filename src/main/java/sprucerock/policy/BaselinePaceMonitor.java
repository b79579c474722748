package sprucerock.policy;

import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.Slowdown;
import sprucerock.stats.RelativeSlowness;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Whether the baseline got slower since the canary was offered, and whether that follows the
 * exposure.
 *
 * <p>A build may slow old and new endpoints alike, and then every pair matches. So where the
 * baseline runs slower than before the offer, shadow requests stop for a while: if the pace comes
 * back, and goes again as they do, it follows exposure and the build is to blame; else the build is
 * excused until the pace is good. All relays see the same, so they stop together. Harms where an
 * outside slowdown comes in step.
 */
final class BaselinePaceMonitor {
  /** Sources of {@link #observe}. */
  static final int OWN_ATTEMPTS = 0;

  static final int FLEET_COUNTS = 1;

  private static final int SOURCES = 2;
  private static final double IGNORED_AFTER_START_MS =
      2000; // a fleet that just woke has no queues yet
  private static final double WATCH_AFTER_RELEASE_MS = 15000;
  private static final double GOOD_LOG_SLOWDOWN = 0.2; // in logarithms
  private static final TimeSpan MIN_PAUSE_LENGTH = TimeSpan.ofMs(500);
  private static final double PAUSE_AFTER_SLOW_MS = 700;
  private static final double DOUBT_AFTER_RESUMING_MS = 3000;
  private static final double QUEUE_DRAIN_MS = 5000; // twice what a queue needs to drain

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
      Timestamp started) {
    this.actions = actions;
    this.canary = canary;
    this.arrivals = arrivals;
    this.startedAt = started;
    slowness =
        new RelativeSlowness(
            settings.methods.size(), SOURCES, TimeSpan.ofMs(20000), TimeSpan.ofMs(3000));
  }

  void observe(int source, Method method, double ms, double weight) {
    Timestamp now = actions.now();
    if (!TimeChecks.longerThan(IGNORED_AFTER_START_MS, startedAt, now)) {
      return;
    }
    boolean before =
        !isActive(now) || canary.trial().stage() == 0; // its few attempts slow nothing much
    if (before) {
      slowness.addBaseline(source, method.index, ms, weight, now);
    } else {
      slowness.add(source, method.index, ms, weight, now);
    }
  }

  /** The canary is on trial, or released so lately that all traffic shows what it is like. */
  boolean isActive(Timestamp now) {
    boolean released = canary.isReleased() && canary.trial().isSeenOnTrial();
    return canary.state() == RolloutState.ON_TRIAL
        || released
            && !TimeChecks.longerThan(
                WATCH_AFTER_RELEASE_MS + arrivals.fleetCountsLagMs(),
                canary.trial().stageStartedAt(),
                now);
  }

  /** How much slower than before the offer, in logarithms. */
  double meanLogSlowdown(Timestamp now) {
    return slowness.mean(now);
  }

  /** By half and thrice what chance gives; logarithms stray by 0.9. */
  boolean isSlowed(Timestamp now) {
    double count = slowness.weight(now);
    return count >= 2 && slowness.mean(now) > Math.max(0.4, 2.7 / Math.sqrt(count));
  }

  /** Stops and resumes shadow requests, and counts how often the pace followed them. */
  void updateShadowPause(Timestamp now) {
    Slowdown slowdown = canary.trial().slowdown;
    if (slowness.mean(now) < GOOD_LOG_SLOWDOWN) {
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
              QUEUE_DRAIN_MS + arrivals.fleetCountsLagMs(), slowdown.resumedAt(), now)) {
        slowdown.blameCanary();
      }
      slowdown.pause(now);
    }
    if (TimeChecks.longerThan(
        QUEUE_DRAIN_MS + arrivals.fleetCountsLagMs(), slowdown.pausedAt(), now)) {
      slowdown.clearCanary();
    }
  }

  /** Whether a slowdown is being looked into, so that no stage may move on. */
  boolean isInvestigating(Timestamp now) {
    Slowdown slowdown = canary.trial().slowdown;
    return slowdown.pausedAt() != null
        || slowdown.slowSince() != null && !slowdown.isCanaryCleared()
        || slowdown.resumedAt() != null
            && !TimeChecks.longerThan(
                DOUBT_AFTER_RESUMING_MS + arrivals.fleetCountsLagMs(), slowdown.resumedAt(), now);
  }

  /** The pace followed the exposure: once by the fleet's counts, which stray less, else twice. */
  boolean isCanaryBlamed() {
    return canary.trial().slowdown.blameCount() > (arrivals.reliesOnFleetCounts() ? 0 : 1);
  }
}
