package sprucerock.controller.deployment;

import java.util.Locale;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/** Executes operators' proposals, and their commands about deployments. */
final class OperatorCommands {
  /** The number of retained deployments; older ones are dropped once they have ended. */
  private static final int MAX_DEPLOYMENTS = 50;

  private final FleetState fleet;
  private final Reconciler reconciler;
  private final ValidationTracker validation;

  OperatorCommands(FleetState fleet, Reconciler reconciler, ValidationTracker validation) {
    this.fleet = fleet;
    this.reconciler = reconciler;
    this.validation = validation;
  }

  /** Proposes a version. Returns why the proposal is rejected, or null if it is accepted. */
  String propose(
      String operator, String reason, Version to, boolean hotReload, Version from, Timestamp now) {
    if (from.equals(Version.NONE)) {
      return "no relay runs anything that is known, so there is nothing to change from";
    }
    Deployment active = fleet.active();
    if (to.equals(active == null ? from : active.toVersion)) {
      return "there is nothing to change: the fleet runs this version"
          + (active == null ? "" : " once change " + active.number + " is done");
    }
    if (fleet.currentVersion.equals(Version.NONE)) {
      adoptBaseline(from, now);
    }
    Deployment pending = fleet.pending();
    if (pending != null) {
      reconciler.transition(
          pending,
          State.GIVEN_UP,
          pending.stage,
          "change " + (fleet.lastDeploymentNumber + 1) + " by " + operator + " takes its place",
          now);
    }
    Deployment deployment =
        new Deployment(++fleet.lastDeploymentNumber, operator, reason, from, to, hotReload, now);
    fleet.deployments.put(deployment.number, deployment);
    validation.rebuild();
    reconciler.transition(
        deployment, State.PROPOSED, 0, "proposed by " + operator + ": " + reason, now);
    dropOldest();
    reconciler.reconcile(now);
    return null;
  }

  /**
   * Prepares the first deployment: the baseline becomes the current version, and the desired
   * version of each relay becomes the version that the relay runs.
   */
  private void adoptBaseline(Version baseline, Timestamp now) {
    fleet.currentVersion = baseline;
    for (ManagedRelay relay : fleet.relays.values()) {
      if (relay.desiredVersion == null) {
        reconciler.setDesired(relay, relay.observedVersion, now);
      }
    }
  }

  private void dropOldest() {
    while (fleet.deployments.size() > MAX_DEPLOYMENTS
        && !fleet.deployments.firstEntry().getValue().state.isOpen()) {
      fleet.deployments.pollFirstEntry();
    }
  }

  /** Executes a command. Returns why it has no effect, or null if it has one. */
  String execute(
      DeploymentManager.OperatorCommand command, long number, String cause, Timestamp now) {
    Deployment deployment = fleet.deployments.get(number);
    if (deployment == null) {
      return "no change " + number + " is known";
    }
    if (!deployment.state.isOpen() || deployment.state == State.GOING_BACK) {
      return "change "
          + number
          + " is "
          + stateName(deployment.state)
          + ": it can't be held, resumed or withdrawn";
    }
    String rejection =
        switch (command) {
          case HOLD -> hold(deployment, cause, now);
          case RESUME -> resume(deployment, cause, now);
          case WITHDRAW -> withdraw(deployment, cause, now);
        };
    if (rejection == null) {
      reconciler.reconcile(now);
    }
    return rejection;
  }

  private String hold(Deployment deployment, String cause, Timestamp now) {
    if (deployment.held) {
      return "change " + deployment.number + " is held already";
    }
    deployment.held = true;
    reconciler.transition(deployment, deployment.state, deployment.stage, "held by " + cause, now);
    deployment.lastProgress = now;
    return null;
  }

  private String resume(Deployment deployment, String cause, Timestamp now) {
    if (!deployment.held) {
      return "change " + deployment.number + " is not held";
    }
    deployment.held = false;
    reconciler.transition(
        deployment, deployment.state, deployment.stage, "resumed by " + cause, now);
    deployment.lastProgress = now;
    // The observation time starts anew.
    deployment.stateSince = now;
    return null;
  }

  private String withdraw(Deployment deployment, String cause, Timestamp now) {
    if (deployment.state.isActive()) {
      reconciler.rollBack(deployment, "withdrawn by " + cause, now);
    } else {
      reconciler.transition(
          deployment, State.GIVEN_UP, deployment.stage, "withdrawn by " + cause, now);
    }
    return null;
  }

  private static String stateName(State state) {
    return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
