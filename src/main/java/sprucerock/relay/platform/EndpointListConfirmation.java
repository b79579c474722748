package sprucerock.relay.platform;

import java.util.function.Consumer;
import sprucerock.model.EndpointListState;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Timers;
import sprucerock.transport.net.Timers.Timer;

/**
 * Tracks whether the discovery address in use has confirmed the endpoint list. The list that a
 * process starts with is unconfirmed, and so is one that a former address sent once the present
 * address has been silent for as long as the protocol allows. For the event loop's thread.
 */
final class EndpointListConfirmation {
  /** After SIGHUP, what a new address has counts as notified by then. */
  private static final TimeSpan MOVE_GRACE = TimeSpan.ofMs(4000);

  private final Timers timers;
  private final Consumer<EndpointListState> listener;
  private EndpointListState state = EndpointListState.UNCONFIRMED;

  /** Runs while the present address has sent nothing since discovery moved to it; else null. */
  private Timer moveTimer;

  /** Creates an unconfirmed state; {@code listener} is told of each change of it. */
  EndpointListConfirmation(Timers timers, Consumer<EndpointListState> listener) {
    this.timers = timers;
    this.listener = listener;
  }

  EndpointListState state() {
    return state;
  }

  /**
   * A complete list, or changes to it, has been received.
   *
   * @param fromPresentAddress whether it came from the address that is configured now
   */
  void listReceived(boolean fromPresentAddress) {
    if (fromPresentAddress) {
      cancelMoveTimer();
      change(EndpointListState.CONFIRMED);
    } else if (moveTimer != null) {
      change(EndpointListState.CONFIRMED);
    }
  }

  /**
   * Discovery is at another address from now on. Where it moves again before that address was
   * heard, the time counts from the first move: no address since has confirmed anything.
   */
  void moved() {
    if (moveTimer == null) {
      moveTimer = timers.at(timers.now().plus(MOVE_GRACE), this::moveGraceEnded);
    }
  }

  private void moveGraceEnded() {
    moveTimer = null;
    change(EndpointListState.UNCONFIRMED);
  }

  private void cancelMoveTimer() {
    if (moveTimer != null) {
      moveTimer.cancel();
    }
    moveTimer = null;
  }

  private void change(EndpointListState newState) {
    if (newState != state) {
      state = newState;
      listener.accept(newState);
    }
  }
}
