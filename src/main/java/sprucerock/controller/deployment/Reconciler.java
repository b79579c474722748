package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;
import sprucerock.controller.deployment.Deployment.Transition;
import sprucerock.time.Timestamp;

/** Applies transitions to the fleet's state, records them, and tells the listener. */
final class Reconciler {
  private final FleetState fleet;
  private final TransitionPlanner planner;
  private final RelaySelector selector;
  private final DeploymentManager.Listener listener;
  private long wallMs;

  Reconciler(
      FleetState fleet,
      TransitionPlanner planner,
      RelaySelector selector,
      DeploymentManager.Listener listener) {
    this.fleet = fleet;
    this.planner = planner;
    this.selector = selector;
    this.listener = listener;
  }

  /** The wall clock that transitions are recorded with from now on, in milliseconds. */
  void setWallMs(long now) {
    wallMs = now;
  }

  /** Applies transitions until there is nothing to do but wait. */
  void reconcile(Timestamp now) {
    for (NextTransition next = planner.next(now); next != null; next = planner.next(now)) {
      apply(next, now);
    }
  }

  private void apply(NextTransition next, Timestamp now) {
    if (next instanceof NextTransition.MarkReady ready) {
      fleet.status.remove(ready.relay());
      ready.relay().readyAt = now;
      fleet.status.add(ready.relay());
    } else if (next instanceof NextTransition.ChangeState change) {
      transition(change.deployment(), change.state(), change.stage(), change.cause(), now);
    } else if (next instanceof NextTransition.RollBack back) {
      rollBack(back.deployment(), back.cause(), now);
    } else if (next instanceof NextTransition.RestartControl restart) {
      fleet.pendingControlRestarts.remove(Integer.valueOf(restart.relay().number));
      setDesired(restart.relay(), restart.relay().desiredVersion, now);
    } else if (next instanceof NextTransition.SkipControl skip) {
      fleet.pendingControlRestarts.remove(Integer.valueOf(skip.number()));
    } else if (next instanceof NextTransition.Update update) {
      update(update.deployment(), update.relay(), now);
    } else if (next instanceof NextTransition.Revert revert) {
      setDesired(revert.relay(), revert.deployment().fromVersion, now);
    } else if (next instanceof NextTransition.Complete complete) {
      complete(complete.deployment(), complete.cause(), now);
    }
  }

  private void update(Deployment deployment, ManagedRelay relay, Timestamp now) {
    deployment.updated.add(relay.number);
    deployment.lastProgress = now;
    deployment.controls.values().remove(relay.number);
    fleet.pendingControlRestarts.remove(Integer.valueOf(relay.number));
    setDesired(relay, deployment.toVersion, now);
    if (deployment.stage == fleet.plan.stages().size() - 1) {
      return;
    }
    ManagedRelay control = selector.chooseControl(deployment, relay);
    if (control == null) {
      return;
    }
    deployment.controls.put(relay.number, control.number);
    if (!deployment.hotReload) {
      fleet.pendingControlRestarts.add(control.number);
    }
  }

  private void complete(Deployment deployment, String cause, Timestamp now) {
    fleet.currentVersion = deployment.toVersion;
    for (ManagedRelay relay : fleet.relays.values()) {
      boolean leftOut =
          !deployment.updated.contains(relay.number)
              && !deployment.rejections.containsKey(relay.number);
      if (leftOut) {
        setDesired(relay, fleet.currentVersion, now); // those that were unreachable all through
      }
    }
    transition(deployment, State.DONE, deployment.stage, cause, now);
  }

  /** Takes a deployment back; its control group is not needed any more. */
  void rollBack(Deployment deployment, String cause, Timestamp now) {
    fleet.pendingControlRestarts.clear();
    transition(deployment, State.GOING_BACK, deployment.stage, cause, now);
  }

  /** A relay is to run a version, from the generation after the last one. */
  void setDesired(ManagedRelay relay, Version version, Timestamp now) {
    fleet.setDesired(relay, version, now);
    listener.desiredStateChanged(relay);
  }

  /** A deployment goes to a state and a stage, or is held or resumed where it is. */
  void transition(Deployment deployment, State to, int stage, String cause, Timestamp now) {
    final boolean moves =
        deployment.state != to || deployment.stage != stage || deployment.transitions().isEmpty();
    if (deployment.stage != stage) {
      deployment.verdict = Verdict.NOT_SURE;
    }
    deployment.state = to;
    deployment.stage = stage;
    if (moves) {
      deployment.stateSince = now;
      deployment.lastProgress = now;
    }
    if (moves && !to.isOpen()) {
      deployment.held = false;
    }
    Transition made = new Transition(++fleet.sequence, now, wallMs, to, stage, cause);
    deployment.add(made);
    listener.transitioned(deployment, made);
  }
}
