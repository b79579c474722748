package sprucerock.controller.maintenance;

import sprucerock.controller.maintenance.MaintenanceWindow.State;

/**
 * Determines which transition a window makes because time has passed, and when it is due.
 * Operators' commands, returned permits and capacity cause the other transitions. All methods are
 * pure functions of the window and the wall-clock time in milliseconds.
 */
final class WindowLifecycle {
  /** The due time of a window without a transition by time. */
  static final long NEVER_MS = Long.MAX_VALUE;

  private final long warmUpMs;

  /** {@code warmUpMs} is how long endpoints count as cold after a window. */
  WindowLifecycle(long warmUpMs) {
    this.warmUpMs = warmUpMs;
  }

  /** Returns when the window's next transition by time is due, or {@link #NEVER_MS}. */
  long nextTransitionMs(MaintenanceWindow window) {
    return switch (window.state()) {
      case ACCEPTED -> window.startMs();
      case DRAINING -> Math.min(window.permitExpiryMs(), window.endMs());
      case HELD, IN_FORCE -> window.endMs();
      case ENDING -> window.endMs() + warmUpMs;
      default -> NEVER_MS;
    };
  }

  /** Returns the next state of a window at a time, or null if no transition is due. */
  State nextState(MaintenanceWindow window, long nowMs) {
    return switch (window.state()) {
      case ACCEPTED -> nowMs >= window.startMs() ? State.DRAINING : null;
      case HELD -> nowMs >= window.endMs() ? State.REFUSED : null;
      case DRAINING -> {
        if (nowMs >= window.permitExpiryMs()) {
          yield State.IN_FORCE;
        }
        yield nowMs >= window.endMs() ? State.ENDING : null;
      }
      case IN_FORCE -> nowMs >= window.endMs() ? State.ENDING : null;
      case ENDING -> nowMs >= window.endMs() + warmUpMs ? State.ENDED : null;
      default -> null;
    };
  }

  /** Returns the recorded cause of a transition by time. */
  static String cause(State from, State to) {
    return switch (to) {
      case DRAINING -> "its time has come";
      case IN_FORCE -> "no promise reaches into it";
      case ENDING ->
          from == State.DRAINING ? "its time was over before it was in force" : "its time is over";
      case REFUSED -> "there was no capacity until its end";
      default -> "its endpoints are warm again";
    };
  }
}
