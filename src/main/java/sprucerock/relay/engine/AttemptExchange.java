package sprucerock.relay.engine;

import java.util.ArrayList;
import java.util.List;
import sprucerock.model.Attempt;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;

/**
 * One attempt's exchange with its endpoint: waiting for a connection, or sent on one. Each protocol
 * extends it by what its connections need. Ends exactly once, see {@link RelayEngine#attemptEnded}.
 */
public class AttemptExchange {
  private final Attempt attempt;
  private final Timestamp deadline;
  private boolean ended;
  private Timer timeoutTimer;

  /** Of the policy, for as long as the attempt is out; seldom more than one. */
  private final List<Timer> timers = new ArrayList<>(1);

  /** An exchange that times out at {@code deadline}, on the event loop's clock. */
  public AttemptExchange(Attempt attempt, Timestamp deadline) {
    this.attempt = attempt;
    this.deadline = deadline;
  }

  /** The attempt that is exchanged. */
  public final Attempt attempt() {
    return attempt;
  }

  /**
   * When the attempt times out: the request's deadline, or the attempt's own if that is earlier.
   */
  public final Timestamp deadline() {
    return deadline;
  }

  /** Whether the attempt has its outcome; what comes for it afterwards is ignored. */
  public final boolean hasEnded() {
    return ended;
  }

  /**
   * Whether its own time allows to put it on a connection: while it waited for one, its request may
   * have ended, or the time by which it had to start may have passed.
   */
  final boolean mayStart(Timestamp now) {
    return !attempt.rpc.ended() && (attempt.writeBy == null || attempt.writeBy.after(now));
  }

  final void setTimeoutTimer(Timer timer) {
    timeoutTimer = timer;
  }

  /** Has the timer cancelled when the attempt ends. */
  final void cancelAtEnd(Timer timer) {
    timers.add(timer);
  }

  final void markEnded() {
    ended = true;
    timeoutTimer.cancel();
    for (Timer timer : timers) {
      timer.cancel();
    }
    timers.clear();
  }
}
