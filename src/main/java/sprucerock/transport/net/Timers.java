package sprucerock.transport.net;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A loop's clock, and what it is to do later; all of it runs on the loop's one thread. */
public interface Timers {
  /** A loop that runs is a millisecond or two late; one later than this stood still. */
  TimeSpan STALL_THRESHOLD = TimeSpan.ofMs(5);

  /** The time at which this turn began. It never goes back, whatever becomes of the wall clock. */
  Timestamp now();

  /**
   * The same clock read anew, for what must not be stamped earlier than it happened. On the loop's
   * thread.
   */
  default Timestamp readClock() {
    return now();
  }

  /**
   * A time in front of this turn: what is met in this turn arrived after that. Earlier than {@link
   * #now} by as long as the loop stood still, or what it met waited.
   */
  default Timestamp previousTurnStart() {
    return now();
  }

  /**
   * Runs an action in the first turn at or after a time; those of one time in the order of the
   * calls.
   */
  Timer at(Timestamp when, Runnable action);

  /** Runs an action once this turn's events are done, before anything is written. */
  void atTurnsEnd(Runnable action);

  /**
   * Runs an action once peers were given a time to respond. If this loop itself stood still, they
   * are given the same time again: what they sent meanwhile is not read yet, and the silence is not
   * theirs.
   */
  default Timer stallTolerantTimeout(TimeSpan time, Runnable action) {
    Timer[] current = new Timer[1];
    Timestamp due = now().plus(time);
    current[0] =
        at(
            due,
            () -> {
              if (now().since(due).over(STALL_THRESHOLD)) {
                current[0] = stallTolerantTimeout(time, action);
              } else {
                action.run();
              }
            });
    return () -> current[0].cancel();
  }

  /** An action that is still to be run. */
  interface Timer {
    /** Drops the action; does nothing once it has run or was cancelled. */
    void cancel();
  }
}
