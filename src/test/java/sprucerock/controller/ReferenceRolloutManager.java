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
 * The same rules once more, as plain as can be: everything that ever happened is kept in lists, and
 * each question is answered by going through all of them. For a count of relays, no clock. Times in
 * milliseconds.
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

  ReferenceRolloutManager(RolloutRules rules, int places, int first) {
    this.rules = rules;
    this.fleetSize = places;
    currentBuild = first;
    previousBuild = first;
    artifacts.put(first, "");
    transitions.add(new RecordedTransition(0, first, rules.stages().size() - 1, State.RELEASED));
  }

  RecordedTransition lastTransition(int build) {
    RecordedTransition found = null;
    for (RecordedTransition one : transitions) {
      if (one.build == build) {
        found = one;
      }
    }
    return found;
  }

  int currentBuild() {
    return currentBuild;
  }

  private int desiredEndpoints(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * fleetSize - 1e-9));
  }

  private boolean currentStateIs(State standing) {
    return lastTransition(currentBuild).state == standing;
  }

  /** Relays whose last fitting vote since the last change is that one, and not too old. */
  private int count(Vote say, double now) {
    Map<Integer, CastVote> newest = new HashMap<>();
    for (CastVote one : votes) {
      if (one.atMs >= lastTransition(currentBuild).atMs && one.build == currentBuild) {
        newest.put(one.relay, one);
      }
    }
    int count = 0;
    for (CastVote one : newest.values()) {
      if (one.vote == say && now < one.atMs + rules.voteValidity().ms()) {
        count++;
      }
    }
    return count;
  }

  private void transition(double now, int build, int stage, State to) {
    transitions.add(new RecordedTransition(now, build, stage, to));
    if (build != currentBuild) {
      return;
    }
    votes.clear();
    clockStartMs = -1;
    heldMs = 0;
  }

  RolloutManager.AnnouncementResult announce(
      String delivery, int build, String artifact, double now) {
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
    if (artifacts.keySet().stream().anyMatch(one -> one > build)) {
      return RolloutManager.AnnouncementResult.TOO_OLD;
    }
    artifacts.put(build, artifact);
    transitions.add(new RecordedTransition(now, build, 0, State.ANNOUNCED));
    for (int other : new java.util.TreeSet<>(artifacts.keySet())) {
      if (other == build) {
        continue;
      }
      RecordedTransition at = lastTransition(other);
      if (at.state == State.ON_TRIAL || at.state == State.STARTING || at.state == State.ANNOUNCED) {
        transition(now, other, at.stage, State.SUPERSEDED);
      }
    }
    startNext(now);
    return RolloutManager.AnnouncementResult.TAKEN;
  }

  private void startNext(double now) {
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
      transition(now, build, 0, State.STARTING);
      return;
    }
  }

  boolean castVote(int relay, int build, int stage, Vote say, double now) {
    boolean trial = currentStateIs(State.ON_TRIAL);
    boolean fits =
        build == currentBuild
            && (say == Vote.NOTHING
                || say == Vote.ON && trial && stage == lastTransition(currentBuild).stage
                || say == Vote.BACK && (trial || underObservation(now)));
    if (!fits) {
      return false;
    }
    votes.add(new CastVote(now, relay, build, stage, say));
    reconcile(now);
    return true;
  }

  private boolean underObservation(double now) {
    return currentStateIs(State.RELEASED)
        && previousBuild != currentBuild
        && now - lastTransition(currentBuild).atMs <= rules.observationTime().ms();
  }

  void hold(int build, boolean on, double now) {
    RecordedTransition at = lastTransition(build);
    if (at == null) {
      return;
    }
    boolean running =
        at.state == State.STARTING || at.state == State.ON_TRIAL || at.state == State.ANNOUNCED;
    if (on && running && heldBuilds.add(build)) {
      heldSinceMs = now;
    } else if (!on && heldBuilds.remove(build)) {
      if (build == currentBuild && clockStartMs >= 0) {
        heldMs += now - Math.max(heldSinceMs, clockStartMs);
      }
      reconcile(now);
    }
  }

  void withdraw(int build, double now) {
    RecordedTransition at = lastTransition(build);
    if (at == null) {
      return;
    }
    boolean running =
        at.state == State.STARTING || at.state == State.ON_TRIAL || at.state == State.ANNOUNCED;
    boolean last = build == currentBuild && at.state == State.RELEASED && previousBuild != build;
    if (!running && !last) {
      return;
    }
    heldBuilds.remove(build);
    transition(
        now, build, at.stage, at.state == State.ANNOUNCED ? State.WITHDRAWN : State.GOING_BACK);
  }

  void reportEndpoints(int build, int many, double now) {
    if (!artifacts.containsKey(build)) {
      return;
    }
    readyEndpoints.put(build, many);
    reconcile(now);
  }

  void reconcile(double now) {
    boolean isHeld = heldBuilds.contains(currentBuild);
    int there = readyEndpoints.getOrDefault(currentBuild, 0);
    if (currentStateIs(State.STARTING) && !isHeld && there >= desiredEndpoints(0)) {
      transition(now, currentBuild, 0, State.ON_TRIAL);
      clockStartMs = now;
    }
    if (currentStateIs(State.ON_TRIAL)
        && clockStartMs < 0
        && there >= desiredEndpoints(lastTransition(currentBuild).stage)) {
      clockStartMs = now;
    }
    boolean trial = currentStateIs(State.ON_TRIAL);
    boolean late =
        clockStartMs < 0
            && !isHeld
            && now - lastTransition(currentBuild).atMs > rules.startTimeout().ms();
    if ((trial || currentStateIs(State.STARTING)) && late
        || (trial || underObservation(now)) && count(Vote.BACK, now) >= rules.votesToRollBack()) {
      transition(now, currentBuild, lastTransition(currentBuild).stage, State.GOING_BACK);
    } else if (trial
        && clockStartMs >= 0
        && !isHeld
        && now - clockStartMs - heldMs > rules.minStageTime().ms()
        && count(Vote.ON, now) >= rules.votesToAdvance()) {
      int stage = lastTransition(currentBuild).stage;
      boolean end = stage + 1 >= rules.stages().size();
      transition(now, currentBuild, end ? stage : stage + 1, end ? State.RELEASED : State.ON_TRIAL);
      if (!end && there >= desiredEndpoints(stage + 1)) {
        clockStartMs = now;
      }
    } else if (currentStateIs(State.GOING_BACK)
        && now - lastTransition(currentBuild).atMs > rules.rollbackTime().ms()) {
      transition(now, currentBuild, lastTransition(currentBuild).stage, State.WITHDRAWN);
      startNext(now);
    }
  }
}
