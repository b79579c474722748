package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A period in which no relay may place work on some racks, with its transitions and their causes.
 * Times are wall-clock times in milliseconds. Only {@link MaintenanceWindows} changes a window, and
 * updates the {@link WindowIndex} with each change.
 */
public final class MaintenanceWindow {
  /** The state of a window. The names are stored and shown. */
  public enum State {
    ANNOUNCED,
    /**
     * The other racks have enough capacity. Relays learn of the window with their next rack
     * permits.
     */
    ACCEPTED,
    /**
     * The window was accepted, but the other racks no longer have enough capacity. It does not
     * begin until they have, or until two operators force it.
     */
    HELD,
    /** The start has passed, but some relay may still hold a permit for a rack of the window. */
    DRAINING,
    /** No relay may place work on the window's racks. */
    IN_FORCE,
    /** The end has passed, but the endpoints of the window's racks are still cold. */
    ENDING,
    ENDED,
    REFUSED,
    CALLED_OFF;

    /** Returns whether the window may still begin or has begun and not ended. */
    public boolean isOpen() {
      return this != ENDED && this != REFUSED && this != CALLED_OFF;
    }

    /** Returns whether new permits must not reach into the window. */
    public boolean isBinding() {
      return this == ACCEPTED || this == DRAINING || this == IN_FORCE;
    }
  }

  /** A transition, or an operator's command, with its cause. */
  public record Step(long sequence, long wallMs, State state, String cause) {}

  /** The maximum number of retained steps of a window. */
  static final int MAX_STEPS = 100;

  public final long number;
  public final Set<String> racks;
  public final String operator;
  public final String reason;

  /** Whether the window begins at once without waiting for capacity. */
  public final boolean emergency;

  /** How much later than requested the window may begin. */
  public final long slackMs;

  /** The number of the first window of its series; 0 if the window does not recur. */
  public final long series;

  private long startMs;
  private long endMs;
  private State state = State.ANNOUNCED;
  private long bindingSinceMs;
  private long bindingSequence;
  private long nextTransitionMs = Long.MAX_VALUE;
  private long noticeMs;
  private final TreeSet<String> forcedBy = new TreeSet<>();
  private final List<Step> steps = new ArrayList<>();

  MaintenanceWindow(
      long number,
      Set<String> racks,
      long startMs,
      long endMs,
      long slackMs,
      boolean emergency,
      long series,
      String operator,
      String reason) {
    this.number = number;
    this.racks = Collections.unmodifiableSet(new TreeSet<>(racks));
    this.startMs = startMs;
    this.endMs = endMs;
    this.slackMs = slackMs;
    this.emergency = emergency;
    this.series = series;
    this.operator = operator;
    this.reason = reason;
  }

  /** Restores a window of an earlier incarnation of the controller, with all its steps. */
  static MaintenanceWindow restored(MaintenanceState.Window stored) {
    MaintenanceWindow window =
        new MaintenanceWindow(
            stored.number(),
            new TreeSet<>(stored.racks()),
            stored.startMs(),
            stored.endMs(),
            stored.slackMs(),
            stored.emergency(),
            stored.series(),
            stored.operator(),
            stored.reason());
    window.state = stored.state();
    window.bindingSinceMs = stored.bindingSinceMs();
    window.forcedBy.addAll(stored.forcedBy());
    stored.steps().forEach(window::add);
    return window;
  }

  void add(Step step) {
    if (step.state() == State.ACCEPTED) {
      // Stored separately, because the step may be dropped below. Without its sequence number the
      // window would not wait for earlier permits.
      bindingSequence = step.sequence();
    }
    if (steps.size() >= MAX_STEPS) {
      // Keeps the first step, which names the operator and the reason.
      steps.remove(1);
    }
    steps.add(step);
  }

  /** Sets the time from which no new permit reaches into the window. */
  void setBindingSince(long nowMs) {
    bindingSinceMs = nowMs;
  }

  void setState(State next) {
    state = next;
  }

  /** Returns the state of the window's lifecycle. */
  public State state() {
    return state;
  }

  /** Returns the start in milliseconds of the wall clock. */
  public long startMs() {
    return startMs;
  }

  /** Delays the start and the end. */
  void delay(long byMs) {
    startMs += byMs;
    endMs += byMs;
  }

  void setEndMs(long newEndMs) {
    endMs = newEndMs;
  }

  /** Adds an operator's approval to begin without capacity. Returns the number of approvals. */
  int approve(String approver) {
    forcedBy.add(approver);
    return forcedBy.size();
  }

  void setNextTransitionMs(long dueMs) {
    nextTransitionMs = dueMs;
  }

  /**
   * Returns when the next transition by time is due; {@link WindowIndex} sets it and sorts by it.
   */
  long nextTransitionMs() {
    return nextTransitionMs;
  }

  /**
   * Returns the sequence number of the last transition to ACCEPTED. Permits with a lower sequence
   * number may reach into the window.
   */
  long bindingSequence() {
    return bindingSequence;
  }

  void setNoticeMs(long longestMs) {
    noticeMs = longestMs;
  }

  /** Returns the longest notice of the window's racks. */
  long noticeMs() {
    return noticeMs;
  }

  /** Returns the end in milliseconds of the wall clock. */
  public long endMs() {
    return endMs;
  }

  /** Returns the first step and the latest ones, the oldest first. */
  public List<Step> steps() {
    return Collections.unmodifiableList(steps);
  }

  /** Returns the operators who approved that the window begins without capacity. */
  public Set<String> forcedBy() {
    return Collections.unmodifiableSet(forcedBy);
  }

  /** Returns the time since which no new permit reaches into the window; older permits may. */
  long bindingSinceMs() {
    return bindingSinceMs;
  }

  /**
   * Returns the time from which all permits that reached into the window have expired; not before
   * the window's start.
   */
  long permitExpiryMs() {
    return Math.max(startMs, bindingSinceMs + noticeMs);
  }
}
