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
final class PlainReleases {
  record CastVote(double at, int relay, int build, int stage, Vote say) {}

  record Change(double at, int build, int stage, State to) {}

  private final RolloutRules rules;
  private final int places;
  private final List<CastVote> votes = new ArrayList<>();
  final List<Change> changes = new ArrayList<>();
  private final Map<String, String> deliveries = new HashMap<>();
  private final Map<Integer, String> artifacts = new HashMap<>();
  private final Map<Integer, Integer> endpoints = new HashMap<>();
  private final Map<Integer, Double> unitsSince = new HashMap<>();
  private final Set<Integer> held = new HashSet<>();
  private double heldMs;
  private double heldAt;
  private double clockAt = -1;
  private int present;
  private int earlier;

  PlainReleases(RolloutRules rules, int places, int first) {
    this.rules = rules;
    this.places = places;
    present = first;
    earlier = first;
    artifacts.put(first, "");
    changes.add(new Change(0, first, rules.stages().size() - 1, State.RELEASED));
  }

  Change last(int build) {
    Change found = null;
    for (Change one : changes) {
      if (one.build == build) {
        found = one;
      }
    }
    return found;
  }

  int present() {
    return present;
  }

  private int wanted(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * places - 1e-9));
  }

  private boolean is(State standing) {
    return last(present).to == standing;
  }

  /** Relays whose last fitting vote since the last change is that one, and not too old. */
  private int count(Vote say, double now) {
    Map<Integer, CastVote> newest = new HashMap<>();
    for (CastVote one : votes) {
      if (one.at >= last(present).at && one.build == present) {
        newest.put(one.relay, one);
      }
    }
    int count = 0;
    for (CastVote one : newest.values()) {
      if (one.say == say && now < one.at + rules.voteValidity().ms()) {
        count++;
      }
    }
    return count;
  }

  private void change(double now, int build, int stage, State to) {
    changes.add(new Change(now, build, stage, to));
    if (build != present) {
      return;
    }
    votes.clear();
    clockAt = -1;
    heldMs = 0;
  }

  RolloutManager.AnnouncementResult announced(
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
    changes.add(new Change(now, build, 0, State.ANNOUNCED));
    for (int other : new java.util.TreeSet<>(artifacts.keySet())) {
      if (other == build) {
        continue;
      }
      Change at = last(other);
      if (at.to == State.ON_TRIAL || at.to == State.STARTING || at.to == State.ANNOUNCED) {
        change(now, other, at.stage, State.SUPERSEDED);
      }
    }
    begin(now);
    return RolloutManager.AnnouncementResult.TAKEN;
  }

  private void begin(double now) {
    if (is(State.GOING_BACK)) {
      return;
    }
    for (int build : artifacts.keySet()) {
      if (last(build).to != State.ANNOUNCED) {
        continue;
      }
      if (is(State.RELEASED)) {
        earlier = present;
      }
      present = build;
      change(now, build, 0, State.STARTING);
      return;
    }
  }

  boolean cast(int relay, int build, int stage, Vote say, double now) {
    boolean trial = is(State.ON_TRIAL);
    boolean fits =
        build == present
            && (say == Vote.NOTHING
                || say == Vote.ON && trial && stage == last(present).stage
                || say == Vote.BACK && (trial || watched(now)));
    if (!fits) {
      return false;
    }
    votes.add(new CastVote(now, relay, build, stage, say));
    settle(now);
    return true;
  }

  private boolean watched(double now) {
    return is(State.RELEASED)
        && earlier != present
        && now - last(present).at <= rules.observationTime().ms();
  }

  void hold(int build, boolean on, double now) {
    Change at = last(build);
    if (at == null) {
      return;
    }
    boolean running =
        at.to == State.STARTING || at.to == State.ON_TRIAL || at.to == State.ANNOUNCED;
    if (on && running && held.add(build)) {
      heldAt = now;
    } else if (!on && held.remove(build)) {
      if (build == present && clockAt >= 0) {
        heldMs += now - Math.max(heldAt, clockAt);
      }
      settle(now);
    }
  }

  void withdraw(int build, double now) {
    Change at = last(build);
    if (at == null) {
      return;
    }
    boolean running =
        at.to == State.STARTING || at.to == State.ON_TRIAL || at.to == State.ANNOUNCED;
    boolean last = build == present && at.to == State.RELEASED && earlier != build;
    if (!running && !last) {
      return;
    }
    held.remove(build);
    change(now, build, at.stage, at.to == State.ANNOUNCED ? State.WITHDRAWN : State.GOING_BACK);
  }

  void ready(int build, int many, double now) {
    if (!artifacts.containsKey(build)) {
      return;
    }
    endpoints.put(build, many);
    settle(now);
  }

  void settle(double now) {
    boolean isHeld = held.contains(present);
    int there = endpoints.getOrDefault(present, 0);
    if (is(State.STARTING) && !isHeld && there >= wanted(0)) {
      change(now, present, 0, State.ON_TRIAL);
      clockAt = now;
    }
    if (is(State.ON_TRIAL) && clockAt < 0 && there >= wanted(last(present).stage)) {
      clockAt = now;
    }
    boolean trial = is(State.ON_TRIAL);
    boolean late = clockAt < 0 && !isHeld && now - last(present).at > rules.startTimeout().ms();
    if ((trial || is(State.STARTING)) && late
        || (trial || watched(now)) && count(Vote.BACK, now) >= rules.votesToRollBack()) {
      change(now, present, last(present).stage, State.GOING_BACK);
    } else if (trial
        && clockAt >= 0
        && !isHeld
        && now - clockAt - heldMs > rules.minStageTime().ms()
        && count(Vote.ON, now) >= rules.votesToAdvance()) {
      int stage = last(present).stage;
      boolean end = stage + 1 >= rules.stages().size();
      change(now, present, end ? stage : stage + 1, end ? State.RELEASED : State.ON_TRIAL);
      if (!end && there >= wanted(stage + 1)) {
        clockAt = now;
      }
    } else if (is(State.GOING_BACK) && now - last(present).at > rules.rollbackTime().ms()) {
      change(now, present, last(present).stage, State.WITHDRAWN);
      begin(now);
    }
  }
}
