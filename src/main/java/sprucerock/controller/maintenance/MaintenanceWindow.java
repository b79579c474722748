package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One window in which nothing may be placed on some racks, with its steps and their causes. Times
 * are the wall clock's, in milliseconds. Changed by {@link MaintenanceWindows} alone, which takes
 * it out of its {@link WindowIndex} meanwhile.
 */
public final class MaintenanceWindow {
  /** Where a window stands. The names are stored and shown. */
  public enum State {
    ANNOUNCED,
    /** There is capacity without its racks; relays learn of it with their next grant. */
    ACCEPTED,
    /**
     * It was accepted, and there is no capacity any more: not begun until there is, or two
     * operators force it.
     */
    HELD,
    /** Its time has come; some relay may still hold a grant to place on its racks. */
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

    /** Its racks are granted to nobody beyond its beginning. */
    public boolean isBinding() {
      return this == ACCEPTED || this == DRAINING || this == IN_FORCE;
    }
  }

  /** A transition, or an operator's command, with its cause. */
  public record Step(long sequence, long wallMs, State state, String cause) {}

  /** Steps that are kept of a window. */
  static final int MAX_STEPS = 100;

  public final long number;
  public final Set<String> racks;
  public final String operator;
  public final String reason;

  /** It does not wait for capacity, and begins at once. */
  public final boolean emergency;

  /** How much later than wanted it may begin. */
  public final long slackMs;

  /** From which it came, where windows come again; 0: from none. */
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
      long from,
      long to,
      long slackMs,
      boolean emergency,
      long series,
      String who,
      String why) {
    this.number = number;
    this.racks = Collections.unmodifiableSet(new TreeSet<>(racks));
    this.startMs = from;
    this.endMs = to;
    this.slackMs = slackMs;
    this.emergency = emergency;
    this.series = series;
    this.operator = who;
    this.reason = why;
  }

  /** One that is known from a former incarnation of the controller, with all its steps. */
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
      // kept apart: that step may be dropped below, and the window would bind nobody
      bindingSequence = step.sequence();
    }
    if (steps.size() >= MAX_STEPS) {
      steps.remove(1); // the first one says who wanted it
    }
    steps.add(step);
  }

  /** From now on no new grant reaches into it. */
  void setBindingSince(long nowMs) {
    bindingSinceMs = nowMs;
  }

  void setState(State next) {
    state = next;
  }

  /** Where it stands. */
  public State state() {
    return state;
  }

  /** When it begins, in milliseconds of the wall clock. */
  public long startMs() {
    return startMs;
  }

  /** Begins and ends so much later. */
  void delay(long byMs) {
    startMs += byMs;
    endMs += byMs;
  }

  void setEndMs(long toMs) {
    endMs = toMs;
  }

  /** An operator said that it is to begin although there is no capacity; how many have by now. */
  int approve(String who) {
    forcedBy.add(who);
    return forcedBy.size();
  }

  void setNextTransitionMs(long dueMs) {
    nextTransitionMs = dueMs;
  }

  /** When time alone makes its next transition; kept by {@link WindowIndex}, which finds it so. */
  long nextTransitionMs() {
    return nextTransitionMs;
  }

  /** The step by which it last bound: a grant of an earlier state may reach into it. */
  long bindingSequence() {
    return bindingSequence;
  }

  void setNoticeMs(long longestMs) {
    noticeMs = longestMs;
  }

  /** The longest notice of its racks. */
  long noticeMs() {
    return noticeMs;
  }

  /** When it ends, in milliseconds of the wall clock. */
  public long endMs() {
    return endMs;
  }

  /** The last steps, the oldest first; the very first one is always among them. */
  public List<Step> steps() {
    return Collections.unmodifiableList(steps);
  }

  /** Operators who said that it is to begin although there is no capacity. */
  public Set<String> forcedBy() {
    return Collections.unmodifiableSet(forcedBy);
  }

  /** Since when no new grant reaches into it: those given before expire by themselves. */
  long bindingSinceMs() {
    return bindingSinceMs;
  }

  /** From when on no grant that was ever given can reach into it. */
  long permitExpiryMs() {
    return Math.max(startMs, bindingSinceMs + noticeMs);
  }
}
