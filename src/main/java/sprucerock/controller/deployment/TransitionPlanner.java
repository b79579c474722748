package sprucerock.controller.deployment;

import static sprucerock.controller.deployment.DeploymentBlockers.seconds;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/** Chooses the next transition from the fleet's state and the time, without changing the state. */
final class TransitionPlanner {
  /**
   * A deployment fails if its updated relays become unreachable more than this many times as often
   * as the other relays.
   */
  private static final double LOSS_FACTOR = 3;

  private final FleetState fleet;
  private final DeploymentPlan plan;
  private final RestartBudget budget;
  private final RelaySelector selector;
  private final ValidationTracker validation;

  TransitionPlanner(
      FleetState fleet,
      RestartBudget budget,
      RelaySelector selector,
      ValidationTracker validation) {
    this.fleet = fleet;
    plan = fleet.plan;
    this.budget = budget;
    this.selector = selector;
    this.validation = validation;
  }

  /** Returns the next transition that is due, or null if none is. */
  NextTransition next(Timestamp now) {
    int newlyReconciled = fleet.status.firstNewlyReconciled();
    if (newlyReconciled >= 0) {
      return new NextTransition.MarkReady(fleet.relays.get(newlyReconciled));
    }
    Deployment active = fleet.active();
    Deployment pending = fleet.pending();
    NextTransition transition =
        active == null
            ? null
            : switch (active.state) {
              case MOVING -> rollingOut(active, now);
              case WATCHED -> observing(active, now);
              default -> rollingBack(active, now);
            };
    if (transition != null || pending == null) {
      return transition;
    }
    return pending.state == State.PROPOSED
        ? validating(pending, now)
        : waiting(pending, active, now);
  }

  private NextTransition validating(Deployment deployment, Timestamp now) {
    int reachable = fleet.status.reachable();
    int maxRejections = (int) (plan.maxRejectedShare() * reachable);
    int rejections = deployment.rejections.size();
    if (rejections > maxRejections) {
      Map.Entry<Integer, String> first = deployment.rejections.entrySet().iterator().next();
      return pendingTransition(
          deployment,
          State.GIVEN_UP,
          rejections
              + " of "
              + reachable
              + " refuse it; relay "
              + first.getKey()
              + ": "
              + first.getValue());
    }
    int awaiting = validation.awaiting();
    String validated = deployment.validated.size() + " of " + reachable + " can run it";
    if (awaiting == 0 && reachable > 0) {
      return pendingTransition(deployment, State.CHECKED, validated);
    }
    if (!now.since(deployment.stateSince).over(plan.progressDeadline())) {
      return null;
    }
    if (deployment.validated.isEmpty() || awaiting + rejections > maxRejections) {
      return pendingTransition(
          deployment,
          State.GIVEN_UP,
          awaiting + " of " + reachable + " agents did not validate it in time");
    }
    return pendingTransition(
        deployment,
        State.CHECKED,
        validated + "; the other agents rejected it or did not answer in time");
  }

  /**
   * Returns the transition of a pending deployment to a state. A pending deployment is in stage 0.
   */
  private static NextTransition pendingTransition(
      Deployment deployment, State state, String cause) {
    return new NextTransition.ChangeState(deployment, state, 0, cause);
  }

  private NextTransition waiting(Deployment deployment, Deployment active, Timestamp now) {
    if (deployment.held) {
      return afterDeadline(deployment, now);
    }
    return active != null || fleet.blocked()
        ? null
        : pendingTransition(deployment, State.MOVING, "nothing is in its way");
  }

  /**
   * Returns the transition that ends a deployment without progress at the plan's deadline; null
   * before the deadline.
   */
  private NextTransition afterDeadline(Deployment deployment, Timestamp now) {
    if (!now.since(deployment.lastProgress).over(plan.progressDeadline())) {
      return null;
    }
    String deadline = seconds(plan.progressDeadline());
    String cause =
        deployment.held
            ? "it was held for longer than " + deadline
            : deployment.state == State.WATCHED
                ? "it was not shown to be no worse within " + deadline
                : "it made no progress for " + deadline;
    return deployment.state.isActive()
        ? new NextTransition.RollBack(deployment, cause)
        : new NextTransition.ChangeState(deployment, State.GIVEN_UP, deployment.stage, cause);
  }

  private NextTransition rollingOut(Deployment deployment, Timestamp now) {
    String failure = failure(deployment, now);
    if (failure != null) {
      return new NextTransition.RollBack(deployment, failure);
    }
    if (deployment.held) {
      return afterDeadline(deployment, now);
    }
    NextTransition controlTransition = nextControlTransition();
    if (controlTransition != null) {
      return controlTransition;
    }
    ManagedRelay relay =
        fleet.blocked() || deployment.updated.size() >= selector.targetSize(deployment)
            ? null
            : selector.nextCandidate(deployment);
    if (relay != null) {
      return new NextTransition.Update(deployment, relay);
    }
    if (!allReady(deployment)) {
      return afterDeadline(deployment, now);
    }
    return new NextTransition.ChangeState(
        deployment, State.WATCHED, deployment.stage, deployment.updated.size() + " relays run it");
  }

  private NextTransition nextControlTransition() {
    boolean blocked = fleet.blocked();
    for (int number : fleet.pendingControlRestarts) {
      fleet.entriesExamined++;
      ManagedRelay relay = fleet.relays.get(number);
      if (!blocked && relay.serving() && budget.available(relay.zone)) {
        return new NextTransition.RestartControl(relay);
      }
      if (relay.unreachable()) {
        return new NextTransition.SkipControl(number);
      }
    }
    return null;
  }

  /**
   * Returns whether all relays of a stage are updated, and each updated relay and each control is
   * reconciled or unreachable.
   */
  private boolean allReady(Deployment deployment) {
    boolean ready =
        !deployment.updated.isEmpty()
            && deployment.updated.size() >= selector.targetSize(deployment)
            && fleet.pendingControlRestarts.isEmpty();
    fleet.entriesExamined += deployment.updated.size() + deployment.controls.size();
    for (int number : deployment.updated) {
      ready &= fleet.relays.get(number).reconciled() || fleet.relays.get(number).unreachable();
    }
    for (int number : deployment.controls.values()) {
      ready &= fleet.relays.get(number).reconciled() || fleet.relays.get(number).unreachable();
    }
    return ready;
  }

  /**
   * Returns how a deployment has failed: an updated relay was not ready in time, or too many of
   * them are unreachable. Returns null if it has not failed.
   */
  private String failure(Deployment deployment, Timestamp now) {
    int lost = 0;
    fleet.entriesExamined += deployment.updated.size();
    for (int number : deployment.updated) {
      ManagedRelay relay = fleet.relays.get(number);
      if (relay.unreachable()) {
        lost++;
      } else if (!relay.reconciled()
          && relay.readyAt == null
          && now.since(relay.notifiedAt).over(plan.readyWithin())) {
        return "relay " + number + " was not ready within " + seconds(plan.readyWithin());
      }
    }
    if (lost == 0) {
      return null;
    }
    int updated = deployment.updated.size();
    long othersLost =
        fleet.examineAll().stream()
            .filter(relay -> relay.unreachable() && !deployment.updated.contains(relay.number))
            .count();
    double usualLossRate = othersLost / (double) Math.max(1, fleet.relays.size() - updated);
    // A single machine may fail whatever the deployment does. If updated relays are lost more often
    // than the others, the deployment is the cause. In stage 0 only one relay is updated, and its
    // loss is a failure.
    if (deployment.stage == 0 || lost > 1 && lost > LOSS_FACTOR * usualLossRate * updated) {
      return lost + " of the updated relays are unreachable";
    }
    return null;
  }

  private NextTransition observing(Deployment deployment, Timestamp now) {
    String failure = failure(deployment, now);
    if (failure != null) {
      return new NextTransition.RollBack(deployment, failure);
    }
    if (deployment.held) {
      return afterDeadline(deployment, now);
    }
    boolean observed = now.since(deployment.stateSince).over(plan.observationTime());
    boolean compared = fleet.compared(deployment);
    boolean acceptable = !compared || deployment.verdict == Verdict.NO_WORSE;
    if (!observed || !acceptable || fleet.blocked()) {
      return acceptable ? null : afterDeadline(deployment, now);
    }
    String cause = compared ? "no worse than those beside it" : "it was observed without a failure";
    if (deployment.stage < plan.stages().size() - 1) {
      return new NextTransition.ChangeState(deployment, State.MOVING, deployment.stage + 1, cause);
    }
    if (deployment.updated.size() < selector.targetSize(deployment)) {
      return new NextTransition.ChangeState(
          deployment, State.MOVING, deployment.stage, "relays are available that were not before");
    }
    return new NextTransition.Complete(deployment, cause);
  }

  /**
   * Reverts the updated relays in the reverse order of their updates. Restart budget is needed only
   * for relays that are available.
   */
  private NextTransition rollingBack(Deployment deployment, Timestamp now) {
    boolean allReverted = true;
    fleet.entriesExamined += deployment.updated.size();
    List<Integer> newestFirst = new ArrayList<>(deployment.updated);
    Collections.reverse(newestFirst);
    for (int number : newestFirst) {
      ManagedRelay relay = fleet.relays.get(number);
      boolean reverted = relay.desiredVersion.equals(deployment.fromVersion);
      // A relay that is not reconciled already counts as unavailable, even if it serves because its
      // agent has fallen back to the previous version.
      if (!reverted && (!relay.reconciled() || budget.available(relay.zone))) {
        return new NextTransition.Revert(deployment, relay);
      }
      boolean unreachableOrOverdue =
          relay.unreachable() || reverted && now.since(relay.notifiedAt).over(plan.readyWithin());
      allReverted &= reverted && (relay.reconciled() || unreachableOrOverdue);
    }
    if (!allReverted) {
      return null;
    }
    List<Integer> unreconciled = fleet.unreconciled(deployment);
    String exceptions =
        unreconciled.isEmpty()
            ? ""
            : " except relays " + unreconciled + ", which are unreachable or not ready";
    return new NextTransition.ChangeState(
        deployment, State.GIVEN_UP, deployment.stage, "all are back" + exceptions);
  }
}
