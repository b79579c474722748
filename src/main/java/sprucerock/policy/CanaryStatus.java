package sprucerock.policy;

import java.util.Collection;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.RolloutState;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.time.Timestamp;

/**
 * The one owner of what this relay knows of the listed builds and of the canary's rollout. Only
 * {@link RoutingPolicy} changes it; all other types of this package read it.
 */
final class CanaryStatus {
  private final int methodCount;
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final Set<Integer> withdrawnBuilds = new TreeSet<>(); // that discovery may list on
  private CanaryTrial trial;
  private RolloutState state;
  private double cap;

  /** For so many methods. */
  CanaryStatus(int methods) {
    this.methodCount = methods;
  }

  /** The build offered last and what is known of it; null before the first news. */
  CanaryTrial trial() {
    return trial;
  }

  RolloutState state() {
    return state;
  }

  /** The greatest share of requests, 0 to 1, that the canary may get. */
  double cap() {
    return cap;
  }

  /** Listed builds in ascending order of their numbers. */
  Collection<Build> buildsAscending() {
    return builds.values();
  }

  /** Listed builds, the newest first. */
  Collection<Build> buildsDescending() {
    return builds.descendingMap().values();
  }

  void endpointReady(Endpoint endpoint) {
    builds.put(endpoint.build.number, endpoint.build);
  }

  void endpointDraining(Endpoint endpoint) {
    if (endpoint.build.endpoints.isEmpty()) {
      builds.remove(endpoint.build.number);
    }
  }

  /** Takes in news of a rollout; returns whether a new stage, or state, begins with it. */
  boolean update(Build build, int stage, RolloutState newState, double newCap, Timestamp since) {
    if (!isCanary(build)) {
      rememberWithdrawn();
      trial = new CanaryTrial(build, methodCount);
    }
    boolean enters = trial.evidence() == null || stage != trial.stage() || newState != state;
    if (enters) {
      trial.enterStage(stage, since, newState == RolloutState.RELEASED);
    }
    state = newState;
    cap = newCap;
    if (state == RolloutState.ON_TRIAL) {
      trial.markSeenOnTrial();
    } else {
      trial.stickyKeys.clear();
    }
    return enters;
  }

  // A build that goes back is off trial once the next is offered, and newer than the one that
  // serves. While discovery is silent its endpoints stay listed, but they drain and stop: all
  // traffic would go there.
  private void rememberWithdrawn() {
    withdrawnBuilds.retainAll(builds.keySet()); // no more of them than builds are listed, and one
    boolean goesBack = state == RolloutState.GOING_BACK || state == RolloutState.WITHDRAWN;
    if (goesBack) {
      withdrawnBuilds.add(trial.build.number);
    }
  }

  boolean isWithdrawn(Build build) {
    return withdrawnBuilds.contains(build.number);
  }

  /** Whether it is the build that was offered last, whatever became of it. */
  boolean isCanary(Build build) {
    return trial != null && build.number == trial.build.number;
  }

  /** Whether a build's share is limited: newer than the baseline and not released. */
  boolean isOnTrial(Build build) {
    if (trial == null) {
      return !builds.isEmpty() && build.number > builds.firstKey();
    }
    return build.number > trial.build.number || isCanary(build) && state != RolloutState.RELEASED;
  }

  boolean isReleased() {
    return state == RolloutState.RELEASED;
  }

  /** Notes an attempt that ended at the canary. */
  void attemptEnded(Attempt attempt) {
    trial.attemptEnded(attempt, isReleased());
  }

  /** The build that pairs can judge now; null where there is none. */
  Build judgedBuild() {
    boolean judged =
        trial != null && state == RolloutState.ON_TRIAL && !trial.build.endpoints.isEmpty();
    return judged ? trial.build : null;
  }
}
