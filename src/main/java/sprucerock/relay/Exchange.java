package sprucerock.relay;

import sprucerock.model.Pick;
import sprucerock.net.Timers.Timer;

/** A pick on its way: waiting for a connection, or on one. */
final class Exchange {
    final Pick pick;
    /** Null while it waits for a connection. */
    UnitLink link;
    /** Its id on that connection, and where its frame stands in what was written. */
    long id;
    long mark;
    boolean over;
    Timer end;
    Timer waiting;

    Exchange(Pick pick) {
        this.pick = pick;
    }
}
