package sprucerock.net;

import sprucerock.time.Moment;

/** One thread's clock and what it is to do later. All that a loop runs, it runs on that one thread. */
public interface Timers {
    /** Stands still within a turn, and never goes back: no clock on the wall can move it. */
    Moment now();

    /** Runs {@code what} in the first turn at or after {@code when}; those of one moment in the order of the calls. */
    Timer at(Moment when, Runnable what);

    /** Runs {@code what} once this turn's events are done, before anything is written. */
    void atTurnsEnd(Runnable what);

    /** Something that is still to be done. */
    interface Timer {
        /** Too late or twice does nothing. */
        void cancel();
    }
}
