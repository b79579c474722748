package sprucerock.relay;

import java.util.ArrayList;
import java.util.List;
import sprucerock.model.Pick;
import sprucerock.net.Timers.Timer;
import sprucerock.time.Moment;

/** A pick on its way: waiting for a connection, or on one. */
final class Exchange {
    final Pick pick;
    /** When nobody waits for it any more. */
    final Moment ends;
    /** Null while it waits for a connection. */
    UnitLink link;
    /** Its id on that connection, and where its frame stands in what was written. */
    long id;
    long mark;
    boolean over;
    Timer end;
    Timer waiting;
    /** What is to be done while the pick is out. */
    final List<Timer> until = new ArrayList<>(1);

    Exchange(Pick pick, Moment ends) {
        this.pick = pick;
        this.ends = ends;
    }

    void over() {
        over = true;
        end.cancel();
        for (Timer timer : until) timer.cancel();
        until.clear();
    }
}
