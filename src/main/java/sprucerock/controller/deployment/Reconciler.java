package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;
import sprucerock.controller.deployment.Deployment.Transition;
import sprucerock.time.Timestamp;

/** Applies transitions to the fleet's state, records them, and notifies the listener. */
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

  /** Sets the wall-clock time that later transitions are recorded with, in milliseconds. */
  void setWallMs(long nowMs) {
    wallMs = nowMs;
  }

  /** Applies transitions until no transition is due. */
  void reconcile(Timestamp now) {
    for (NextTransition next = planner.next(now); next != null; next = planner.next(now)) {
      apply(next, now);
    }
  }

  private void apply(NextTransition next, Timestamp now) {
    if (next instanceof NextTransition.MarkReady markReady) {
      fleet.status.remove(markReady.relay());
      markReady.relay().readyAt = now;
      fleet.status.add(markReady.relay());
    } else if (next instanceof NextTransition.ChangeState changeState) {
      transition(
          changeState.deployment(),
          changeState.state(),
          changeState.stage(),
          changeState.cause(),
          now);
    } else if (next instanceof NextTransition.RollBack rollBack) {
      rollBack(rollBack.deployment(), rollBack.cause(), now);
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
    // A control that is updated is no longer a control of another relay.
    deployment.controls.values().remove(relay.number);
    fleet.pendingControlRestarts.remove(Integer.valueOf(relay.number));
    setDesired(relay, deployment.toVersion, now);
    if (deployment.stage == fleet.plan.stages().size() - 1) {
      // The last stage updates all relays, so it has no control group.
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

  /**
   * Leaves out reachable relays whose agents did not answer in time. Guards against an update of a
   * relay of which nobody knows whether it can run the version.
   */
  private void rejectUnvalidated(Deployment deployment) {
    for (ManagedRelay relay : fleet.relays.values()) {
      if (!relay.unreachable() && !deployment.validated.contains(relay.number)) {
        deployment.rejections.putIfAbsent(relay.number, "its agent did not answer in time");
      }
    }
  }

  private void complete(Deployment deployment, String cause, Timestamp now) {
    fleet.currentVersion = deployment.toVersion;
    for (ManagedRelay relay : fleet.relays.values()) {
      // Relays that were unreachable during the whole deployment get the version now.
      boolean skipped =
          !deployment.updated.contains(relay.number)
              && !deployment.rejections.containsKey(relay.number);
      if (skipped) {
        setDesired(relay, fleet.currentVersion, now);
      }
    }
    transition(deployment, State.DONE, deployment.stage, cause, now);
  }

  /** Rolls a deployment back and cancels the pending restarts of its control group. */
  void rollBack(Deployment deployment, String cause, Timestamp now) {
    fleet.pendingControlRestarts.clear();
    transition(deployment, State.GOING_BACK, deployment.stage, cause, now);
  }

  /** Sets a relay's desired version under a new generation and notifies the listener. */
  void setDesired(ManagedRelay relay, Version version, Timestamp now) {
    fleet.setDesired(relay, version, now);
    listener.desiredStateChanged(relay);
  }

  /**
   * Moves a deployment to a state and a stage and records the transition. With the state and stage
   * that the deployment already has, records only that it is held or resumed.
   */
  void transition(Deployment deployment, State to, int stage, String cause, Timestamp now) {
    final boolean stateChanges =
        deployment.state != to || deployment.stage != stage || deployment.transitions().isEmpty();
    if (deployment.stage != stage) {
      deployment.verdict = Verdict.NOT_SURE;
    }
    if (deployment.state == State.PROPOSED && to == State.CHECKED) {
      rejectUnvalidated(deployment);
    }
    deployment.state = to;
    deployment.stage = stage;
    if (stateChanges) {
      deployment.stateSince = now;
      deployment.lastProgress = now;
    }
    if (stateChanges && !to.isOpen()) {
      deployment.held = false;
    }
    Transition transition = new Transition(++fleet.sequence, now, wallMs, to, stage, cause);
    deployment.add(transition);
    listener.transitioned(deployment, transition);
  }
}
