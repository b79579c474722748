package sprucerock.controller.deployment;

import java.util.ArrayList;
import java.util.List;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Says for people what a deployment waits for. */
final class DeploymentBlockers {
  private final FleetState fleet;
  private final RestartBudget budget;
  private final RelaySelector selector;

  DeploymentBlockers(FleetState fleet, RestartBudget budget, RelaySelector selector) {
    this.fleet = fleet;
    this.budget = budget;
    this.selector = selector;
  }

  /** What a deployment waits for, a line each; empty for one that has ended. */
  List<String> of(Deployment deployment, Timestamp now) {
    List<String> found = new ArrayList<>();
    if (!deployment.state.isOpen()) {
      return found;
    }
    if (deployment.held) {
      TimeSpan left = fleet.plan.progressDeadline().minus(now.since(deployment.lastProgress));
      found.add("an operator holds it, for " + seconds(left) + " at most");
    }
    boolean updates = deployment.state == State.MOVING || deployment.state == State.CHECKED;
    if (updates && fleet.rolloutInProgress) {
      found.add("a build of the units to be off trial");
    }
    if (updates && !fleet.blockedReason.isEmpty()) {
      found.add(fleet.blockedReason);
    }
    switch (deployment.state) {
      case PROPOSED -> found.add(validation(deployment));
      case CHECKED -> {
        if (fleet.active() != null) {
          found.add("change " + fleet.active().number + " to end");
        }
      }
      case MOVING -> found.add(updates(deployment));
      case WATCHED -> {
        found.add(
            "its time: "
                + seconds(now.since(deployment.stateSince))
                + " of "
                + seconds(fleet.plan.observationTime()));
        if (fleet.compared(deployment) && deployment.verdict != Verdict.NO_WORSE) {
          found.add("the comparison, which is not sure");
        }
      }
      default -> found.add("relays to be back: " + fleet.unreconciled(deployment));
    }
    return found;
  }

  private String validation(Deployment deployment) {
    return "agents to read it through: "
        + (deployment.validated.size() + deployment.rejections.size())
        + " of "
        + fleet.status.reachable()
        + " have";
  }

  private String updates(Deployment deployment) {
    return "relays of stage "
        + deployment.stage
        + ": "
        + deployment.updated.size()
        + " of "
        + selector.targetSize(deployment)
        + " were told, "
        + fleet.unreconciled(deployment).size()
        + " of them are not ready; room in zones "
        + budget.remainingText();
  }

  /** A time in whole seconds, as it stands in causes and blockers. */
  static String seconds(TimeSpan span) {
    return Math.round(span.ms() / 1000) + " s";
  }
}
