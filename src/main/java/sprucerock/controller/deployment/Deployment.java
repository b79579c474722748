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

/** One change on its way through the relays, with every step and its cause. */
public final class Deployment {
  /** Where a change stands. */
  public enum State {
    /** Every agent fetches it and reads it through. */
    PROPOSED,
    /** It waits to begin: one change at a time. */
    CHECKED,
    /** Relays of its stage are being moved. */
    MOVING,
    /** They all run it, and are held beside those that do not. */
    WATCHED,
    GOING_BACK,
    DONE,
    GIVEN_UP;

    public boolean open() {
      return this != DONE && this != GIVEN_UP;
    }

    /** Relays run it. */
    public boolean active() {
      return this == MOVING || this == WATCHED || this == GOING_BACK;
    }
  }

  /**
   * A transition, or a word that changed nothing but whether it is held.
   *
   * @param sequence of all steps of all changes, from 1
   * @param wallMs the machine's clock then, for people
   */
  public record Transition(
      long sequence, Timestamp at, long wallMs, State state, int stage, String cause) {}

  static final int MAX_TRANSITIONS =
      100; // a change has a dozen; a flapping hand should not fill the disk

  public final long number;
  public final String proposedBy;
  public final String reason;
  public final Version fromVersion;
  public final Version toVersion;

  /** A running relay can take it over: nobody is restarted, and nobody beside it needs to be. */
  public final boolean hotReload;

  State state = State.PROPOSED;
  int stage;
  Timestamp stateSince;

  /** When it came further last, in its stage or with a relay; it is not waited for without end. */
  Timestamp lastProgress;

  boolean held;

  /** Agents that have read it through, and those that refuse it, with the reason. */
  final TreeSet<Integer> validated = new TreeSet<>();

  final Map<Integer, String> rejections = new TreeMap<>();

  /** Relays that were told to run it, in that order. */
  final Set<Integer> updated = new LinkedHashSet<>();

  /** Beside whom each of them is held: a relay that was restarted with it on the old version. */
  final Map<Integer, Integer> controls = new LinkedHashMap<>();

  /** What the comparison said last in this stage. */
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

  public State state() {
    return state;
  }

  public int stage() {
    return stage;
  }

  public Timestamp stateSince() {
    return stateSince;
  }

  public boolean held() {
    return held;
  }

  public Set<Integer> updated() {
    return Collections.unmodifiableSet(updated);
  }

  /** Of each relay that was moved in a stage which has others left, the one it is held beside. */
  public Map<Integer, Integer> controls() {
    return Collections.unmodifiableMap(controls);
  }

  public Map<Integer, String> rejections() {
    return Collections.unmodifiableMap(rejections);
  }

  public List<Transition> transitions() {
    return Collections.unmodifiableList(transitions);
  }

  void add(Transition step) {
    if (transitions.size() >= MAX_TRANSITIONS) {
      transitions.remove(MAX_TRANSITIONS / 2);
    }
    transitions.add(step);
  }
}
