package sprucerock.relay.engine;

import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.net.Timers.Timer;

/**
 * A client's request as the relay's client side keeps it. Each protocol extends it by what it needs
 * to answer: the client's connection and its own id of the request.
 */
public abstract class Request {
  private static final int USUAL_TIMERS = 2; // the deadline's, and one of the policy

  private final List<Timer> timers = new ArrayList<>(USUAL_TIMERS);
  private long requestId;
  private boolean isComplete;
  private boolean isReleased;
  private int attemptsOut;

  /** The relay's own id of the request, from 1 upwards; 0 until the engine has taken it. */
  public final long requestId() {
    return requestId;
  }

  final void requestId(long assigned) {
    requestId = assigned;
  }

  /** Has the timer cancelled when the request ends. */
  final void cancelAtEnd(Timer timer) {
    timers.add(timer);
  }

  /** How many of its attempts have not ended. */
  public final int attemptsOut() {
    return attemptsOut;
  }

  final void attemptBegan() {
    attemptsOut++;
  }

  final void attemptEnded() {
    attemptsOut--;
    releaseIfUnused();
  }

  private void releaseIfUnused() {
    if (isComplete && attemptsOut == 0 && !isReleased) {
      isReleased = true;
      released();
    }
  }

  /**
   * The request has its answer or its client left. Cancels its timers, which would otherwise hold
   * it in memory until its deadline. Subclasses release what else they hold, and call this.
   */
  protected void complete() {
    for (Timer timer : timers) {
      timer.cancel();
    }
    timers.clear();
    isComplete = true;
    releaseIfUnused();
  }

  /**
   * The request is complete and none of its attempts is out: what they were made from is not needed
   * any more. Called once.
   */
  protected void released() {}
}
