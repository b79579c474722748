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
 * Keeps a key at the build that answered it, where data of one build can't be read by an earlier
 * one, and keeps popular keys off the canary: half the cap must carry what sticky keys bring.
 */
final class KeyAffinity {
  private static final int MAX_KEYS = 4096;

  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;
  private final KeyedSums keyArrivals =
      new KeyedSums(TimeSpan.ofMs(20000), MAX_KEYS); // of popular keys

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

  /** The build under which the request's key must not go; null where any will do. */
  Build minimumBuild(Rpc rpc) {
    boolean keyed = canary.trial() != null && settings.oneWayKeys && rpc.key != 0;
    if (!keyed) {
      return null;
    }
    // once released, a build has every key: earlier endpoints may be listed before news that it
    // goes back
    CanaryTrial trial = canary.trial();
    return canary.isReleased() || trial.stickyKeys.contains(rpc.key) ? trial.build : null;
  }

  /** Takes in the share of the traffic that the key brings if it sticks; false if too large. */
  boolean reserveShare(Rpc rpc) {
    if (!settings.oneWayKeys || rpc.key == 0) {
      return true;
    }
    Timestamp now = actions.now();
    double share = keyArrivals.perSecond(rpc.key, now) / Math.max(arrivals.perSecond(now), 1e-9);
    if (canary.trial().stickyKeys.share() + share > 0.5 * canary.cap()) {
      return false;
    }
    canary.trial().stickyKeys.reserve(share);
    return true;
  }

  /** The canary answered: from now on its key stays there. */
  void canaryAnswered(Attempt attempt) {
    Rpc rpc = attempt.rpc;
    if (canary.state() == RolloutState.ON_TRIAL && settings.oneWayKeys && rpc.key != 0) {
      canary.trial().stickyKeys.add(rpc.key);
    }
  }
}
