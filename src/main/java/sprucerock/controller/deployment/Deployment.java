package sprucerock.controller.deployment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.time.Timestamp;

/** One deployment of a version to the relays, with each of its transitions and their causes. */
public final class Deployment {
  /** Where a deployment stands. The names are stored and sent, so they stay. */
  public enum State {
    /** Every agent fetches the version and validates it. */
    PROPOSED,
    /** Validated; it waits to begin, as one deployment is active at a time. */
    CHECKED,
    /** Rolling out: relays of its stage are being updated. */
    MOVING,
    /** Observing: all relays of its stage run the version and are compared with the controls. */
    WATCHED,
    /** Rolling back: updated relays return to the old version. */
    GOING_BACK,
    /** The version is the fleet's. */
    DONE,
    /** Aborted: the old version is the fleet's. */
    GIVEN_UP;

    /** It has not ended. */
    public boolean isOpen() {
      return this != DONE && this != GIVEN_UP;
    }

    /** Relays run the new version. */
    public boolean isActive() {
      return this == MOVING || this == WATCHED || this == GOING_BACK;
    }
  }

  /**
   * A transition, or a command that changed nothing but whether the deployment is held.
   *
   * @param sequence among the transitions of all deployments, from 1
   * @param wallMs the wall clock then, for people
   */
  public record Transition(
      long sequence, Timestamp timestamp, long wallMs, State state, int stage, String cause) {}

  static final int MAX_TRANSITIONS =
      100; // a deployment has a dozen; an operator's script should not fill the disk

  public final long number;
  public final String proposedBy;
  public final String reason;
  public final Version fromVersion;
  public final Version toVersion;

  /** Running relays take the version over: neither they nor their controls are restarted. */
  public final boolean hotReload;

  State state = State.PROPOSED;
  int stage;
  Timestamp stateSince;

  /** When a stage or a relay advanced last: from then on the progress deadline counts. */
  Timestamp lastProgress;

  boolean held;

  /** Relays whose agents can run the version. */
  final TreeSet<Integer> validated = new TreeSet<>();

  /** Relays whose agents can't run it, with the reason. */
  final Map<Integer, String> rejections = new TreeMap<>();

  /** Relays that are to run the version, in the order in which they were told. */
  final Set<Integer> updated = new LinkedHashSet<>();

  /** The control of each updated relay: one that was restarted with it on the old version. */
  final Map<Integer, Integer> controls = new LinkedHashMap<>();

  /** The comparison's last verdict in this stage. */
  Verdict verdict = Verdict.NOT_SURE;

  private final List<Transition> transitions = new ArrayList<>();

  Deployment(
      long number, String who, String why, Version from, Version to, boolean live, Timestamp now) {
    this.number = number;
    this.proposedBy = who;
    this.reason = why;
    this.fromVersion = from;
    this.toVersion = to;
    this.hotReload = live;
    stateSince = now;
    lastProgress = now;
  }

  /** Where it stands. */
  public State state() {
    return state;
  }

  /** The index of its stage in the plan. */
  public int stage() {
    return stage;
  }

  /** Since when it has been in its state and stage; operators' resuming counts as a beginning. */
  public Timestamp stateSince() {
    return stateSince;
  }

  /** An operator holds it. */
  public boolean held() {
    return held;
  }

  /** Relays that are to run the version, in the order in which they were told. */
  public Set<Integer> updated() {
    return Collections.unmodifiableSet(updated);
  }

  /** The control of each relay that was updated in a stage which leaves some for that. */
  public Map<Integer, Integer> controls() {
    return Collections.unmodifiableMap(controls);
  }

  /** Relays whose agents can't run the version, with the reason. */
  public Map<Integer, String> rejections() {
    return Collections.unmodifiableMap(rejections);
  }

  /** Its transitions, the oldest first; of very many, the first and the last ones. */
  public List<Transition> transitions() {
    return Collections.unmodifiableList(transitions);
  }

  void add(Transition transition) {
    if (transitions.size() >= MAX_TRANSITIONS) {
      transitions.remove(MAX_TRANSITIONS / 2);
    }
    transitions.add(transition);
  }
}
