package sprucerock.controller.deployment;

import java.util.ArrayList;
import java.util.List;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Describes for operators what a deployment waits for. */
final class DeploymentBlockers {
  private final FleetState fleet;
  private final RestartBudget budget;
  private final RelaySelector selector;

  DeploymentBlockers(FleetState fleet, RestartBudget budget, RelaySelector selector) {
    this.fleet = fleet;
    this.budget = budget;
    this.selector = selector;
  }

  /** Lists what a deployment waits for, one line each; empty if the deployment has ended. */
  List<String> of(Deployment deployment, Timestamp now) {
    List<String> blockers = new ArrayList<>();
    if (!deployment.state.isOpen()) {
      return blockers;
    }
    if (deployment.held) {
      TimeSpan remaining = fleet.plan.progressDeadline().minus(now.since(deployment.lastProgress));
      blockers.add("an operator holds it, for " + seconds(remaining) + " at most");
    }
    boolean restartsRelays = deployment.state == State.MOVING || deployment.state == State.CHECKED;
    if (restartsRelays && fleet.rolloutInProgress) {
      blockers.add("the rollout of a build of the endpoints to end");
    }
    if (restartsRelays && !fleet.blockedReason.isEmpty()) {
      blockers.add(fleet.blockedReason);
    }
    switch (deployment.state) {
      case PROPOSED -> blockers.add(validationProgress(deployment));
      case CHECKED -> {
        if (fleet.active() != null) {
          blockers.add("change " + fleet.active().number + " to end");
        }
      }
      case MOVING -> blockers.add(updateProgress(deployment));
      case WATCHED -> {
        blockers.add(
            "its observation time: "
                + seconds(now.since(deployment.stateSince))
                + " of "
                + seconds(fleet.plan.observationTime()));
        if (fleet.compared(deployment) && deployment.verdict != Verdict.NO_WORSE) {
          blockers.add("the comparison to show that the new version is no worse");
        }
      }
      default ->
          blockers.add("relays to run the old version again: " + fleet.unreconciled(deployment));
    }
    return blockers;
  }

  private String validationProgress(Deployment deployment) {
    return "agents to read it through: "
        + (deployment.validated.size() + deployment.rejections.size())
        + " of "
        + fleet.status.reachable()
        + " have";
  }

  private String updateProgress(Deployment deployment) {
    return "relays of stage "
        + deployment.stage
        + ": "
        + deployment.updated.size()
        + " of "
        + selector.targetSize(deployment)
        + " were notified, "
        + fleet.unreconciled(deployment).size()
        + " of them are not ready; restart budget left by zone: "
        + budget.remainingText();
  }

  /** Formats a time span in whole seconds, for causes and blockers. */
  static String seconds(TimeSpan span) {
    return Math.round(span.ms() / 1000) + " s";
  }
}
