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
  private final Timestamp deadline;
  private boolean hasEnded;
  private Timer markEnded;

  /** What is to be done while the pick is out. */
  private final List<Timer> cancelAtEnd = new ArrayList<>(1);

  public AttemptExchange(Attempt attempt, Timestamp ends) {
    this.attempt = attempt;
    this.deadline = ends;
  }

  public final Attempt attempt() {
    return attempt;
  }

  /** When nobody waits for it any more. */
  public final Timestamp deadline() {
    return deadline;
  }

  public final boolean hasEnded() {
    return hasEnded;
  }

  /**
   * Whether it may be put on a connection: its RPC may have ended, or its own time may be over,
   * while it waited for one.
   */
  public final boolean mayStart(Timestamp now) {
    return !attempt.rpc.ended() && (attempt.startBy == null || attempt.startBy.after(now));
  }

  final void setTimeoutTimer(Timer timer) {
    markEnded = timer;
  }

  final void cancelAtEnd(Timer timer) {
    cancelAtEnd.add(timer);
  }

  final void markEnded() {
    hasEnded = true;
    markEnded.cancel();
    for (Timer timer : cancelAtEnd) {
      timer.cancel();
    }
    cancelAtEnd.clear();
  }
}
