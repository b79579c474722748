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
  /** The state of a deployment. The names are stored and sent, so they must not change. */
  public enum State {
    /** Every agent downloads the version and validates it. */
    PROPOSED,
    /** Validated. Waits to begin, because only one deployment is active at a time. */
    CHECKED,
    /** Rolling out: relays of the current stage are being updated. */
    MOVING,
    /** Observed: all relays of the stage run the version and are compared with the controls. */
    WATCHED,
    /** Rolling back: the updated relays return to the old version. */
    GOING_BACK,
    /** Complete: the new version is the fleet's version. */
    DONE,
    /** Aborted: the old version stays the fleet's version. */
    GIVEN_UP;

    /** Returns whether the deployment has not ended. */
    public boolean isOpen() {
      return this != DONE && this != GIVEN_UP;
    }

    /** Returns whether relays may run the new version. */
    public boolean isActive() {
      return this == MOVING || this == WATCHED || this == GOING_BACK;
    }
  }

  /**
   * A transition, or a command that only held or resumed the deployment.
   *
   * @param sequence the sequence number among the transitions of all deployments, from 1
   * @param wallMs the wall-clock time in milliseconds, shown to operators
   */
  public record Transition(
      long sequence, Timestamp timestamp, long wallMs, State state, int stage, String cause) {}

  /**
   * The maximum number of retained transitions. A deployment has about a dozen; the bound keeps an
   * operator's script from filling the disk with commands.
   */
  static final int MAX_TRANSITIONS = 100;

  public final long number;
  public final String proposedBy;
  public final String reason;
  public final Version fromVersion;
  public final Version toVersion;

  /** Whether running relays load the version, so that neither they nor their controls restart. */
  public final boolean hotReload;

  State state = State.PROPOSED;
  int stage;
  Timestamp stateSince;

  /**
   * When the deployment last made a transition, updated a relay, or was held or resumed. The
   * progress deadline counts from this time.
   */
  Timestamp lastProgress;

  boolean held;

  /** Relays whose agents have accepted the version. */
  final TreeSet<Integer> validated = new TreeSet<>();

  /** Relays whose agents have rejected the version or did not validate it, with the reason. */
  final Map<Integer, String> rejections = new TreeMap<>();

  /**
   * Relays that were updated to the new version, in the order of the updates. A rollback reverts
   * them but keeps them here.
   */
  final Set<Integer> updated = new LinkedHashSet<>();

  /**
   * By updated relay, its control: a relay that stays on the old version for comparison. The
   * control is restarted too, unless the version is hot-reloaded.
   */
  final Map<Integer, Integer> controls = new LinkedHashMap<>();

  /** The last verdict of the comparison in the current stage. */
  Verdict verdict = Verdict.NOT_SURE;

  private final List<Transition> transitions = new ArrayList<>();

  Deployment(
      long number,
      String proposedBy,
      String reason,
      Version fromVersion,
      Version toVersion,
      boolean hotReload,
      Timestamp now) {
    this.number = number;
    this.proposedBy = proposedBy;
    this.reason = reason;
    this.fromVersion = fromVersion;
    this.toVersion = toVersion;
    this.hotReload = hotReload;
    stateSince = now;
    lastProgress = now;
  }

  /** Returns the state of the deployment. */
  public State state() {
    return state;
  }

  /** Returns the index of the current stage in the plan. */
  public int stage() {
    return stage;
  }

  /** Returns when the current state and stage began, or the deployment was resumed. */
  public Timestamp stateSince() {
    return stateSince;
  }

  /** Returns whether an operator holds the deployment. */
  public boolean held() {
    return held;
  }

  /** Returns the relays that were updated to the new version, in the order of the updates. */
  public Set<Integer> updated() {
    return Collections.unmodifiableSet(updated);
  }

  /**
   * Returns the control of each updated relay. Relays updated in the last stage, or while no relay
   * could become a control, have none.
   */
  public Map<Integer, Integer> controls() {
    return Collections.unmodifiableMap(controls);
  }

  /** Returns the relays whose agents have rejected the version, with the reason. */
  public Map<Integer, String> rejections() {
    return Collections.unmodifiableMap(rejections);
  }

  /**
   * Returns the transitions, the oldest first. Beyond {@link #MAX_TRANSITIONS}, transitions in the
   * middle are dropped.
   */
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
