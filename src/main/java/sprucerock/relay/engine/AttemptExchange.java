package sprucerock.relay.engine;

import java.util.ArrayList;
import java.util.List;
import sprucerock.model.Attempt;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;

/**
 * A pick on its way: waiting for a connection, or on one. Each door to units keeps in it what it
 * needs there.
 */
public class AttemptExchange {
  private final Attempt attempt;
  private final Timestamp ends;
  private boolean over;
  private Timer end;

  /** What is to be done while the pick is out. */
  private final List<Timer> until = new ArrayList<>(1);

  public AttemptExchange(Attempt attempt, Timestamp ends) {
    this.attempt = attempt;
    this.ends = ends;
  }

  public final Attempt attempt() {
    return attempt;
  }

  /** When nobody waits for it any more. */
  public final Timestamp ends() {
    return ends;
  }

  public final boolean over() {
    return over;
  }

  /**
   * Whether it may be put on a connection: its RPC may have ended, or its own time may be over,
   * while it waited for one.
   */
  public final boolean mayStart(Timestamp now) {
    return !attempt.rpc.ended() && (attempt.writeBy == null || attempt.writeBy.after(now));
  }

  final void endBy(Timer timer) {
    end = timer;
  }

  final void until(Timer timer) {
    until.add(timer);
  }

  final void end() {
    over = true;
    end.cancel();
    for (Timer timer : until) {
      timer.cancel();
    }
    until.clear();
  }
}
