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
  /** What an operator may say of a change. */
  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Who acts on it. */
  public interface Listener {
    /** Told in the order in which they happen. */
    void transitioned(Deployment change, Transition step);

    /** What a relay is to run has changed. */
    void desiredStateChanged(ManagedRelay relay);
  }

  /** Relays that are known at most; reports of further ones are dropped. */
  public static final int MAX_RELAYS = 10_000;

  static final int MAX_DEPLOYMENTS = 50;

  final FleetState fleet;
  private final Listener listener;
  private final ValidationTracker validation;
  private final TransitionPlanner planner;
  private final RelaySelector selector;
  private final DeploymentBlockers blockers;
  private long wallMs;

  /** A manager that knows no relay yet; {@code listener} is told on the caller's thread. */
  public DeploymentManager(DeploymentPlan plan, Listener listener) {
    this.listener = listener;
    fleet = new FleetState(plan);
    RestartBudget budget = new RestartBudget(fleet);
    selector = new RelaySelector(fleet, budget);
    validation = new ValidationTracker(fleet);
    planner = new TransitionPlanner(fleet, budget, selector, validation);
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
   * An agent says how its relay stands: told on change only. {@code done}: the turn that it has
   * carried out.
   */
  public void reportStatus(
      int number,
      int zone,
      boolean busy,
      Version runs,
      boolean ready,
      int done,
      Timestamp now,
      long wall) {
    wallMs = wall;
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
    relay.observedVersion = runs;
    relay.ready = ready;
    relay.unreachableSince = null;
    relay.observedGeneration = done;
    fleet.status.add(relay);
    validation.update(relay);
    if (relay.desiredVersion == null && !fleet.currentVersion.equals(Version.NONE)) {
      setDesired(relay, fleet.currentVersion, now);
    }
    reconcile(now);
  }

  /** An agent is not heard any more. */
  public void reportUnreachable(int number, Timestamp now, long wall) {
    wallMs = wall;
    ManagedRelay relay = fleet.relays.get(number);
    if (relay == null || relay.unreachableSince != null) {
      return;
    }
    fleet.status.remove(relay);
    relay.unreachableSince = now;
    fleet.status.add(relay);
    validation.update(relay);
    reconcile(now);
  }

  /**
   * A relay ended by itself, did not get ready or went over a limit, on that version; {@code how}
   * is for people. {@code turn}: the last that its agent had been told by then, 0 where it does not
   * know. Agents tell a controller that starts what they told the last one: a failure from before
   * this change is none of its, though it may be of the same version, proposed again.
   */
  public void reportFailure(
      int number, Version version, int turn, String how, Timestamp now, long wall) {
    wallMs = wall;
    Deployment under = fleet.active();
    boolean ours =
        under != null
            && under.state != State.GOING_BACK
            && version.equals(under.toVersion)
            && under.updated.contains(number)
            && (turn == 0 || turn >= fleet.relays.get(number).generation);
    if (ours) {
      rollBack(under, "relay " + number + " " + how, now);
    }
    reconcile(now);
  }

  /**
   * Somebody proposes what relays are to run, {@code live}: without a restart; says why it is not
   * taken, or null.
   */
  public String propose(
      String who, String why, Version to, boolean live, Timestamp now, long wall) {
    wallMs = wall;
    Version from = baselineVersion();
    if (from.equals(Version.NONE)) {
      return "no relay runs anything that is known, so there is nothing to change from";
    }
    Deployment under = fleet.active();
    if (to.equals(under == null ? from : under.toVersion)) {
      return "that is what relays run"
          + (under == null ? "" : " once change " + under.number + " is done");
    }
    if (fleet.currentVersion.equals(Version.NONE)) {
      fleet.currentVersion = from;
      for (ManagedRelay relay : fleet.relays.values()) {
        if (relay.desiredVersion == null) {
          setDesired(relay, relay.observedVersion, now);
        }
      }
    }
    Deployment waits = fleet.pending();
    if (waits != null) {
      transition(
          waits,
          State.GIVEN_UP,
          waits.stage,
          "change " + (fleet.lastNumber + 1) + " by " + who + " takes its place",
          now);
    }
    Deployment made = new Deployment(++fleet.lastNumber, who, why, from, to, live, now);
    fleet.deployments.put(made.number, made);
    validation.rebuild();
    transition(made, State.PROPOSED, 0, "proposed by " + who + ": " + why, now);
    while (fleet.deployments.size() > MAX_DEPLOYMENTS
        && !fleet.deployments.firstEntry().getValue().state.open()) {
      fleet.deployments.pollFirstEntry();
    }
    reconcile(now);
    return null;
  }

  /**
   * An agent has read a proposed version through; {@code refusal}: why it can't be run there, empty
   * where it can.
   */
  public void reportValidation(int number, long change, String refusal, Timestamp now, long wall) {
    wallMs = wall;
    Deployment proposed = fleet.deployments.get(change);
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
    reconcile(now);
  }

  /** The comparison of a change in that stage says something else than before. */
  public void reportVerdict(
      long change, int stage, Verdict verdict, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment under = fleet.deployments.get(change);
    boolean fits =
        under != null
            && under.stage == stage
            && (under.state == State.MOVING || under.state == State.WATCHED);
    if (!fits) {
      return;
    }
    under.verdict = verdict;
    if (verdict == Verdict.WORSE) {
      rollBack(under, "worse: " + reason, now);
    }
    reconcile(now);
  }

  /**
   * How many relays of a zone may be out at once by the fleet's load; {@code why} none should be,
   * or empty.
   */
  public void setRestartBudget(Map<Integer, Integer> byZone, String why, Timestamp now, long wall) {
    wallMs = wall;
    fleet.restartBudgetByZone.clear();
    fleet.restartBudgetByZone.putAll(byZone);
    fleet.blockedReason = why;
    reconcile(now);
  }

  /** A build of the units is on trial or going back, or none is any more. */
  public void rolloutInProgress(boolean is, Timestamp now, long wall) {
    wallMs = wall;
    fleet.rolloutInProgress = is;
    reconcile(now);
  }

  /**
   * An operator's word, which is stronger than verdicts but for a worse one; says why it has no
   * effect, or null.
   */
  public String command(
      OperatorCommand word, long number, String who, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment change = fleet.deployments.get(number);
    if (change == null) {
      return "no change " + number + " is known";
    }
    String cause = who + ": " + reason;
    boolean runs = change.state.open() && change.state != State.GOING_BACK;
    if (!runs) {
      return "change "
          + number
          + " is "
          + stateText(change.state)
          + ": it can't be held, resumed or withdrawn";
    }
    switch (word) {
      case HOLD -> {
        if (change.held) {
          return "change " + number + " is held already";
        }
        change.held = true;
        transition(change, change.state, change.stage, "held by " + cause, now);
        change.lastProgress = now;
      }
      case RESUME -> {
        if (!change.held) {
          return "change " + number + " is not held";
        }
        change.held = false;
        transition(change, change.state, change.stage, "resumed by " + cause, now);
        change.lastProgress = now;
        change.stateSince = now; // it is watched anew
      }
      case WITHDRAW -> {
        if (change.state.active()) {
          rollBack(change, "withdrawn by " + cause, now);
        } else {
          transition(change, State.GIVEN_UP, change.stage, "withdrawn by " + cause, now);
        }
      }
      default -> throw new IllegalArgumentException("no such word");
    }
    reconcile(now);
    return null;
  }

  static String stateText(State state) {
    return state.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wall) {
    wallMs = wall;
    reconcile(now);
  }

  /** Whoever counts here was down for so long: nobody could be told, and nobody watched. */
  public void restarted(TimeSpan down, Timestamp now, long wall) {
    wallMs = wall;
    for (Deployment change : fleet.deployments.values()) {
      change.stateSince = change.stateSince.plus(down);
      change.lastProgress = change.lastProgress.plus(down);
    }
    for (ManagedRelay relay : fleet.relays.values()) {
      if (relay.notifiedAt != null) {
        relay.notifiedAt = relay.notifiedAt.plus(down);
      }
    }
    reconcile(now);
  }

  private void reconcile(Timestamp now) {
    for (NextTransition next = planner.next(now); next != null; next = planner.next(now)) {
      apply(next, now);
    }
  }

  private void apply(NextTransition next, Timestamp now) {
    if (next instanceof NextTransition.NoteReady ready) {
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

  private void rollBack(Deployment deployment, String cause, Timestamp now) {
    fleet.pendingControlRestarts.clear();
    transition(deployment, State.GOING_BACK, deployment.stage, cause, now);
  }

  private void setDesired(ManagedRelay relay, Version version, Timestamp now) {
    fleet.setDesired(relay, version, now);
    listener.desiredStateChanged(relay);
  }

  private void transition(Deployment change, State to, int stage, String cause, Timestamp now) {
    boolean moves = change.state != to || change.stage != stage || change.transitions().isEmpty();
    if (change.stage != stage) {
      change.verdict = Verdict.NOT_SURE;
    }
    change.state = to;
    change.stage = stage;
    if (moves) {
      change.stateSince = now;
      change.lastProgress = now;
    }
    if (moves && !to.open()) {
      change.held = false;
    }
    Transition step = new Transition(++fleet.sequence, now, wallMs, to, stage, cause);
    change.add(step);
    listener.transitioned(change, step);
  }
}
