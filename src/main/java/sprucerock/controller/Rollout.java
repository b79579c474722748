package sprucerock.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One build on its way through the stages, with every step and its cause. */
public final class Rollout {
  /** Where a release stands. */
  public enum Standing {
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
  public record Step(
      long sequence, Timestamp at, long wallMs, Standing standing, int stage, String cause) {}

  private static final int MOST_STEPS =
      200; // a release has some ten; a flapping hand should not fill the disk

  public final int build;
  public final String artifact;
  Standing standing = Standing.ANNOUNCED;
  int stage;
  Timestamp since;

  /** From when the stage's least time counts; null while its units are not there. */
  Timestamp clock;

  /** Time that did not count: held by relays under the clock, or by an operator. */
  TimeSpan heldFor = TimeSpan.ZERO;

  /** An operator holds it, and since when. */
  boolean held;

  Timestamp heldSince;

  /** Under the clock: whether that ran, and since when it did or did not. */
  boolean clockRan = true;

  Timestamp clockStopped;
  int endpoints;
  private final List<Step> steps = new ArrayList<>();

  Rollout(int build, String artifact, Timestamp now) {
    this.build = build;
    this.artifact = artifact;
    since = now;
  }

  public Standing standing() {
    return standing;
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

  /** Units of it that were told to be there. */
  public int units() {
    return endpoints;
  }

  /** The transitions so far; of very many the first and the last ones. */
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
