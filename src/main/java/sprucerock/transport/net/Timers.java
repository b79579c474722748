package sprucerock.transport.net;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One thread's clock and what it is to do later. All that a loop runs, it runs on that one thread.
 */
public interface Timers {
  /** Stands still within a turn, and never goes back: no clock on the wall can move it. */
  Timestamp now();

  /** The same clock read anew: for what must not be earlier than it was. From the loop's thread. */
  default Timestamp readClock() {
    return now();
  }

  /**
   * What comes in this turn came after that moment: when the turn before this one began. Earlier by
   * as long as the loop stood still.
   */
  default Timestamp previousTurnStart() {
    return now();
  }

  /**
   * Runs {@code what} in the first turn at or after {@code when}; those of one moment in the order
   * of the calls.
   */
  Timer at(Timestamp when, Runnable what);

  /** Runs {@code what} once this turn's events are done, before anything is written. */
  void atTurnsEnd(Runnable what);

  /**
   * Runs {@code what} once others were waited for so long. Where this loop itself stood still, they
   * are given the same time again: what they sent meanwhile is not heard yet, and their silence is
   * not theirs.
   */
  default Timer stallTolerantTimeout(TimeSpan time, Runnable what) {
    TimeSpan late = TimeSpan.ofMs(5); // a loop that runs is a millisecond or two late
    Timer[] current = new Timer[1];
    Timestamp due = now().plus(time);
    current[0] =
        at(
            due,
            () -> {
              if (now().since(due).over(late)) {
                current[0] = stallTolerantTimeout(time, what);
              } else {
                what.run();
              }
            });
    return () -> current[0].cancel();
  }

  /** Something that is still to be done. */
  interface Timer {
    /** Too late or twice does nothing. */
    void cancel();
  }
}
