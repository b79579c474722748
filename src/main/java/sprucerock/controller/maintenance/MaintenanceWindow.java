package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One window in which nothing may be placed on some racks, with every step and its cause. Times are
 * the wall's, in milliseconds.
 */
public final class MaintenanceWindow {
  /** Where a freeze stands. */
  public enum State {
    ANNOUNCED,
    /** There is room without its racks; relays learn of it with their next promise. */
    ACCEPTED,
    /**
     * It was accepted, and there is no room any more: not begun until there is, or two operators
     * force it.
     */
    HELD,
    /** Its time has come; some relay may still hold a promise that its racks are free. */
    DRAINING,
    /** No relay may place anything there. */
    IN_FORCE,
    /** Its units come back, cold. */
    ENDING,
    ENDED,
    REFUSED,
    CALLED_OFF;

    /** It is still to come, or is under way. */
    public boolean isOpen() {
      return this != ENDED && this != REFUSED && this != CALLED_OFF;
    }

    /** Its racks are promised to nobody beyond its beginning. */
    public boolean isBinding() {
      return this == ACCEPTED || this == DRAINING || this == IN_FORCE;
    }
  }

  /** A transition, or a word. */
  public record Step(long sequence, long wallMs, State state, String cause) {}

  static final int MOST_STEPS = 100;

  public final long number;
  public final Set<String> racks;
  public final String operator;
  public final String reason;

  /** It does not wait for room, and begins at once. */
  public final boolean emergency;

  /** How much later than wanted it may begin. */
  public final long slackMs;

  /** From which it came, where windows come again; 0: from none. */
  public final long series;

  long from;
  long to;
  State state = State.ANNOUNCED;

  /** Since when no new promise reaches into it: those given before run out by themselves. */
  long boundSince;

  /**
   * The step by which it last bound: who holds a promise of an earlier state may hold one into it.
   */
  long boundBy;

  /**
   * When time alone makes its next step; kept by {@link MaintenanceWindows}, which finds it by
   * that.
   */
  long dueMs = Long.MAX_VALUE;

  /** The longest of its racks', once it was asked for; below 0: not yet. */
  long noticeMs = -1;

  /** Who has said that it is to begin although there is no room. */
  final TreeSet<String> forcedBy = new TreeSet<>();

  private final List<Step> steps = new ArrayList<>();

  MaintenanceWindow(
      long number,
      Set<String> racks,
      long from,
      long to,
      long slackMs,
      boolean emergency,
      long series,
      String who,
      String why) {
    this.number = number;
    this.racks = Collections.unmodifiableSet(new TreeSet<>(racks));
    this.from = from;
    this.to = to;
    this.slackMs = slackMs;
    this.emergency = emergency;
    this.series = series;
    this.operator = who;
    this.reason = why;
  }

  void add(Step step) {
    if (step.state() == State.ACCEPTED) {
      boundBy =
          step.sequence(); // kept apart: that step may be dropped below, and the freeze would bind
      // nobody
    }
    if (steps.size() >= MOST_STEPS) {
      steps.remove(1); // the first one says who wanted it
    }
    steps.add(step);
  }

  public long from() {
    return from;
  }

  public long to() {
    return to;
  }

  public State state() {
    return state;
  }

  public List<Step> steps() {
    return Collections.unmodifiableList(steps);
  }

  public Set<String> forcedBy() {
    return Collections.unmodifiableSet(forcedBy);
  }

  boolean overlaps(long start, long end) {
    return from < end && start < to;
  }
}
