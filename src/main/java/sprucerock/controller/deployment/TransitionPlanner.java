package sprucerock.controller.deployment;

import static sprucerock.controller.deployment.DeploymentBlockers.seconds;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/** Chooses the next transition by the fleet's state and the time; it changes neither. */
final class TransitionPlanner {
  /** Updated relays that are lost so many times as often as others make a deployment fail. */
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

  /** What is to be done next; null while there is nothing to do but wait. */
  NextTransition next(Timestamp now) {
    int reconciled = fleet.status.firstReconciled();
    if (reconciled >= 0) {
      return new NextTransition.MarkReady(fleet.relays.get(reconciled));
    }
    Deployment active = fleet.active();
    Deployment pending = fleet.pending();
    NextTransition found =
        active == null
            ? null
            : switch (active.state) {
              case MOVING -> rollingOut(active, now);
              case WATCHED -> observing(active, now);
              default -> rollingBack(active, now);
            };
    if (found != null || pending == null) {
      return found;
    }
    return pending.state == State.PROPOSED
        ? validating(pending, now)
        : waiting(pending, active, now);
  }

  private NextTransition validating(Deployment deployment, Timestamp now) {
    int reachable = fleet.status.reachable();
    int mostRejections = (int) (plan.maxRejectedShare() * reachable);
    int rejections = deployment.rejections.size();
    if (rejections > mostRejections) {
      Map.Entry<Integer, String> first = deployment.rejections.entrySet().iterator().next();
      return changeState(
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
      return changeState(deployment, State.CHECKED, validated);
    }
    if (!now.since(deployment.stateSince).over(plan.progressDeadline())) {
      return null;
    }
    if (deployment.validated.isEmpty() || awaiting + rejections > mostRejections) {
      return changeState(
          deployment,
          State.GIVEN_UP,
          awaiting + " of " + reachable + " did not say in time whether they can run it");
    }
    return changeState(deployment, State.CHECKED, validated + "; the others are left out");
  }

  /** A deployment under validation is in stage 0, and so are those that follow from it. */
  private static NextTransition changeState(Deployment deployment, State state, String cause) {
    return new NextTransition.ChangeState(deployment, state, 0, cause);
  }

  private NextTransition waiting(Deployment deployment, Deployment active, Timestamp now) {
    if (deployment.held) {
      return afterDeadline(deployment, now);
    }
    return active != null || fleet.blocked()
        ? null
        : changeState(deployment, State.MOVING, "nothing is in its way");
  }

  /** A deployment that makes no progress ends at the plan's deadline. */
  private NextTransition afterDeadline(Deployment deployment, Timestamp now) {
    if (!now.since(deployment.lastProgress).over(plan.progressDeadline())) {
      return null;
    }
    String deadline = seconds(plan.progressDeadline());
    String cause =
        deployment.held
            ? "it was held for longer than " + deadline
            : deployment.state == State.WATCHED
                ? "it is not known to be no worse after " + deadline
                : "it came no further for " + deadline;
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
    NextTransition control = nextControl();
    if (control != null) {
      return control;
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

  private NextTransition nextControl() {
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

  /** Whether all relays of a stage are updated, and they and their controls are ready or lost. */
  private boolean allReady(Deployment deployment) {
    boolean all =
        !deployment.updated.isEmpty()
            && deployment.updated.size() >= selector.targetSize(deployment)
            && fleet.pendingControlRestarts.isEmpty();
    fleet.entriesExamined += deployment.updated.size() + deployment.controls.size();
    for (int number : deployment.updated) {
      all &= fleet.relays.get(number).reconciled() || fleet.relays.get(number).unreachable();
    }
    for (int number : deployment.controls.values()) {
      all &= fleet.relays.get(number).reconciled() || fleet.relays.get(number).unreachable();
    }
    return all;
  }

  /** Why a deployment can't go on, by what its updated relays do; null where they do well. */
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
            .filter(one -> one.unreachable() && !deployment.updated.contains(one.number))
            .count();
    double usual = othersLost / (double) Math.max(1, fleet.relays.size() - updated);
    // a machine may die by itself; that updated ones do so more often than others is the
    // deployment's doing
    if (deployment.stage == 0 || lost > 1 && lost > LOSS_FACTOR * usual * updated) {
      return lost + " of the relays that were moved are not heard any more";
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
    boolean over = now.since(deployment.stateSince).over(plan.observationTime());
    boolean compared = fleet.compared(deployment);
    boolean sure = !compared || deployment.verdict == Verdict.NO_WORSE;
    if (!over || !sure || fleet.blocked()) {
      return sure ? null : afterDeadline(deployment, now);
    }
    String cause = compared ? "no worse than those beside it" : "nothing spoke against it";
    if (deployment.stage < plan.stages().size() - 1) {
      return new NextTransition.ChangeState(deployment, State.MOVING, deployment.stage + 1, cause);
    }
    if (deployment.updated.size() < selector.targetSize(deployment)) {
      return new NextTransition.ChangeState(
          deployment, State.MOVING, deployment.stage, "relays are there that were not before");
    }
    return new NextTransition.Complete(deployment, cause);
  }

  /** The newest first; a relay that does not serve anyway needs no restart budget. */
  private NextTransition rollingBack(Deployment deployment, Timestamp now) {
    boolean all = true;
    fleet.entriesExamined += deployment.updated.size();
    List<Integer> newestFirst = new ArrayList<>(deployment.updated);
    Collections.reverse(newestFirst);
    for (int number : newestFirst) {
      ManagedRelay relay = fleet.relays.get(number);
      boolean told = relay.desiredVersion.equals(deployment.fromVersion);
      // one that is not reconciled is out already, if only because it fell back to what ran well
      // before
      if (!told && (!relay.reconciled() || budget.available(relay.zone))) {
        return new NextTransition.Revert(deployment, relay);
      }
      boolean lost =
          relay.unreachable() || told && now.since(relay.notifiedAt).over(plan.readyWithin());
      all &= told && (relay.reconciled() || lost);
    }
    if (!all) {
      return null;
    }
    List<Integer> lost = fleet.unreconciled(deployment);
    String but = lost.isEmpty() ? "" : " but relays " + lost + ", which are not ready or not heard";
    return new NextTransition.ChangeState(
        deployment, State.GIVEN_UP, deployment.stage, "all are back" + but);
  }
}
