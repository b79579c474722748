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
    public boolean out() {
      return this == MOVING || this == WATCHED || this == GOING_BACK;
    }
  }

  /**
   * A transition, or a word that changed nothing but whether it is held.
   *
   * @param sequence of all steps of all changes, from 1
   * @param wallMs the machine's clock then, for people
   */
  public record Step(
      long sequence, Timestamp at, long wallMs, State state, int stage, String cause) {}

  static final int MOST_STEPS =
      100; // a change has a dozen; a flapping hand should not fill the disk

  public final long number;
  public final String who;
  public final String why;
  public final Version from;
  public final Version to;

  /** A running relay can take it over: nobody is restarted, and nobody beside it needs to be. */
  public final boolean live;

  State state = State.PROPOSED;
  int stage;
  Timestamp since;

  /** When it came further last, in its stage or with a relay; it is not waited for without end. */
  Timestamp progress;

  boolean held;

  /** Agents that have read it through, and those that refuse it, with the reason. */
  final TreeSet<Integer> checked = new TreeSet<>();

  final Map<Integer, String> refused = new TreeMap<>();

  /** Relays that were told to run it, in that order. */
  final Set<Integer> moved = new LinkedHashSet<>();

  /** Beside whom each of them is held: a relay that was restarted with it on the old version. */
  final Map<Integer, Integer> beside = new LinkedHashMap<>();

  /** What the comparison said last in this stage. */
  Verdict verdict = Verdict.NOT_SURE;

  private final List<Step> steps = new ArrayList<>();

  Deployment(
      long number, String who, String why, Version from, Version to, boolean live, Timestamp now) {
    this.number = number;
    this.who = who;
    this.why = why;
    this.from = from;
    this.to = to;
    this.live = live;
    since = now;
    progress = now;
  }

  public State state() {
    return state;
  }

  public int stage() {
    return stage;
  }

  public Timestamp since() {
    return since;
  }

  public boolean held() {
    return held;
  }

  public Set<Integer> moved() {
    return Collections.unmodifiableSet(moved);
  }

  /** Of each relay that was moved in a stage which has others left, the one it is held beside. */
  public Map<Integer, Integer> beside() {
    return Collections.unmodifiableMap(beside);
  }

  public Map<Integer, String> refused() {
    return Collections.unmodifiableMap(refused);
  }

  public List<Step> steps() {
    return Collections.unmodifiableList(steps);
  }

  void add(Step step) {
    if (steps.size() >= MOST_STEPS) {
      steps.remove(MOST_STEPS / 2);
    }
    steps.add(step);
  }
}
