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
 * Deployments of a fleet of relays: proposed, validated by every agent, rolled out stage by stage
 * beside a control group restarted on the old version, observed, and rolled back when the new
 * version does worse, fails to start or ends by itself. It does no I/O and reads no clock: the same
 * calls with the same times give the same state, which is how it comes back after a crash. What it
 * wants of a relay is a desired state (a version, and a generation that counts up), never an order
 * that could be lost or come twice.
 */
public final class DeploymentManager {
  /** What an operator may command about a deployment; the names are stored. */
  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Acts on transitions: tells agents and people. Called on the manager's thread. */
  public interface Listener {
    /** A transition was recorded; told in the order of their sequence. */
    void transitioned(Deployment deployment, Transition transition);

    /** The desired version or the generation of a relay has changed. */
    void desiredStateChanged(ManagedRelay relay);
  }

  /** Relays that are known at most; reports of further ones are dropped. */
  public static final int MAX_RELAYS = 10_000;

  final FleetState fleet;
  private final ValidationTracker validation;
  private final TransitionPlanner planner;
  private final Reconciler reconciler;
  private final OperatorCommands commands;
  private final DeploymentBlockers blockers;

  /** A manager that knows no relay yet; {@code listener} is told on the caller's thread. */
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

  /** The plan that deployments follow. */
  public DeploymentPlan plan() {
    return fleet.plan;
  }

  /** All deployments that are kept, the oldest first. */
  public Collection<Deployment> deployments() {
    return Collections.unmodifiableCollection(fleet.deployments.values());
  }

  /** The deployment of a number; null where none is kept. */
  public Deployment deployment(long number) {
    return fleet.deployments.get(number);
  }

  /** The relay of a number; null where none is known. */
  public ManagedRelay relay(int number) {
    return fleet.relays.get(number);
  }

  /** All relays, by number. */
  public Collection<ManagedRelay> relays() {
    return Collections.unmodifiableCollection(fleet.relays.values());
  }

  /** The version of relays that no deployment moves; NONE before the first deployment. */
  public Version currentVersion() {
    return fleet.currentVersion;
  }

  /** The same; before the first deployment the version that most relays run. */
  public Version baselineVersion() {
    return fleet.currentVersion.equals(Version.NONE)
        ? fleet.mostCommonVersion()
        : fleet.currentVersion;
  }

  /** The deployment that relays are moved by now; null where there is none. */
  public Deployment active() {
    return fleet.active();
  }

  /** The deployment under validation, or that waits to begin; null where there is none. */
  public Deployment pending() {
    return fleet.pending();
  }

  /** Of the last transition of any deployment; 0 before the first. */
  public long sequence() {
    return fleet.sequence;
  }

  /** Relays looked at so far to find transitions: what the scale tests bound. */
  public long entriesExamined() {
    return fleet.entriesExamined;
  }

  /** Whether a build of the endpoints is on trial or going back. */
  public boolean rolloutInProgress() {
    return fleet.rolloutInProgress;
  }

  /** A build of the endpoints is on trial or going back, or none is any more. */
  public void setRolloutInProgress(boolean is, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    fleet.rolloutInProgress = is;
    reconciler.reconcile(now);
  }

  /** What a deployment waits for, a line each; empty for one that has ended. */
  public List<String> blockers(Deployment deployment, Timestamp now) {
    return blockers.of(deployment, now);
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean transitionDue(Timestamp now) {
    return planner.next(now) != null;
  }

  /** All relays and deployments of an earlier incarnation are there. */
  void restored() {
    for (ManagedRelay relay : fleet.relays.values()) {
      fleet.status.add(relay);
    }
    validation.rebuild();
  }

  // Inputs. Each with the controller's time, and the wall clock in milliseconds for people.

  /**
   * An agent reports the observed state of its relay; it does so on change only.
   *
   * @param number of the relay; reports of more than {@link #MAX_RELAYS} relays are dropped
   * @param busy it carries more than the median of the fleet
   * @param observed the version that it runs
   * @param observedGeneration the last generation that its agent has carried out
   */
  public void reportStatus(
      int number,
      int zone,
      boolean busy,
      Version observed,
      boolean ready,
      int observedGeneration,
      Timestamp now,
      long wallMs) {
    reconciler.setWallMs(wallMs);
    ManagedRelay relay = fleet.relays.get(number);
    if (relay == null) {
      if (fleet.relays.size() >= MAX_RELAYS) {
        return;
      }
      relay = new ManagedRelay(number);
      fleet.relays.put(number, relay);
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

  /** An agent is not heard any more; its relay counts as out until the next report. */
  public void reportUnreachable(int number, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    ManagedRelay relay = fleet.relays.get(number);
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
   * A relay ended by itself, did not get ready or went over a limit. Agents tell a controller that
   * starts what they told the last one: a failure from before this deployment is none of its own,
   * though it may be of the same version, proposed again.
   *
   * @param version that failed
   * @param generation the last that its agent had been told by then; 0 where it does not know
   * @param how in one line, for people
   */
  public void reportFailure(
      int number, Version version, int generation, String how, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment active = fleet.active();
    boolean ours =
        active != null
            && active.state != State.GOING_BACK
            && version.equals(active.toVersion)
            && active.updated.contains(number)
            && (generation == 0 || generation >= fleet.relays.get(number).generation);
    if (ours) {
      reconciler.rollBack(active, "relay " + number + " " + how, now);
    }
    reconciler.reconcile(now);
  }

  /**
   * Proposes a version for the whole fleet. A proposal that waits already is given up for it.
   *
   * @param who proposes it, {@code why} in one line
   * @param hotReload running relays take the version over without a restart
   * @return why it is not taken, or null
   */
  public String propose(
      String who, String why, Version to, boolean hotReload, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    return commands.propose(who, why, to, hotReload, baselineVersion(), now);
  }

  /**
   * An agent has validated a proposed version.
   *
   * @param refusal why it can't be run there; empty where it can
   */
  public void reportValidation(
      int number, long deployment, String refusal, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment proposed = fleet.deployments.get(deployment);
    if (proposed == null || proposed.state != State.PROPOSED || !fleet.relays.containsKey(number)) {
      return;
    }
    if (refusal.isEmpty()) {
      proposed.validated.add(number);
      proposed.rejections.remove(number);
    } else {
      proposed.rejections.put(number, refusal);
      proposed.validated.remove(number);
    }
    validation.update(fleet.relays.get(number));
    reconciler.reconcile(now);
  }

  /** The comparison of a deployment in a stage has another verdict; a worse one rolls it back. */
  public void reportVerdict(
      long deployment, int stage, Verdict verdict, String reason, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    Deployment active = fleet.deployments.get(deployment);
    boolean fits =
        active != null
            && active.stage == stage
            && (active.state == State.MOVING || active.state == State.WATCHED);
    if (!fits) {
      return;
    }
    active.verdict = verdict;
    if (verdict == Verdict.WORSE) {
      reconciler.rollBack(active, "worse: " + reason, now);
    }
    reconciler.reconcile(now);
  }

  /**
   * The fleet's load allows another restart budget.
   *
   * @param byZone how many relays of a zone may be out at once
   * @param why none should be; empty where nothing speaks against it
   */
  public void setRestartBudget(
      Map<Integer, Integer> byZone, String why, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    fleet.restartBudgetByZone.clear();
    fleet.restartBudgetByZone.putAll(byZone);
    fleet.blockedReason = why;
    reconciler.reconcile(now);
  }

  /**
   * Carries out an operator's command, which is stronger than verdicts but for a worse one.
   *
   * @return why it has no effect, or null
   */
  public String command(
      OperatorCommand command, long number, String who, String reason, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    return commands.carryOut(command, number, who + ": " + reason, now);
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    reconciler.reconcile(now);
  }

  /** The controller was down for so long: that time counts for no deadline. */
  public void controllerRestarted(TimeSpan down, Timestamp now, long wallMs) {
    reconciler.setWallMs(wallMs);
    for (Deployment deployment : fleet.deployments.values()) {
      deployment.stateSince = deployment.stateSince.plus(down);
      deployment.lastProgress = deployment.lastProgress.plus(down);
    }
    for (ManagedRelay relay : fleet.relays.values()) {
      if (relay.notifiedAt != null) {
        relay.notifiedAt = relay.notifiedAt.plus(down);
      }
    }
    reconciler.reconcile(now);
  }
}
