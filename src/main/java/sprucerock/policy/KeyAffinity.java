package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.stats.KeyedSums;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Keeps the requests of a key at the canary once the canary has answered one of them, for services
 * where an earlier build cannot read a later build's data. Popular keys are kept off the canary:
 * the traffic of all sticky keys must fit into half the exposure cap.
 */
final class KeyAffinity {
  private static final int MAX_KEYS = 4096;

  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;

  // Holds the most recently used keys, so that popular ones stay.
  private final KeyedSums keyArrivals = new KeyedSums(TimeSpan.ofMs(20000), MAX_KEYS);

  KeyAffinity(RelayActions actions, Settings settings, CanaryStatus canary, ArrivalRate arrivals) {
    this.actions = actions;
    this.settings = settings;
    this.canary = canary;
    this.arrivals = arrivals;
  }

  void requestArrived(Rpc rpc, Timestamp now) {
    if (settings.oneWayKeys) {
      keyArrivals.add(rpc.key, now, 1);
    }
  }

  boolean isSticky(Rpc rpc) {
    return canary.trial().stickyKeys.contains(rpc.key);
  }

  /** The earliest build that may get the request's key; null if any build may. */
  Build minimumBuild(Rpc rpc) {
    boolean hasKey = canary.trial() != null && settings.oneWayKeys && rpc.key != 0;
    if (!hasKey) {
      return null;
    }
    // After its release, a build keeps all keys. Otherwise they would go back during a rollback, to
    // endpoints of the earlier build that discovery lists before the controller reports the
    // rollback.
    CanaryTrial trial = canary.trial();
    return canary.isReleased() || trial.stickyKeys.contains(rpc.key) ? trial.build : null;
  }

  /** Whether the build may get the request, by its key. */
  boolean allows(Rpc rpc, Build build) {
    Build minimumBuild = minimumBuild(rpc);
    return minimumBuild == null || build.number >= minimumBuild.number;
  }

  /**
   * Reserves the share of traffic that the key brings if it becomes sticky; returns false if the
   * share does not fit.
   */
  boolean reserveShare(Rpc rpc) {
    if (!settings.oneWayKeys || rpc.key == 0) {
      return true;
    }
    Timestamp now = actions.now();
    double share = keyArrivals.perSecond(rpc.key, now) / Math.max(arrivals.perSecond(now), 1e-9);
    if (canary.trial().stickyKeys.reservedShare() + share > 0.5 * canary.cap()) {
      return false;
    }
    canary.trial().stickyKeys.reserve(share);
    return true;
  }

  /** Makes the key of a request that the canary answered sticky. */
  void canaryAnswered(Attempt attempt) {
    Rpc rpc = attempt.rpc;
    if (canary.state() == RolloutState.ON_TRIAL && settings.oneWayKeys && rpc.key != 0) {
      canary.trial().stickyKeys.add(rpc.key);
    }
  }
}
