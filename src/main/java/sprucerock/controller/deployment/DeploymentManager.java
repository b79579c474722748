package sprucerock.controller.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.controller.deployment.Deployment.Transition;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What the relays of a fleet run, and how that changes: proposed, read through by every agent,
 * moved stage by stage beside relays restarted on the old version, watched, and taken back when it
 * does worse, fails to start or ends by itself. It does no I/O and reads no clock: the same inputs
 * at the same times give the same state, which is how it comes back after a crash. What it wants of
 * a relay is a state (a version, and a turn that counts up), never an order that could be lost or
 * come twice.
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

  static final int MAX_DEPLOYMENTS = 50;
  public static final int MAX_RELAYS = 10_000;

  private final DeploymentPlan plan;
  private final Listener listener;
  final TreeMap<Integer, ManagedRelay> relays = new TreeMap<>();
  final TreeMap<Long, Deployment> deploymentsByNumber = new TreeMap<>();

  /** Restarts on the old version that wait for room. */
  final List<Integer> pendingControlRestarts = new ArrayList<>();

  /**
   * How many may be out in a zone, as the fleet's load allows; what is not in it has no bound but
   * the plan's.
   */
  final TreeMap<Integer, Integer> restartBudgetByZone = new TreeMap<>();

  Version currentVersion = Version.NONE;
  long sequence;
  long lastNumber;

  /** Why nothing is moved now, whatever the room; empty where nothing is in the way. */
  String blockedReason = "";

  /** A build of the units is on trial or going back: relays that judge it are not restarted. */
  boolean rolloutInProgress;

  private long wallMs;
  // What each word asks of all is kept as relays change; who of those that are heard has not read
  // the proposed version through yet, too.
  private final FleetStatus fleet = new FleetStatus();
  private final Set<Integer> awaitingValidation = new HashSet<>();
  private long entriesExamined;

  public DeploymentManager(DeploymentPlan plan, Listener host) {
    this.plan = plan;
    this.listener = host;
  }

  // What is asked.

  public DeploymentPlan plan() {
    return plan;
  }

  public Collection<Deployment> deployments() {
    return Collections.unmodifiableCollection(deploymentsByNumber.values());
  }

  public Deployment deployment(long number) {
    return deploymentsByNumber.get(number);
  }

  public ManagedRelay relay(int number) {
    return relays.get(number);
  }

  public Collection<ManagedRelay> relays() {
    return Collections.unmodifiableCollection(relays.values());
  }

  /** What relays run that no change is at. */
  public Version currentVersion() {
    return currentVersion;
  }

  /** The same; before the first change what most relays run. */
  public Version baselineVersion() {
    return currentVersion.equals(Version.NONE) ? budget() : currentVersion;
  }

  /** The one that relays are moved by now; null where there is none. */
  public Deployment active() {
    for (Deployment one : deploymentsByNumber.values()) {
      if (one.state.active()) {
        return one;
      }
    }
    return null;
  }

  /** The one that agents are to read through, or that waits; null where there is none. */
  public Deployment pending() {
    for (Deployment one : deploymentsByNumber.values()) {
      if (one.state == State.PROPOSED || one.state == State.CHECKED) {
        return one;
      }
    }
    return null;
  }

  public long sequence() {
    return sequence;
  }

  /**
   * Relays that were looked at so far to find what is to be done: what tests of its growth count.
   */
  public long entriesExamined() {
    return entriesExamined;
  }

  private Collection<ManagedRelay> examineAll() {
    entriesExamined += relays.size();
    return relays.values();
  }

  /** All relays and changes are there from a former life. */
  void restored() {
    for (ManagedRelay relay : relays.values()) {
      fleet.add(relay);
    }
    rebuildAwaitingValidation();
  }

  private void rebuildAwaitingValidation() {
    awaitingValidation.clear();
    for (ManagedRelay relay : examineAll()) {
      updateAwaitingValidation(relay);
    }
  }

  /** Whether it is still to read the proposed version through. */
  private void updateAwaitingValidation(ManagedRelay relay) {
    Deployment proposed = pending();
    boolean is =
        proposed != null
            && proposed.state == State.PROPOSED
            && !relay.unreachable()
            && !proposed.validated.contains(relay.number)
            && !proposed.rejections.containsKey(relay.number);
    if (is) {
      awaitingValidation.add(relay.number);
    } else {
      awaitingValidation.remove(relay.number);
    }
  }

  public boolean rolloutInProgress() {
    return rolloutInProgress;
  }

  /** Why a change stands where it stands, a line each. */
  public List<String> blockers(Deployment change, Timestamp now) {
    List<String> found = new ArrayList<>();
    if (!change.state.open()) {
      return found;
    }
    if (change.held) {
      found.add(
          "an operator holds it, for "
              + seconds(plan.progressDeadline().minus(now.since(change.lastProgress)))
              + " at most");
    }
    boolean moves = change.state == State.MOVING || change.state == State.CHECKED;
    if (moves && rolloutInProgress) {
      found.add("a build of the units to be off trial");
    }
    if (moves && !blockedReason.isEmpty()) {
      found.add(blockedReason);
    }
    switch (change.state) {
      case PROPOSED ->
          found.add(
              "agents to read it through: "
                  + (change.validated.size() + change.rejections.size())
                  + " of "
                  + reachable()
                  + " have");
      case CHECKED -> {
        if (active() != null) {
          found.add("change " + active().number + " to end");
        }
      }
      case MOVING ->
          found.add(
              "relays of stage "
                  + change.stage
                  + ": "
                  + change.updated.size()
                  + " of "
                  + targetSize(change)
                  + " were told, "
                  + unreconciled(change).size()
                  + " of them are not ready; room in zones "
                  + freeBudgetText());
      case WATCHED -> {
        found.add(
            "its time: "
                + seconds(now.since(change.stateSince))
                + " of "
                + seconds(plan.observationTime()));
        if (reportVerdict(change) && change.verdict != Verdict.NO_WORSE) {
          found.add("the comparison, which is not sure");
        }
      }
      default -> found.add("relays to be back: " + unreconciled(change));
    }
    return found;
  }

  private static String seconds(TimeSpan span) {
    return Math.round(span.ms() / 1000) + " s";
  }

  // What happens. Each with the time, and the wall's clock for people.

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
    ManagedRelay relay = relays.get(number);
    if (relay == null) {
      if (relays.size() >= MAX_RELAYS) {
        return;
      }
      relay = new ManagedRelay(number);
      relays.put(number, relay);
    } else {
      fleet.remove(relay);
    }
    relay.zone = zone;
    relay.busy = busy;
    relay.observedVersion = runs;
    relay.ready = ready;
    relay.unreachableSince = null;
    relay.observedGeneration = done;
    fleet.add(relay);
    updateAwaitingValidation(relay);
    if (relay.desiredVersion == null && !currentVersion.equals(Version.NONE)) {
      setDesired(relay, currentVersion, now);
    }
    reconcile(now);
  }

  /** An agent is not heard any more. */
  public void reportUnreachable(int number, Timestamp now, long wall) {
    wallMs = wall;
    ManagedRelay relay = relays.get(number);
    if (relay == null || relay.unreachableSince != null) {
      return;
    }
    fleet.remove(relay);
    relay.unreachableSince = now;
    fleet.add(relay);
    updateAwaitingValidation(relay);
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
    Deployment under = active();
    boolean ours =
        under != null
            && under.state != State.GOING_BACK
            && version.equals(under.toVersion)
            && under.updated.contains(number)
            && (turn == 0 || turn >= relays.get(number).generation);
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
    Deployment under = active();
    if (to.equals(under == null ? from : under.toVersion)) {
      return "that is what relays run"
          + (under == null ? "" : " once change " + under.number + " is done");
    }
    if (currentVersion.equals(Version.NONE)) {
      currentVersion = from;
      for (ManagedRelay relay : relays.values()) {
        if (relay.desiredVersion == null) {
          setDesired(relay, relay.observedVersion, now);
        }
      }
    }
    Deployment waits = pending();
    if (waits != null) {
      transition(
          waits,
          State.GIVEN_UP,
          waits.stage,
          "change " + (lastNumber + 1) + " by " + who + " takes its place",
          now);
    }
    Deployment made = new Deployment(++lastNumber, who, why, from, to, live, now);
    deploymentsByNumber.put(made.number, made);
    rebuildAwaitingValidation();
    transition(made, State.PROPOSED, 0, "proposed by " + who + ": " + why, now);
    while (deploymentsByNumber.size() > MAX_DEPLOYMENTS
        && !deploymentsByNumber.firstEntry().getValue().state.open()) {
      deploymentsByNumber.pollFirstEntry();
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
    Deployment proposed = deploymentsByNumber.get(change);
    if (proposed == null || proposed.state != State.PROPOSED || !relays.containsKey(number)) {
      return;
    }
    if (refusal.isEmpty()) {
      proposed.validated.add(number);
      proposed.rejections.remove(number);
    } else {
      proposed.rejections.put(number, refusal);
      proposed.validated.remove(number);
    }
    updateAwaitingValidation(relays.get(number));
    reconcile(now);
  }

  /** The comparison of a change in that stage says something else than before. */
  public void reportVerdict(
      long change, int stage, Verdict verdict, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment under = deploymentsByNumber.get(change);
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
    restartBudgetByZone.clear();
    restartBudgetByZone.putAll(byZone);
    blockedReason = why;
    reconcile(now);
  }

  /** A build of the units is on trial or going back, or none is any more. */
  public void rolloutInProgress(boolean is, Timestamp now, long wall) {
    wallMs = wall;
    rolloutInProgress = is;
    reconcile(now);
  }

  /**
   * An operator's word, which is stronger than verdicts but for a worse one; says why it has no
   * effect, or null.
   */
  public String command(
      OperatorCommand word, long number, String who, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment change = deploymentsByNumber.get(number);
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
    for (Deployment change : deploymentsByNumber.values()) {
      change.stateSince = change.stateSince.plus(down);
      change.lastProgress = change.lastProgress.plus(down);
    }
    for (ManagedRelay relay : relays.values()) {
      if (relay.notifiedAt != null) {
        relay.notifiedAt = relay.notifiedAt.plus(down);
      }
    }
    reconcile(now);
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean transitionDue(Timestamp now) {
    return nextTransition(now) != null;
  }

  private void reconcile(Timestamp now) {
    for (Runnable next = nextTransition(now); next != null; next = nextTransition(now)) {
      next.run();
    }
  }

  /** The one thing that is to be done next; each takes its own reason away, so that this ends. */
  private Runnable nextTransition(Timestamp now) {
    int settled = fleet.firstReconciled();
    if (settled >= 0) {
      return () -> {
        ManagedRelay relay = relays.get(settled);
        fleet.remove(relay);
        relay.readyAt = now;
        fleet.add(relay);
      };
    }
    Deployment under = active();
    Deployment waits = pending();
    Runnable found =
        under == null
            ? null
            : switch (under.state) {
              case MOVING -> rollingOut(under, now);
              case WATCHED -> observing(under, now);
              default -> rollingBack(under, now);
            };
    if (found != null || waits == null) {
      return found;
    }
    return waits.state == State.PROPOSED ? validating(waits, now) : startRollout(waits, under, now);
  }

  // Before it begins.

  private Runnable validating(Deployment change, Timestamp now) {
    int live = reachable();
    int most = (int) (plan.maxRejectedShare() * live);
    boolean late = now.since(change.stateSince).over(plan.progressDeadline());
    if (change.rejections.size() > most) {
      Map.Entry<Integer, String> first = change.rejections.entrySet().iterator().next();
      return () ->
          transition(
              change,
              State.GIVEN_UP,
              0,
              change.rejections.size()
                  + " of "
                  + live
                  + " refuse it; relay "
                  + first.getKey()
                  + ": "
                  + first.getValue(),
              now);
    }
    int unheard = awaitingValidation.size();
    if (unheard == 0 && live > 0) {
      return () ->
          transition(
              change,
              State.CHECKED,
              0,
              change.validated.size() + " of " + live + " can run it",
              now);
    }
    if (!late) {
      return null;
    }
    if (change.validated.isEmpty() || unheard + change.rejections.size() > most) {
      return () ->
          transition(
              change,
              State.GIVEN_UP,
              0,
              unheard + " of " + live + " did not say in time whether they can run it",
              now);
    }
    return () ->
        transition(
            change,
            State.CHECKED,
            0,
            change.validated.size() + " of " + live + " can run it; the others are left out",
            now);
  }

  private Runnable startRollout(Deployment change, Deployment under, Timestamp now) {
    if (change.held) {
      return deadlineExceeded(change, now);
    }
    if (under != null || rolloutInProgress || !blockedReason.isEmpty()) {
      return null;
    }
    return () -> transition(change, State.MOVING, 0, "nothing is in its way", now);
  }

  private Runnable deadlineExceeded(Deployment change, Timestamp now) {
    if (!now.since(change.lastProgress).over(plan.progressDeadline())) {
      return null;
    }
    String cause =
        change.held
            ? "it was held for longer than " + seconds(plan.progressDeadline())
            : change.state == State.WATCHED
                ? "it is not known to be no worse after " + seconds(plan.progressDeadline())
                : "it came no further for " + seconds(plan.progressDeadline());
    return () -> {
      if (change.state.active()) {
        rollBack(change, cause, now);
      } else {
        transition(change, State.GIVEN_UP, change.stage, cause, now);
      }
    };
  }

  // On its way.

  private Runnable rollingOut(Deployment change, Timestamp now) {
    String failed = failure(change, now);
    if (failed != null) {
      return () -> rollBack(change, failed, now);
    }
    if (change.held) {
      return deadlineExceeded(change, now);
    }
    boolean still = rolloutInProgress || !blockedReason.isEmpty();
    for (Integer number : pendingControlRestarts) {
      entriesExamined++;
      ManagedRelay relay = relays.get(number);
      if (!still && relay.serving() && hasRestartBudget(relay.zone)) {
        return () -> {
          pendingControlRestarts.remove(number);
          setDesired(relay, relay.desiredVersion, now);
        };
      }
      if (relay.unreachable()) {
        return () -> pendingControlRestarts.remove(number);
      }
    }
    ManagedRelay next =
        still || change.updated.size() >= targetSize(change) ? null : nextCandidate(change);
    if (next != null) {
      return () -> update(change, next, now);
    }
    boolean all =
        !change.updated.isEmpty()
            && change.updated.size() >= targetSize(change)
            && pendingControlRestarts.isEmpty();
    entriesExamined += change.updated.size() + change.controls.size();
    for (int number : change.updated) {
      all &= relays.get(number).reconciled() || relays.get(number).unreachable();
    }
    for (int number : change.controls.values()) {
      all &= relays.get(number).reconciled() || relays.get(number).unreachable();
    }
    if (!all) {
      return deadlineExceeded(change, now);
    }
    return () ->
        transition(
            change, State.WATCHED, change.stage, change.updated.size() + " relays run it", now);
  }

  /** Why it can't go on, by what relays that were told do; null where they do well. */
  private String failure(Deployment change, Timestamp now) {
    int gone = 0;
    entriesExamined += change.updated.size();
    for (int number : change.updated) {
      ManagedRelay relay = relays.get(number);
      if (relay.unreachable()) {
        gone++;
      } else if (!relay.reconciled()
          && relay.readyAt == null
          && now.since(relay.notifiedAt).over(plan.readyWithin())) {
        return "relay " + number + " was not ready within " + seconds(plan.readyWithin());
      }
    }
    if (gone == 0) {
      return null;
    }
    long others =
        examineAll().stream()
            .filter(one -> one.unreachable() && !change.updated.contains(one.number))
            .count();
    double usual = others / (double) Math.max(1, relays.size() - change.updated.size());
    // a machine may die by itself; that moved ones do so more often than others is the change's
    // doing
    if (change.stage == 0 || gone > 1 && gone > 3 * usual * change.updated.size()) {
      return gone + " of the relays that were moved are not heard any more";
    }
    return null;
  }

  private void update(Deployment change, ManagedRelay relay, Timestamp now) {
    change.updated.add(relay.number);
    change.lastProgress = now;
    change.controls.values().remove(relay.number);
    pendingControlRestarts.remove(Integer.valueOf(relay.number));
    setDesired(relay, change.toVersion, now);
    if (change.stage == plan.stages().size() - 1) {
      return;
    }
    ManagedRelay control = chooseControl(change, relay);
    if (control == null) {
      return;
    }
    change.controls.put(relay.number, control.number);
    if (!change.hotReload) {
      pendingControlRestarts.add(control.number);
    }
  }

  private void setDesired(ManagedRelay relay, Version version, Timestamp now) {
    boolean anew = relay.desiredVersion != null;
    fleet.remove(relay);
    relay.desiredVersion = version;
    if (anew) {
      relay.generation++;
    }
    relay.notifiedAt = now;
    relay.readyAt = null;
    fleet.add(relay);
    listener.desiredStateChanged(relay);
  }

  private Runnable observing(Deployment change, Timestamp now) {
    String failed = failure(change, now);
    if (failed != null) {
      return () -> rollBack(change, failed, now);
    }
    if (change.held) {
      return deadlineExceeded(change, now);
    }
    boolean over = now.since(change.stateSince).over(plan.observationTime());
    boolean sure = !reportVerdict(change) || change.verdict == Verdict.NO_WORSE;
    if (!over || !sure || rolloutInProgress || !blockedReason.isEmpty()) {
      return sure ? null : deadlineExceeded(change, now);
    }
    String cause =
        reportVerdict(change) ? "no worse than those beside it" : "nothing spoke against it";
    if (change.stage < plan.stages().size() - 1) {
      return () -> transition(change, State.MOVING, change.stage + 1, cause, now);
    }
    if (change.updated.size() < targetSize(change)) {
      return () ->
          transition(
              change, State.MOVING, change.stage, "relays are there that were not before", now);
    }
    return () -> {
      currentVersion = change.toVersion;
      for (ManagedRelay relay : relays.values()) {
        boolean left =
            !change.updated.contains(relay.number) && !change.rejections.containsKey(relay.number);
        if (left) {
          setDesired(relay, currentVersion, now); // those that were silent all through
        }
      }
      transition(change, State.DONE, change.stage, cause, now);
    };
  }

  /** Whether there is anybody left to hold it against. */
  private boolean reportVerdict(Deployment change) {
    return change.stage < plan.stages().size() - 1 && !change.controls.isEmpty();
  }

  private void rollBack(Deployment change, String cause, Timestamp now) {
    pendingControlRestarts.clear();
    transition(change, State.GOING_BACK, change.stage, cause, now);
  }

  /** The newest first; a relay that does not serve anyway needs no room. */
  private Runnable rollingBack(Deployment change, Timestamp now) {
    boolean all = true;
    entriesExamined += change.updated.size();
    List<Integer> newestFirst = new ArrayList<>(change.updated);
    Collections.reverse(newestFirst);
    for (int number : newestFirst) {
      ManagedRelay relay = relays.get(number);
      boolean told = relay.desiredVersion.equals(change.fromVersion);
      // one that is not settled is out already, if only because it fell back to what ran well
      // before
      if (!told && (!relay.reconciled() || hasRestartBudget(relay.zone))) {
        return () -> setDesired(relay, change.fromVersion, now);
      }
      boolean lost =
          relay.unreachable() || told && now.since(relay.notifiedAt).over(plan.readyWithin());
      all &= told && (relay.reconciled() || lost);
    }
    if (!all) {
      return null;
    }
    List<Integer> lost = unreconciled(change);
    return () ->
        transition(
            change,
            State.GIVEN_UP,
            change.stage,
            "all are back"
                + (lost.isEmpty()
                    ? ""
                    : " but relays " + lost + ", which are not ready or not heard"),
            now);
  }

  // Who, and how many at once.

  private int reachable() {
    return fleet.reachable();
  }

  private int targetSize(Deployment change) {
    int able = 0; // who does not serve is left out, and told at the end
    for (ManagedRelay relay : examineAll()) {
      if (change.updated.contains(relay.number)
          || relay.serving() && !change.rejections.containsKey(relay.number)) {
        able++;
      }
    }
    double share = plan.stages().get(change.stage).share();
    return change.stage == 0 ? 1 : (int) Math.ceil(share * able - 1e-9);
  }

  private List<Integer> unreconciled(Deployment change) {
    List<Integer> found = new ArrayList<>();
    for (int number : change.updated) {
      if (!relays.get(number).reconciled()) {
        found.add(number);
      }
    }
    return found;
  }

  /**
   * Zones, then busy and quiet ones, have their turn by how few of them were moved; who is a
   * control comes last.
   */
  private ManagedRelay nextCandidate(Deployment change) {
    Map<Integer, int[]> zones = new HashMap<>();
    Map<Integer, int[]> kinds = new HashMap<>();
    Map<Integer, Boolean> hasRoom = new HashMap<>();
    for (ManagedRelay relay : examineAll()) {
      int moved = change.updated.contains(relay.number) ? 1 : 0;
      zones.computeIfAbsent(relay.zone, zone -> new int[2])[0] += moved;
      zones.get(relay.zone)[1]++;
      kinds.computeIfAbsent(2 * relay.zone + (relay.busy ? 1 : 0), kind -> new int[2])[0] += moved;
      kinds.get(2 * relay.zone + (relay.busy ? 1 : 0))[1]++;
    }
    Set<Integer> beside = new HashSet<>(change.controls.values());
    ManagedRelay best = null;
    double least = 0;
    for (ManagedRelay relay : examineAll()) {
      boolean may =
          relay.serving()
              && !change.updated.contains(relay.number)
              && !change.rejections.containsKey(relay.number);
      if (!may || !hasRoom.computeIfAbsent(relay.zone, this::hasRestartBudget)) {
        continue;
      }
      int[] zone = zones.get(relay.zone);
      int[] kind = kinds.get(2 * relay.zone + (relay.busy ? 1 : 0));
      // the very first is a quiet one of the largest zone: what it harms is least, and there are
      // others beside it
      double rank =
          (beside.contains(relay.number) ? 10 : 0)
              + zone[0] / (double) zone[1]
              + 0.01 * kind[0] / kind[1]
              + (change.updated.isEmpty() ? (relay.busy ? 1 : 0) + 1.0 / zone[1] : 0);
      if (best == null || rank < least) {
        best = relay;
        least = rank;
      }
    }
    return best;
  }

  /**
   * The most alike of those that serve and are neither moved nor beside another: same zone and
   * load, else same zone.
   */
  private ManagedRelay chooseControl(Deployment change, ManagedRelay of) {
    Set<Integer> beside = new HashSet<>(change.controls.values());
    ManagedRelay best = null;
    for (ManagedRelay relay : examineAll()) {
      boolean free =
          relay.serving()
              && !change.updated.contains(relay.number)
              && !beside.contains(relay.number)
              && relay.observedVersion.equals(change.fromVersion);
      if (free && (best == null || similarity(relay, of) > similarity(best, of))) {
        best = relay;
      }
    }
    return best;
  }

  private static int similarity(ManagedRelay one, ManagedRelay other) {
    return (one.zone == other.zone ? 2 : 0) + (one.busy == other.busy ? 1 : 0);
  }

  /**
   * Whether one more of a zone may be out: no more than the load allows, and than the plan does;
   * who is lost is out too.
   */
  private boolean hasRestartBudget(int zone) {
    return unavailable(zone) < budget(zone);
  }

  private int unavailable(int zone) {
    return fleet.unavailable(zone);
  }

  private int budget(int zone) {
    int size = fleet.size(zone);
    int byPlan = Math.max(1, (int) (plan.maxUnavailableShare() * size));
    Deployment under = active();
    boolean back = under != null && under.state == State.GOING_BACK;
    // what does worse is taken back even where there is no room, one at a time
    return Math.min(byPlan, Math.max(back ? 1 : 0, restartBudgetByZone.getOrDefault(zone, byPlan)));
  }

  private String freeBudgetText() {
    StringBuilder found = new StringBuilder();
    for (int zone : relays.values().stream().map(one -> one.zone).distinct().toList()) {
      found
          .append(found.length() == 0 ? "" : ", ")
          .append(zone)
          .append(": ")
          .append(Math.max(0, budget(zone) - unavailable(zone)));
    }
    return found.toString();
  }

  /** What most of those that serve run. */
  private Version budget() {
    Map<Version, Integer> counts = new HashMap<>();
    Version found = Version.NONE;
    for (ManagedRelay relay : relays.values()) {
      if (!relay.serving() || relay.observedVersion.equals(Version.NONE)) {
        continue;
      }
      int count = counts.merge(relay.observedVersion, 1, Integer::sum);
      if (count > counts.getOrDefault(found, 0)) {
        found = relay.observedVersion;
      }
    }
    return found;
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
    Transition step = new Transition(++sequence, now, wallMs, to, stage, cause);
    change.add(step);
    listener.transitioned(change, step);
  }
}
