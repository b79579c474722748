package sprucerock.controller.deployment;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.controller.deployment.Deployment.Transition;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Manages the deployments of a fleet of relays. A deployment is proposed, validated by every agent,
 * rolled out stage by stage and observed next to a control group that is restarted on the old
 * version. It is rolled back when the new version does worse, fails to start or exits unexpectedly.
 *
 * <p>The manager does no I/O and reads no clock: the same calls with the same times give the same
 * state, so replaying the log restores the state after a crash. Agents receive a desired state (a
 * version, and a generation that counts up) instead of orders, because an order could be lost or
 * arrive twice.
 */
public final class DeploymentManager {
  /** The commands that an operator may give about a deployment. The names are stored. */
  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /**
   * Receives transitions and new desired states, to notify operators and agents. Called within the
   * call to the manager that caused them.
   */
  public interface Listener {
    /** Receives each recorded transition, in the order of the sequence numbers. */
    void transitioned(Deployment deployment, Transition transition);

    /** Receives each relay whose desired version or generation has changed. */
    void desiredStateChanged(ManagedRelay relay);
  }

  /** The maximum number of relays; reports of further relays are dropped. */
  public static final int MAX_RELAYS = 10_000;

  final FleetState fleet;
  private final ValidationTracker validation;
  private final TransitionPlanner planner;
  private final Reconciler reconciler;
  private final OperatorCommands commands;
  private final DeploymentBlockers blockers;

  /** Creates a manager without relays. */
  public DeploymentManager(DeploymentPlan plan, Listener listener) {
    fleet = new FleetState(plan);
    RestartBudget budget = new RestartBudget(fleet);
    RelaySelector selector = new RelaySelector(fleet, budget);
    validation = new ValidationTracker(fleet);
    planner = new TransitionPlanner(fleet, budget, selector, validation);
    reconciler = new Reconciler(fleet, planner, selector, listener);
    commands = new OperatorCommands(fleet, reconciler, validation);
    blockers = new DeploymentBlockers(fleet, budget, selector);
  }

  // Queries.

  /** Returns the plan that all deployments follow. */
  public DeploymentPlan plan() {
    return fleet.plan;
  }

  /** Returns all retained deployments, the oldest first. */
  public Collection<Deployment> deployments() {
    return Collections.unmodifiableCollection(fleet.deployments.values());
  }

  /** Returns the deployment with the given number, or null if it is not retained. */
  public Deployment deployment(long number) {
    return fleet.deployments.get(number);
  }

  /** Returns the relay with the given number, or null if no agent has reported it. */
  public ManagedRelay relay(int number) {
    return fleet.relays.get(number);
  }

  /** Returns all relays, ordered by number. */
  public Collection<ManagedRelay> relays() {
    return Collections.unmodifiableCollection(fleet.relays.values());
  }

  /**
   * Returns the version of the last completed deployment. Until a deployment completes, it is the
   * baseline that the first proposal started from; {@link Version#NONE} before the first proposal.
   */
  public Version currentVersion() {
    return fleet.currentVersion;
  }

  /**
   * Returns the version that a new deployment starts from: the current version, or before the first
   * deployment the version that most serving relays run.
   */
  public Version baselineVersion() {
    return fleet.currentVersion.equals(Version.NONE)
        ? fleet.mostCommonVersion()
        : fleet.currentVersion;
  }

  /** Returns the deployment that is rolling out, under observation or rolling back, or null. */
  public Deployment active() {
    return fleet.active();
  }

  /** Returns the deployment that is under validation or waits to begin, or null. */
  public Deployment pending() {
    return fleet.pending();
  }

  /** Returns the sequence number of the last transition of any deployment; 0 before the first. */
  public long sequence() {
    return fleet.sequence;
  }

  /** Returns how many relays were examined so far to find transitions; for the scale tests. */
  public long entriesExamined() {
    return fleet.entriesExamined;
  }

  /** Returns whether a build of the endpoints is on trial or being rolled back. */
  public boolean rolloutInProgress() {
    return fleet.rolloutInProgress;
  }

  /** Sets whether a build of the endpoints is on trial or being rolled back. */
  public void setRolloutInProgress(boolean inProgress, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    fleet.rolloutInProgress = inProgress;
    reconciler.reconcile(now);
  }

  /** Lists what a deployment waits for, one line each; empty if the deployment has ended. */
  public List<String> blockers(Deployment deployment, Timestamp now) {
    return blockers.of(deployment, now);
  }

  /** Returns whether a tick would cause a transition now; if not, the tick need not be logged. */
  public boolean transitionDue(Timestamp now) {
    return planner.next(now) != null;
  }

  /** Rebuilds the derived sums once all relays and deployments are restored from a snapshot. */
  void restored() {
    for (ManagedRelay relay : fleet.relays.values()) {
      fleet.status.add(relay);
    }
    validation.rebuild();
  }

  // Inputs. `now` is the controller's time; `wallMs` is the wall-clock time in milliseconds, to be
  // shown to operators.

  /**
   * Records the observed state of a relay. Agents report only changes.
   *
   * @param relayNumber the relay's number; a report of a new relay is dropped if there are {@link
   *     #MAX_RELAYS} already
   * @param busy whether the relay carries more load than the median of the fleet
   * @param observed the version that the relay runs
   * @param observedGeneration the last generation that the relay's agent has applied
   */
  public void reportStatus(
      int relayNumber,
      int zone,
      boolean busy,
      Version observed,
      boolean ready,
      int observedGeneration,
      Timestamp now,
      long wallMs) {
    reconciler.setWallMs(wallMs);
    ManagedRelay relay = fleet.relays.get(relayNumber);
    if (relay == null) {
      if (fleet.relays.size() >= MAX_RELAYS) {
        return;
      }
      relay = new ManagedRelay(relayNumber);
      fleet.relays.put(relayNumber, relay);
    } else {
      fleet.status.remove(relay);
    }
    relay.zone = zone;
    relay.busy = busy;
    relay.observedVersion = observed;
    relay.ready = ready;
    relay.unreachableSince = null;
    relay.observedGeneration = observedGeneration;
    fleet.status.add(relay);
    validation.update(relay);
    if (relay.desiredVersion == null && !fleet.currentVersion.equals(Version.NONE)) {
      reconciler.setDesired(relay, fleet.currentVersion, now);
    }
    reconciler.reconcile(now);
  }

  /** Marks a relay unreachable. It counts as unavailable until its agent's next report. */
  public void reportUnreachable(int relayNumber, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    ManagedRelay relay = fleet.relays.get(relayNumber);
    if (relay == null || relay.unreachableSince != null) {
      return;
    }
    fleet.status.remove(relay);
    relay.unreachableSince = now;
    fleet.status.add(relay);
    validation.update(relay);
    reconciler.reconcile(now);
  }

  /**
   * Rolls the active deployment back because a relay exited unexpectedly, did not become ready or
   * exceeded a limit. Agents repeat their last failure to a controller that has just started, so a
   * failure from before this deployment does not count against it, even if the same version was
   * proposed again.
   *
   * @param version the version that failed
   * @param generation the last generation that the agent had received when the relay failed; 0 if
   *     the agent does not know it
   * @param description a one-line description for operators
   */
  public void reportFailure(
      int relayNumber,
      Version version,
      int generation,
      String description,
      Timestamp now,
      long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment active = fleet.active();
    boolean causedByActive =
        active != null
            && active.state != State.GOING_BACK
            && version.equals(active.toVersion)
            && active.updated.contains(relayNumber)
            && (generation == 0 || generation >= fleet.relays.get(relayNumber).generation);
    if (causedByActive) {
      reconciler.rollBack(active, "relay " + relayNumber + " " + description, now);
    }
    reconciler.reconcile(now);
  }

  /**
   * Proposes a version for the whole fleet. The proposal replaces an earlier one that has not begun
   * to roll out.
   *
   * @param operator the operator who proposes the version
   * @param reason the operator's reason in one line
   * @param hotReload whether running relays load the version without a restart
   * @return why the proposal is rejected, or null if it is accepted
   */
  public String propose(
      String operator, String reason, Version to, boolean hotReload, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    return commands.propose(operator, reason, to, hotReload, baselineVersion(), now);
  }

  /**
   * Records an agent's validation of a proposed version.
   *
   * @param rejection why the agent's relay can't run the version; empty if it can
   */
  public void reportValidation(
      int relayNumber, long deploymentNumber, String rejection, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment proposed = fleet.deployments.get(deploymentNumber);
    if (proposed == null
        || proposed.state != State.PROPOSED
        || !fleet.relays.containsKey(relayNumber)) {
      return;
    }
    if (rejection.isEmpty()) {
      proposed.validated.add(relayNumber);
      proposed.rejections.remove(relayNumber);
    } else {
      proposed.rejections.put(relayNumber, rejection);
      proposed.validated.remove(relayNumber);
    }
    validation.update(fleet.relays.get(relayNumber));
    reconciler.reconcile(now);
  }

  /** Records a new verdict on a deployment's stage. The verdict WORSE rolls the deployment back. */
  public void reportVerdict(
      long deploymentNumber,
      int stage,
      Verdict verdict,
      String reason,
      Timestamp now,
      long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment deployment = fleet.deployments.get(deploymentNumber);
    boolean concernsCurrentStage =
        deployment != null
            && deployment.stage == stage
            && (deployment.state == State.MOVING || deployment.state == State.WATCHED);
    if (!concernsCurrentStage) {
      return;
    }
    deployment.verdict = verdict;
    if (verdict == Verdict.WORSE) {
      reconciler.rollBack(deployment, "worse: " + reason, now);
    }
    reconciler.reconcile(now);
  }

  /**
   * Sets the restart budget that the fleet's load allows.
   *
   * @param byZone how many relays may be unavailable at once, by zone
   * @param blockedReason why no relay may be restarted now; empty if restarts are allowed
   */
  public void setRestartBudget(
      Map<Integer, Integer> byZone, String blockedReason, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    fleet.restartBudgetByZone.clear();
    fleet.restartBudgetByZone.putAll(byZone);
    fleet.blockedReason = blockedReason;
    reconciler.reconcile(now);
  }

  /**
   * Applies an operator's command. A held deployment does not advance, whatever its verdict, but
   * the verdict WORSE still rolls it back.
   *
   * @return why the command has no effect, or null if it has one
   */
  public String command(
      OperatorCommand command,
      long deploymentNumber,
      String operator,
      String reason,
      Timestamp now,
      long wallMs) {
    reconciler.setWallMs(wallMs);
    return commands.execute(command, deploymentNumber, operator + ": " + reason, now);
  }

  /** Applies the transitions that have become due because time has passed. */
  public void tick(Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    reconciler.reconcile(now);
  }

  /** Extends all deadlines by the time for which the controller was down. */
  public void controllerRestarted(TimeSpan downtime, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    for (Deployment deployment : fleet.deployments.values()) {
      deployment.stateSince = deployment.stateSince.plus(downtime);
      deployment.lastProgress = deployment.lastProgress.plus(downtime);
    }
    for (ManagedRelay relay : fleet.relays.values()) {
      if (relay.notifiedAt != null) {
        relay.notifiedAt = relay.notifiedAt.plus(downtime);
      }
    }
    reconciler.reconcile(now);
  }
}
