package sprucerock.controller.maintenance;

import sprucerock.controller.maintenance.MaintenanceWindow.State;

/**
 * Which transition a window makes by time alone, and when. Pure functions of the window and of the
 * time, in milliseconds of the wall clock.
 */
final class WindowLifecycle {
  /** No transition by time alone: only an operator, a relay or a change of capacity makes one. */
  static final long NEVER_MS = Long.MAX_VALUE;

  private final long warmUpMs;

  /** {@code warmUpMs}: how long units that come back count as cold. */
  WindowLifecycle(long warmUpMs) {
    this.warmUpMs = warmUpMs;
  }

  /** When the window's next transition by time is due, or {@link #NEVER_MS}. */
  long nextTransitionMs(MaintenanceWindow window) {
    return switch (window.state()) {
      case ACCEPTED -> window.startMs();
      case DRAINING -> Math.min(window.permitExpiryMs(), window.endMs());
      case HELD, IN_FORCE -> window.endMs();
      case ENDING -> window.endMs() + warmUpMs;
      default -> NEVER_MS;
    };
  }

  /** The state that follows at that time; null: it stays as it is. */
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

  /** Why a window moves on by time, as its step says. */
  static String cause(State from, State to) {
    return switch (to) {
      case DRAINING -> "its time has come";
      case IN_FORCE -> "no promise reaches into it";
      case ENDING ->
          from == State.DRAINING ? "its time is over before it was in force" : "its time is over";
      case REFUSED -> "there was no room until its end";
      default -> "its units are warm again";
    };
  }
}
