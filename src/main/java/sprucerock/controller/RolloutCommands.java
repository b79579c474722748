package sprucerock.controller;

import java.util.Locale;
import sprucerock.controller.Rollout.State;
import sprucerock.time.Timestamp;

/** Carries out operators' commands on rollouts. */
final class RolloutCommands {
  private final RolloutManager manager;

  RolloutCommands(RolloutManager manager) {
    this.manager = manager;
  }

  /** Returns the reason why a command has no effect, or null if it has one. */
  String carryOut(RolloutManager.OperatorCommand command, int build, String cause, Timestamp now) {
    Rollout rollout = manager.rollout(build);
    if (rollout == null) {
      return "no build " + build + " is known";
    }
    return switch (command) {
      case HOLD -> hold(rollout, cause, now);
      case RESUME -> resume(rollout, cause, now);
      case WITHDRAW -> withdraw(rollout, cause, now);
    };
  }

  private String hold(Rollout rollout, String cause, Timestamp now) {
    if (!inProgress(rollout)) {
      return "build "
          + rollout.build
          + " is "
          + describe(rollout.state)
          + ": only an announced, starting or on-trial build can be held";
    }
    if (rollout.heldByOperator) {
      return "build " + rollout.build + " is held already";
    }
    rollout.heldByOperator = true;
    rollout.heldSince = now;
    manager.transition(rollout, rollout.state, rollout.stage, "held by " + cause, now);
    return null;
  }

  private String resume(Rollout rollout, String cause, Timestamp now) {
    if (!rollout.heldByOperator) {
      return "build " + rollout.build + " is not held";
    }
    rollout.heldByOperator = false;
    if (rollout.clockStart != null) {
      Timestamp pausedFrom = rollout.heldSince.laterOf(rollout.clockStart);
      rollout.pausedTime = rollout.pausedTime.plus(now.since(pausedFrom));
    }
    manager.transition(rollout, rollout.state, rollout.stage, "resumed by " + cause, now);
    manager.reconcile(now);
    return null;
  }

  private String withdraw(Rollout rollout, String cause, Timestamp now) {
    boolean lastReleased =
        rollout == manager.current
            && rollout.state == State.RELEASED
            && manager.previousBuild != rollout.build;
    if (!inProgress(rollout) && !lastReleased) {
      return "build "
          + rollout.build
          + " is "
          + describe(rollout.state)
          + ": it can't be withdrawn";
    }
    rollout.heldByOperator = false;
    if (rollout.state == State.ANNOUNCED) {
      manager.transition(rollout, State.WITHDRAWN, 0, "withdrawn by " + cause, now);
    } else {
      manager.rollBack(rollout, "withdrawn by " + cause, now);
    }
    return null;
  }

  private static boolean inProgress(Rollout rollout) {
    return rollout.state == State.STARTING
        || rollout.state == State.ON_TRIAL
        || rollout.state == State.ANNOUNCED;
  }

  private static String describe(State state) {
    return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
