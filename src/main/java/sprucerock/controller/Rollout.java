package sprucerock.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One build on its way through the stages, with every step and its cause. */
public final class Rollout {
  /** Where a release stands. */
  public enum State {
    /** Waits until the one before it has gone back. */
    ANNOUNCED,
    /** Its first units are being started. */
    STARTING,
    ON_TRIAL,
    GOING_BACK,
    RELEASED,
    WITHDRAWN,
    /** Its trial ended as a later build was announced. */
    SUPERSEDED;

    /** It may still become something else by itself. */
    public boolean open() {
      return this == ANNOUNCED || this == STARTING || this == ON_TRIAL || this == GOING_BACK;
    }
  }

  /**
   * A transition.
   *
   * @param sequence of all transitions of all releases, from 1
   * @param wallMs the machine's clock then, for people
   */
  public record Transition(
      long sequence, Timestamp time, long wallMs, State state, int stage, String cause) {}

  private static final int MAX_TRANSITIONS =
      200; // a release has some ten; a flapping hand should not fill the disk

  public final int build;
  public final String artifact;
  State state = State.ANNOUNCED;
  int stage;
  Timestamp since;

  /** From when the stage's least time counts; null while its units are not there. */
  Timestamp clockStart;

  /** Time that did not count: held by relays under the clock, or by an operator. */
  TimeSpan pausedTime = TimeSpan.ZERO;

  /** An operator holds it, and since when. */
  boolean heldByOperator;

  Timestamp heldSince;

  /** Under the clock: whether that ran, and since when it did or did not. */
  boolean clockRunning = true;

  Timestamp clockUpdatedAt;
  int readyEndpoints;
  private final List<Transition> transitions = new ArrayList<>();

  Rollout(int build, String artifact, Timestamp now) {
    this.build = build;
    this.artifact = artifact;
    since = now;
  }

  /** Where the rollout stands. */
  public State state() {
    return state;
  }

  /** The stage, from 0. */
  public int stage() {
    return stage;
  }

  /** When the present stage began, by the controller's clock. */
  public Timestamp since() {
    return since;
  }

  /** Whether an operator holds it. */
  public boolean heldByOperator() {
    return heldByOperator;
  }

  /** Units of it that were told to be there. */
  public int readyEndpoints() {
    return readyEndpoints;
  }

  /** The transitions so far; of very many the first and the last ones. */
  public List<Transition> transitions() {
    return Collections.unmodifiableList(transitions);
  }

  void addTransition(Transition step) {
    if (transitions.size() >= MAX_TRANSITIONS) {
      transitions.remove(MAX_TRANSITIONS / 2);
    }
    transitions.add(step);
  }
}
