package sprucerock.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;

/**
 * A reference model of {@link RolloutManager}, written as simply as possible: it keeps all events
 * in lists and answers each query by scanning them. It models {@link RolloutRules.Control#SINGLE}
 * only, without a clock. Times are in milliseconds.
 */
final class ReferenceRolloutManager {
  record CastVote(double atMs, int relay, int build, int stage, Vote vote) {}

  record RecordedTransition(double atMs, int build, int stage, State state) {}

  private final RolloutRules rules;
  private final int fleetSize;
  private final List<CastVote> votes = new ArrayList<>();
  final List<RecordedTransition> transitions = new ArrayList<>();
  private final Map<String, String> deliveries = new HashMap<>();
  private final Map<Integer, String> artifacts = new HashMap<>();
  private final Map<Integer, Integer> readyEndpoints = new HashMap<>();
  private final Map<Integer, Double> endpointsSince = new HashMap<>();
  private final Set<Integer> heldBuilds = new HashSet<>();
  private double heldMs;
  private double heldSinceMs;
  private double clockStartMs = -1;
  private int currentBuild;
  private int previousBuild;

  ReferenceRolloutManager(RolloutRules rules, int fleetSize, int firstBuild) {
    this.rules = rules;
    this.fleetSize = fleetSize;
    currentBuild = firstBuild;
    previousBuild = firstBuild;
    artifacts.put(firstBuild, "");
    transitions.add(
        new RecordedTransition(0, firstBuild, rules.stages().size() - 1, State.RELEASED));
  }

  RecordedTransition lastTransition(int build) {
    RecordedTransition last = null;
    for (RecordedTransition transition : transitions) {
      if (transition.build == build) {
        last = transition;
      }
    }
    return last;
  }

  int currentBuild() {
    return currentBuild;
  }

  private int desiredEndpoints(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * fleetSize - 1e-9));
  }

  private boolean currentStateIs(State state) {
    return lastTransition(currentBuild).state == state;
  }

  /**
   * Counts the relays whose newest counting vote since the last transition is of a kind and has not
   * expired.
   */
  private int count(Vote vote, double nowMs) {
    Map<Integer, CastVote> newest = new HashMap<>();
    for (CastVote cast : votes) {
      if (cast.atMs >= lastTransition(currentBuild).atMs && cast.build == currentBuild) {
        newest.put(cast.relay, cast);
      }
    }
    int count = 0;
    for (CastVote cast : newest.values()) {
      if (cast.vote == vote && nowMs < cast.atMs + rules.voteValidity().ms()) {
        count++;
      }
    }
    return count;
  }

  private void transition(double nowMs, int build, int stage, State state) {
    transitions.add(new RecordedTransition(nowMs, build, stage, state));
    if (build != currentBuild) {
      return;
    }
    votes.clear();
    clockStartMs = -1;
    heldMs = 0;
  }

  RolloutManager.AnnouncementResult announce(
      String delivery, int build, String artifact, double nowMs) {
    String content = build + " " + artifact;
    if (deliveries.containsKey(delivery)) {
      return deliveries.get(delivery).equals(content)
          ? RolloutManager.AnnouncementResult.AGAIN
          : RolloutManager.AnnouncementResult.CONTRADICTS;
    }
    deliveries.put(delivery, content);
    if (artifacts.containsKey(build)) {
      return artifacts.get(build).equals(artifact)
          ? RolloutManager.AnnouncementResult.KNOWN
          : RolloutManager.AnnouncementResult.CONTRADICTS;
    }
    if (artifacts.keySet().stream().anyMatch(announced -> announced > build)) {
      return RolloutManager.AnnouncementResult.TOO_OLD;
    }
    artifacts.put(build, artifact);
    transitions.add(new RecordedTransition(nowMs, build, 0, State.ANNOUNCED));
    for (int earlierBuild : new java.util.TreeSet<>(artifacts.keySet())) {
      if (earlierBuild == build) {
        continue;
      }
      RecordedTransition current = lastTransition(earlierBuild);
      if (current.state == State.ON_TRIAL
          || current.state == State.STARTING
          || current.state == State.ANNOUNCED) {
        transition(nowMs, earlierBuild, current.stage, State.SUPERSEDED);
      }
    }
    startNext(nowMs);
    return RolloutManager.AnnouncementResult.TAKEN;
  }

  private void startNext(double nowMs) {
    if (currentStateIs(State.GOING_BACK)) {
      return;
    }
    for (int build : artifacts.keySet()) {
      if (lastTransition(build).state != State.ANNOUNCED) {
        continue;
      }
      if (currentStateIs(State.RELEASED)) {
        previousBuild = currentBuild;
      }
      currentBuild = build;
      transition(nowMs, build, 0, State.STARTING);
      return;
    }
  }

  boolean castVote(int relay, int build, int stage, Vote vote, double nowMs) {
    boolean onTrial = currentStateIs(State.ON_TRIAL);
    boolean counts =
        build == currentBuild
            && (vote == Vote.NOTHING
                || vote == Vote.ON && onTrial && stage == lastTransition(currentBuild).stage
                || vote == Vote.BACK && (onTrial || underObservation(nowMs)));
    if (!counts) {
      return false;
    }
    votes.add(new CastVote(nowMs, relay, build, stage, vote));
    reconcile(nowMs);
    return true;
  }

  private boolean underObservation(double nowMs) {
    return currentStateIs(State.RELEASED)
        && previousBuild != currentBuild
        && nowMs - lastTransition(currentBuild).atMs <= rules.observationTime().ms();
  }

  void hold(int build, boolean hold, double nowMs) {
    RecordedTransition current = lastTransition(build);
    if (current == null) {
      return;
    }
    boolean inProgress =
        current.state == State.STARTING
            || current.state == State.ON_TRIAL
            || current.state == State.ANNOUNCED;
    if (hold && inProgress && heldBuilds.add(build)) {
      heldSinceMs = nowMs;
    } else if (!hold && heldBuilds.remove(build)) {
      if (build == currentBuild && clockStartMs >= 0) {
        heldMs += nowMs - Math.max(heldSinceMs, clockStartMs);
      }
      reconcile(nowMs);
    }
  }

  void withdraw(int build, double nowMs) {
    RecordedTransition current = lastTransition(build);
    if (current == null) {
      return;
    }
    boolean inProgress =
        current.state == State.STARTING
            || current.state == State.ON_TRIAL
            || current.state == State.ANNOUNCED;
    boolean lastReleased =
        build == currentBuild && current.state == State.RELEASED && previousBuild != build;
    if (!inProgress && !lastReleased) {
      return;
    }
    heldBuilds.remove(build);
    transition(
        nowMs,
        build,
        current.stage,
        current.state == State.ANNOUNCED ? State.WITHDRAWN : State.GOING_BACK);
  }

  void reportEndpoints(int build, int ready, double nowMs) {
    if (!artifacts.containsKey(build)) {
      return;
    }
    readyEndpoints.put(build, ready);
    reconcile(nowMs);
  }

  void reconcile(double nowMs) {
    boolean isHeld = heldBuilds.contains(currentBuild);
    int ready = readyEndpoints.getOrDefault(currentBuild, 0);
    if (currentStateIs(State.STARTING) && !isHeld && ready >= desiredEndpoints(0)) {
      transition(nowMs, currentBuild, 0, State.ON_TRIAL);
      clockStartMs = nowMs;
    }
    if (currentStateIs(State.ON_TRIAL)
        && clockStartMs < 0
        && ready >= desiredEndpoints(lastTransition(currentBuild).stage)) {
      clockStartMs = nowMs;
    }
    boolean onTrial = currentStateIs(State.ON_TRIAL);
    boolean startTimedOut =
        clockStartMs < 0
            && !isHeld
            && nowMs - lastTransition(currentBuild).atMs > rules.startTimeout().ms();
    if ((onTrial || currentStateIs(State.STARTING)) && startTimedOut
        || (onTrial || underObservation(nowMs))
            && count(Vote.BACK, nowMs) >= rules.votesToRollBack()) {
      transition(nowMs, currentBuild, lastTransition(currentBuild).stage, State.GOING_BACK);
    } else if (onTrial
        && clockStartMs >= 0
        && !isHeld
        && nowMs - clockStartMs - heldMs > rules.minStageTime().ms()
        && count(Vote.ON, nowMs) >= rules.votesToAdvance()) {
      int stage = lastTransition(currentBuild).stage;
      boolean lastStage = stage + 1 >= rules.stages().size();
      transition(
          nowMs,
          currentBuild,
          lastStage ? stage : stage + 1,
          lastStage ? State.RELEASED : State.ON_TRIAL);
      if (!lastStage && ready >= desiredEndpoints(stage + 1)) {
        clockStartMs = nowMs;
      }
    } else if (currentStateIs(State.GOING_BACK)
        && nowMs - lastTransition(currentBuild).atMs > rules.rollbackTime().ms()) {
      transition(nowMs, currentBuild, lastTransition(currentBuild).stage, State.WITHDRAWN);
      startNext(nowMs);
    }
  }
}
