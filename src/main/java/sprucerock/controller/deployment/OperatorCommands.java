package sprucerock.controller.deployment;

import java.util.Locale;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/** Proposals, and what operators command about the deployments that they led to. */
final class OperatorCommands {
  /** Deployments that are kept; older ones are dropped once they have ended. */
  private static final int MAX_DEPLOYMENTS = 50;

  private final FleetState fleet;
  private final Reconciler reconciler;
  private final ValidationTracker validation;

  OperatorCommands(FleetState fleet, Reconciler reconciler, ValidationTracker validation) {
    this.fleet = fleet;
    this.reconciler = reconciler;
    this.validation = validation;
  }

  /** Why a proposal to go from the baseline version to another is not taken; null where it is. */
  String propose(
      String who, String why, Version to, boolean hotReload, Version from, Timestamp now) {
    if (from.equals(Version.NONE)) {
      return "no relay runs anything that is known, so there is nothing to change from";
    }
    Deployment active = fleet.active();
    if (to.equals(active == null ? from : active.toVersion)) {
      return "that is what relays run"
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
          "change " + (fleet.lastDeploymentNumber + 1) + " by " + who + " takes its place",
          now);
    }
    Deployment made =
        new Deployment(++fleet.lastDeploymentNumber, who, why, from, to, hotReload, now);
    fleet.deployments.put(made.number, made);
    validation.rebuild();
    reconciler.transition(made, State.PROPOSED, 0, "proposed by " + who + ": " + why, now);
    dropOldest();
    reconciler.reconcile(now);
    return null;
  }

  /** From the first proposal on, what relays run is also what they are to run. */
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

  /** Why a command has no effect; null where it has one. */
  String carryOut(
      DeploymentManager.OperatorCommand command, long number, String cause, Timestamp now) {
    Deployment deployment = fleet.deployments.get(number);
    if (deployment == null) {
      return "no change " + number + " is known";
    }
    if (!deployment.state.isOpen() || deployment.state == State.GOING_BACK) {
      return "change "
          + number
          + " is "
          + text(deployment.state)
          + ": it can't be held, resumed or withdrawn";
    }
    String refusal =
        switch (command) {
          case HOLD -> hold(deployment, cause, now);
          case RESUME -> resume(deployment, cause, now);
          case WITHDRAW -> withdraw(deployment, cause, now);
        };
    if (refusal == null) {
      reconciler.reconcile(now);
    }
    return refusal;
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
    deployment.stateSince = now; // it is observed anew
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

  private static String text(State state) {
    return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
