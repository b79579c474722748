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
 * Holds this relay's knowledge of the listed builds and of the canary's rollout. Only {@link
 * RoutingPolicy} changes it; all other types of this package only read it.
 */
final class CanaryStatus {
  private final int methodCount;
  private final TreeMap<Integer, Build> builds = new TreeMap<>();

  // Withdrawn builds that discovery may still list.
  private final Set<Integer> withdrawnBuilds = new TreeSet<>();

  private CanaryTrial trial;
  private RolloutState state;
  private double cap;

  /** Creates a status without builds, for {@code methodCount} methods. */
  CanaryStatus(int methodCount) {
    this.methodCount = methodCount;
  }

  /** The trial of the build announced last; null before the first rollout update. */
  CanaryTrial trial() {
    return trial;
  }

  RolloutState state() {
    return state;
  }

  /** The largest share of requests, from 0 to 1, that the canary may get. */
  double cap() {
    return cap;
  }

  /** The listed builds, the oldest first. */
  Collection<Build> buildsAscending() {
    return builds.values();
  }

  /** The listed builds, the newest first. */
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

  /** Applies a rollout update; returns whether a new stage or state begins with the update. */
  boolean update(Build build, int stage, RolloutState newState, double newCap, Timestamp since) {
    if (!isCanary(build)) {
      rememberWithdrawn();
      trial = new CanaryTrial(build, methodCount);
    }
    boolean isNewStageOrState =
        trial.evidence() == null || stage != trial.stage() || newState != state;
    if (isNewStageOrState) {
      trial.enterStage(stage, since, newState == RolloutState.RELEASED);
    }
    state = newState;
    cap = newCap;
    if (state == RolloutState.ON_TRIAL) {
      trial.markSeenOnTrial();
    } else {
      trial.stickyKeys.clear();
    }
    return isNewStageOrState;
  }

  // Once the next build is announced, a withdrawn build no longer counts as on trial, although it
  // is newer than the serving build. Its endpoints drain and stop, but stay listed while discovery
  // is silent. Unless the relay remembers that the build is withdrawn, all traffic goes to them.
  private void rememberWithdrawn() {
    // Forgets withdrawn builds that are no longer listed, which bounds the set to one build more
    // than are listed.
    withdrawnBuilds.retainAll(builds.keySet());
    boolean isWithdrawn = state == RolloutState.GOING_BACK || state == RolloutState.WITHDRAWN;
    if (isWithdrawn) {
      withdrawnBuilds.add(trial.build.number);
    }
  }

  boolean isWithdrawn(Build build) {
    return withdrawnBuilds.contains(build.number);
  }

  /** Whether the build is the one announced last, in any state. */
  boolean isCanary(Build build) {
    return trial != null && build.number == trial.build.number;
  }

  /**
   * Whether the build's share of attempts is limited: the build is newer than the baseline and not
   * released. Before the first rollout update, the oldest listed build counts as the baseline.
   */
  boolean isOnTrial(Build build) {
    if (trial == null) {
      return !builds.isEmpty() && build.number > builds.firstKey();
    }
    return build.number > trial.build.number || isCanary(build) && state != RolloutState.RELEASED;
  }

  boolean isReleased() {
    return state == RolloutState.RELEASED;
  }

  /** Records an attempt that ended at the canary. */
  void attemptEnded(Attempt attempt) {
    trial.attemptEnded(attempt, isReleased());
  }

  /** The canary, if it is on trial and has ready endpoints for shadow pairs; otherwise null. */
  Build judgedBuild() {
    boolean hasJudgedBuild =
        trial != null && state == RolloutState.ON_TRIAL && !trial.build.endpoints.isEmpty();
    return hasJudgedBuild ? trial.build : null;
  }
}
