package sprucerock.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The rollout of one build through the stages, with each transition and its cause. */
public final class Rollout {
  /** The state of a rollout. */
  public enum State {
    /** Waits until the rollout before it has rolled back. */
    ANNOUNCED,
    /** The endpoints of the first stage are being started. */
    STARTING,
    ON_TRIAL,
    GOING_BACK,
    RELEASED,
    WITHDRAWN,
    /** The trial ended because a later build was announced. */
    SUPERSEDED;

    /**
     * Whether the rollout has not ended. A released one has, although votes may still roll it back
     * during the observation time.
     */
    public boolean open() {
      return this == ANNOUNCED || this == STARTING || this == ON_TRIAL || this == GOING_BACK;
    }
  }

  /**
   * A recorded transition.
   *
   * @param sequence the sequence number over all rollouts, from 1
   * @param time the controller's time
   * @param wallMs the machine's wall clock, for people
   */
  public record Transition(
      long sequence, Timestamp time, long wallMs, State state, int stage, String cause) {}

  /** A rollout has about ten transitions; repeated hold and resume must not fill the disk. */
  private static final int MAX_TRANSITIONS = 200;

  public final int build;
  public final String artifact;
  State state = State.ANNOUNCED;
  int stage;
  Timestamp since;

  /** When the stage's time began to count; null until its endpoints are ready. */
  Timestamp clockStart;

  /**
   * Time that does not count for the stage: while relays paused its clock, while an operator held
   * the rollout, and while the controller was down.
   */
  TimeSpan pausedTime = TimeSpan.ZERO;

  boolean heldByOperator;

  /** When the operator's hold began; null before the first hold. */
  Timestamp heldSince;

  /** Under {@link RolloutRules.Control#CLOCKED}: whether the stage clock ran at the last update. */
  boolean clockRunning = true;

  /** When {@link #clockRunning} was last updated. */
  Timestamp clockUpdatedAt;

  int readyEndpoints;
  private final List<Transition> transitions = new ArrayList<>();

  Rollout(int build, String artifact, Timestamp now) {
    this.build = build;
    this.artifact = artifact;
    since = now;
  }

  /** Returns the state of the rollout. */
  public State state() {
    return state;
  }

  /** Returns the stage, from 0. */
  public int stage() {
    return stage;
  }

  /** Returns when the current state and stage began, in the controller's time. */
  public Timestamp since() {
    return since;
  }

  /** Whether an operator holds the rollout. */
  public boolean heldByOperator() {
    return heldByOperator;
  }

  /** Returns how many endpoints of the build were reported as ready. */
  public int readyEndpoints() {
    return readyEndpoints;
  }

  /** Returns the transitions so far; if there were more than 200, the middle ones are missing. */
  public List<Transition> transitions() {
    return Collections.unmodifiableList(transitions);
  }

  void addTransition(Transition transition) {
    if (transitions.size() >= MAX_TRANSITIONS) {
      transitions.remove(MAX_TRANSITIONS / 2);
    }
    transitions.add(transition);
  }
}
