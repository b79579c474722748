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
import sprucerock.controller.deployment.Deployment.Step;
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
  public enum Word {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Who acts on it. */
  public interface Host {
    /** Told in the order in which they happen. */
    void changed(Deployment change, Step step);

    /** What a relay is to run has changed. */
    void wants(ManagedRelay relay);
  }

  static final int MOST_CHANGES = 50;
  public static final int MOST_RELAYS = 10_000;

  private final DeploymentPlan plan;
  private final Host host;
  final TreeMap<Integer, ManagedRelay> relays = new TreeMap<>();
  final TreeMap<Long, Deployment> changes = new TreeMap<>();

  /** Restarts on the old version that wait for room. */
  final List<Integer> controls = new ArrayList<>();

  /**
   * How many may be out in a zone, as the fleet's load allows; what is not in it has no bound but
   * the plan's.
   */
  final TreeMap<Integer, Integer> rooms = new TreeMap<>();

  Version current = Version.NONE;
  long sequence;
  long numbers;

  /** Why nothing is moved now, whatever the room; empty where nothing is in the way. */
  String weather = "";

  /** A build of the units is on trial or going back: relays that judge it are not restarted. */
  boolean releasing;

  private long wallMs;
  // What each word asks of all is kept as relays change; who of those that are heard has not read
  // the proposed version through yet, too.
  private final FleetStatus census = new FleetStatus();
  private final Set<Integer> unread = new HashSet<>();
  private long looked;

  public DeploymentManager(DeploymentPlan plan, Host host) {
    this.plan = plan;
    this.host = host;
  }

  // What is asked.

  public DeploymentPlan plan() {
    return plan;
  }

  public Collection<Deployment> all() {
    return Collections.unmodifiableCollection(changes.values());
  }

  public Deployment of(long number) {
    return changes.get(number);
  }

  public ManagedRelay relay(int number) {
    return relays.get(number);
  }

  public Collection<ManagedRelay> relays() {
    return Collections.unmodifiableCollection(relays.values());
  }

  /** What relays run that no change is at. */
  public Version current() {
    return current;
  }

  /** The same; before the first change what most relays run. */
  public Version usual() {
    return current.equals(Version.NONE) ? most() : current;
  }

  /** The one that relays are moved by now; null where there is none. */
  public Deployment under() {
    for (Deployment one : changes.values()) {
      if (one.state.out()) {
        return one;
      }
    }
    return null;
  }

  /** The one that agents are to read through, or that waits; null where there is none. */
  public Deployment waiting() {
    for (Deployment one : changes.values()) {
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
  public long looked() {
    return looked;
  }

  private Collection<ManagedRelay> each() {
    looked += relays.size();
    return relays.values();
  }

  /** All relays and changes are there from a former life. */
  void known() {
    for (ManagedRelay relay : relays.values()) {
      census.enter(relay);
    }
    readAnew();
  }

  private void readAnew() {
    unread.clear();
    for (ManagedRelay relay : each()) {
      reads(relay);
    }
  }

  /** Whether it is still to read the proposed version through. */
  private void reads(ManagedRelay relay) {
    Deployment proposed = waiting();
    boolean is =
        proposed != null
            && proposed.state == State.PROPOSED
            && !relay.silent()
            && !proposed.checked.contains(relay.number)
            && !proposed.refused.containsKey(relay.number);
    if (is) {
      unread.add(relay.number);
    } else {
      unread.remove(relay.number);
    }
  }

  public boolean releasing() {
    return releasing;
  }

  /** Why a change stands where it stands, a line each. */
  public List<String> waitsFor(Deployment change, Timestamp now) {
    List<String> found = new ArrayList<>();
    if (!change.state.open()) {
      return found;
    }
    if (change.held) {
      found.add(
          "an operator holds it, for "
              + seconds(plan.patience().minus(now.since(change.progress)))
              + " at most");
    }
    boolean moves = change.state == State.MOVING || change.state == State.CHECKED;
    if (moves && releasing) {
      found.add("a build of the units to be off trial");
    }
    if (moves && !weather.isEmpty()) {
      found.add(weather);
    }
    switch (change.state) {
      case PROPOSED ->
          found.add(
              "agents to read it through: "
                  + (change.checked.size() + change.refused.size())
                  + " of "
                  + live()
                  + " have");
      case CHECKED -> {
        if (under() != null) {
          found.add("change " + under().number + " to end");
        }
      }
      case MOVING ->
          found.add(
              "relays of stage "
                  + change.stage
                  + ": "
                  + change.moved.size()
                  + " of "
                  + target(change)
                  + " were told, "
                  + unsettled(change).size()
                  + " of them are not ready; room in zones "
                  + free());
      case WATCHED -> {
        found.add("its time: " + seconds(now.since(change.since)) + " of " + seconds(plan.watch()));
        if (judged(change) && change.verdict != Verdict.NO_WORSE) {
          found.add("the comparison, which is not sure");
        }
      }
      default -> found.add("relays to be back: " + unsettled(change));
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
  public void says(
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
      if (relays.size() >= MOST_RELAYS) {
        return;
      }
      relay = new ManagedRelay(number);
      relays.put(number, relay);
    } else {
      census.leave(relay);
    }
    relay.zone = zone;
    relay.busy = busy;
    relay.runs = runs;
    relay.ready = ready;
    relay.silentSince = null;
    relay.done = done;
    census.enter(relay);
    reads(relay);
    if (relay.wanted == null && !current.equals(Version.NONE)) {
      want(relay, current, now);
    }
    settle(now);
  }

  /** An agent is not heard any more. */
  public void silent(int number, Timestamp now, long wall) {
    wallMs = wall;
    ManagedRelay relay = relays.get(number);
    if (relay == null || relay.silentSince != null) {
      return;
    }
    census.leave(relay);
    relay.silentSince = now;
    census.enter(relay);
    reads(relay);
    settle(now);
  }

  /**
   * A relay ended by itself, did not get ready or went over a limit, on that version; {@code how}
   * is for people. {@code turn}: the last that its agent had been told by then, 0 where it does not
   * know. Agents tell a controller that starts what they told the last one: a failure from before
   * this change is none of its, though it may be of the same version, proposed again.
   */
  public void failed(int number, Version version, int turn, String how, Timestamp now, long wall) {
    wallMs = wall;
    Deployment under = under();
    boolean ours =
        under != null
            && under.state != State.GOING_BACK
            && version.equals(under.to)
            && under.moved.contains(number)
            && (turn == 0 || turn >= relays.get(number).turn);
    if (ours) {
      goBack(under, "relay " + number + " " + how, now);
    }
    settle(now);
  }

  /**
   * Somebody proposes what relays are to run, {@code live}: without a restart; says why it is not
   * taken, or null.
   */
  public String propose(
      String who, String why, Version to, boolean live, Timestamp now, long wall) {
    wallMs = wall;
    Version from = usual();
    if (from.equals(Version.NONE)) {
      return "no relay runs anything that is known, so there is nothing to change from";
    }
    Deployment under = under();
    if (to.equals(under == null ? from : under.to)) {
      return "that is what relays run"
          + (under == null ? "" : " once change " + under.number + " is done");
    }
    if (current.equals(Version.NONE)) {
      current = from;
      for (ManagedRelay relay : relays.values()) {
        if (relay.wanted == null) {
          want(relay, relay.runs, now);
        }
      }
    }
    Deployment waits = waiting();
    if (waits != null) {
      step(
          waits,
          State.GIVEN_UP,
          waits.stage,
          "change " + (numbers + 1) + " by " + who + " takes its place",
          now);
    }
    Deployment made = new Deployment(++numbers, who, why, from, to, live, now);
    changes.put(made.number, made);
    readAnew();
    step(made, State.PROPOSED, 0, "proposed by " + who + ": " + why, now);
    while (changes.size() > MOST_CHANGES && !changes.firstEntry().getValue().state.open()) {
      changes.pollFirstEntry();
    }
    settle(now);
    return null;
  }

  /**
   * An agent has read a proposed version through; {@code refusal}: why it can't be run there, empty
   * where it can.
   */
  public void checked(int number, long change, String refusal, Timestamp now, long wall) {
    wallMs = wall;
    Deployment proposed = changes.get(change);
    if (proposed == null || proposed.state != State.PROPOSED || !relays.containsKey(number)) {
      return;
    }
    if (refusal.isEmpty()) {
      proposed.checked.add(number);
      proposed.refused.remove(number);
    } else {
      proposed.refused.put(number, refusal);
      proposed.checked.remove(number);
    }
    reads(relays.get(number));
    settle(now);
  }

  /** The comparison of a change in that stage says something else than before. */
  public void judged(
      long change, int stage, Verdict verdict, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment under = changes.get(change);
    boolean fits =
        under != null
            && under.stage == stage
            && (under.state == State.MOVING || under.state == State.WATCHED);
    if (!fits) {
      return;
    }
    under.verdict = verdict;
    if (verdict == Verdict.WORSE) {
      goBack(under, "worse: " + reason, now);
    }
    settle(now);
  }

  /**
   * How many relays of a zone may be out at once by the fleet's load; {@code why} none should be,
   * or empty.
   */
  public void room(Map<Integer, Integer> byZone, String why, Timestamp now, long wall) {
    wallMs = wall;
    rooms.clear();
    rooms.putAll(byZone);
    weather = why;
    settle(now);
  }

  /** A build of the units is on trial or going back, or none is any more. */
  public void releasing(boolean is, Timestamp now, long wall) {
    wallMs = wall;
    releasing = is;
    settle(now);
  }

  /**
   * An operator's word, which is stronger than verdicts but for a worse one; says why it has no
   * effect, or null.
   */
  public String word(Word word, long number, String who, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Deployment change = changes.get(number);
    if (change == null) {
      return "no change " + number + " is known";
    }
    String cause = who + ": " + reason;
    boolean runs = change.state.open() && change.state != State.GOING_BACK;
    if (!runs) {
      return "change "
          + number
          + " is "
          + words(change.state)
          + ": it can't be held, resumed or withdrawn";
    }
    switch (word) {
      case HOLD -> {
        if (change.held) {
          return "change " + number + " is held already";
        }
        change.held = true;
        step(change, change.state, change.stage, "held by " + cause, now);
        change.progress = now;
      }
      case RESUME -> {
        if (!change.held) {
          return "change " + number + " is not held";
        }
        change.held = false;
        step(change, change.state, change.stage, "resumed by " + cause, now);
        change.progress = now;
        change.since = now; // it is watched anew
      }
      case WITHDRAW -> {
        if (change.state.out()) {
          goBack(change, "withdrawn by " + cause, now);
        } else {
          step(change, State.GIVEN_UP, change.stage, "withdrawn by " + cause, now);
        }
      }
      default -> throw new IllegalArgumentException("no such word");
    }
    settle(now);
    return null;
  }

  static String words(State state) {
    return state.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wall) {
    wallMs = wall;
    settle(now);
  }

  /** Whoever counts here was down for so long: nobody could be told, and nobody watched. */
  public void restarted(TimeSpan down, Timestamp now, long wall) {
    wallMs = wall;
    for (Deployment change : changes.values()) {
      change.since = change.since.plus(down);
      change.progress = change.progress.plus(down);
    }
    for (ManagedRelay relay : relays.values()) {
      if (relay.toldAt != null) {
        relay.toldAt = relay.toldAt.plus(down);
      }
    }
    settle(now);
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean due(Timestamp now) {
    return next(now) != null;
  }

  private void settle(Timestamp now) {
    for (Runnable next = next(now); next != null; next = next(now)) {
      next.run();
    }
  }

  /** The one thing that is to be done next; each takes its own reason away, so that this ends. */
  private Runnable next(Timestamp now) {
    int settled = census.firstSettled();
    if (settled >= 0) {
      return () -> {
        ManagedRelay relay = relays.get(settled);
        census.leave(relay);
        relay.readyAt = now;
        census.enter(relay);
      };
    }
    Deployment under = under();
    Deployment waits = waiting();
    Runnable found =
        under == null
            ? null
            : switch (under.state) {
              case MOVING -> moving(under, now);
              case WATCHED -> watched(under, now);
              default -> goingBack(under, now);
            };
    if (found != null || waits == null) {
      return found;
    }
    return waits.state == State.PROPOSED ? proposed(waits, now) : begins(waits, under, now);
  }

  // Before it begins.

  private Runnable proposed(Deployment change, Timestamp now) {
    int live = live();
    int most = (int) (plan.refused() * live);
    boolean late = now.since(change.since).over(plan.patience());
    if (change.refused.size() > most) {
      Map.Entry<Integer, String> first = change.refused.entrySet().iterator().next();
      return () ->
          step(
              change,
              State.GIVEN_UP,
              0,
              change.refused.size()
                  + " of "
                  + live
                  + " refuse it; relay "
                  + first.getKey()
                  + ": "
                  + first.getValue(),
              now);
    }
    int unheard = unread.size();
    if (unheard == 0 && live > 0) {
      return () ->
          step(
              change, State.CHECKED, 0, change.checked.size() + " of " + live + " can run it", now);
    }
    if (!late) {
      return null;
    }
    if (change.checked.isEmpty() || unheard + change.refused.size() > most) {
      return () ->
          step(
              change,
              State.GIVEN_UP,
              0,
              unheard + " of " + live + " did not say in time whether they can run it",
              now);
    }
    return () ->
        step(
            change,
            State.CHECKED,
            0,
            change.checked.size() + " of " + live + " can run it; the others are left out",
            now);
  }

  private Runnable begins(Deployment change, Deployment under, Timestamp now) {
    if (change.held) {
      return patienceOver(change, now);
    }
    if (under != null || releasing || !weather.isEmpty()) {
      return null;
    }
    return () -> step(change, State.MOVING, 0, "nothing is in its way", now);
  }

  private Runnable patienceOver(Deployment change, Timestamp now) {
    if (!now.since(change.progress).over(plan.patience())) {
      return null;
    }
    String cause =
        change.held
            ? "it was held for longer than " + seconds(plan.patience())
            : change.state == State.WATCHED
                ? "it is not known to be no worse after " + seconds(plan.patience())
                : "it came no further for " + seconds(plan.patience());
    return () -> {
      if (change.state.out()) {
        goBack(change, cause, now);
      } else {
        step(change, State.GIVEN_UP, change.stage, cause, now);
      }
    };
  }

  // On its way.

  private Runnable moving(Deployment change, Timestamp now) {
    String failed = failure(change, now);
    if (failed != null) {
      return () -> goBack(change, failed, now);
    }
    if (change.held) {
      return patienceOver(change, now);
    }
    boolean still = releasing || !weather.isEmpty();
    for (Integer number : controls) {
      looked++;
      ManagedRelay relay = relays.get(number);
      if (!still && relay.serves() && hasRoom(relay.zone)) {
        return () -> {
          controls.remove(number);
          want(relay, relay.wanted, now);
        };
      }
      if (relay.silent()) {
        return () -> controls.remove(number);
      }
    }
    ManagedRelay next = still || change.moved.size() >= target(change) ? null : candidate(change);
    if (next != null) {
      return () -> move(change, next, now);
    }
    boolean all =
        !change.moved.isEmpty() && change.moved.size() >= target(change) && controls.isEmpty();
    looked += change.moved.size() + change.beside.size();
    for (int number : change.moved) {
      all &= relays.get(number).settled() || relays.get(number).silent();
    }
    for (int number : change.beside.values()) {
      all &= relays.get(number).settled() || relays.get(number).silent();
    }
    if (!all) {
      return patienceOver(change, now);
    }
    return () ->
        step(change, State.WATCHED, change.stage, change.moved.size() + " relays run it", now);
  }

  /** Why it can't go on, by what relays that were told do; null where they do well. */
  private String failure(Deployment change, Timestamp now) {
    int gone = 0;
    looked += change.moved.size();
    for (int number : change.moved) {
      ManagedRelay relay = relays.get(number);
      if (relay.silent()) {
        gone++;
      } else if (!relay.settled()
          && relay.readyAt == null
          && now.since(relay.toldAt).over(plan.readyWithin())) {
        return "relay " + number + " was not ready within " + seconds(plan.readyWithin());
      }
    }
    if (gone == 0) {
      return null;
    }
    long others =
        each().stream().filter(one -> one.silent() && !change.moved.contains(one.number)).count();
    double usual = others / (double) Math.max(1, relays.size() - change.moved.size());
    // a machine may die by itself; that moved ones do so more often than others is the change's
    // doing
    if (change.stage == 0 || gone > 1 && gone > 3 * usual * change.moved.size()) {
      return gone + " of the relays that were moved are not heard any more";
    }
    return null;
  }

  private void move(Deployment change, ManagedRelay relay, Timestamp now) {
    change.moved.add(relay.number);
    change.progress = now;
    change.beside.values().remove(relay.number);
    controls.remove(Integer.valueOf(relay.number));
    want(relay, change.to, now);
    if (change.stage == plan.stages().size() - 1) {
      return;
    }
    ManagedRelay control = control(change, relay);
    if (control == null) {
      return;
    }
    change.beside.put(relay.number, control.number);
    if (!change.live) {
      controls.add(control.number);
    }
  }

  private void want(ManagedRelay relay, Version version, Timestamp now) {
    boolean anew = relay.wanted != null;
    census.leave(relay);
    relay.wanted = version;
    if (anew) {
      relay.turn++;
    }
    relay.toldAt = now;
    relay.readyAt = null;
    census.enter(relay);
    host.wants(relay);
  }

  private Runnable watched(Deployment change, Timestamp now) {
    String failed = failure(change, now);
    if (failed != null) {
      return () -> goBack(change, failed, now);
    }
    if (change.held) {
      return patienceOver(change, now);
    }
    boolean over = now.since(change.since).over(plan.watch());
    boolean sure = !judged(change) || change.verdict == Verdict.NO_WORSE;
    if (!over || !sure || releasing || !weather.isEmpty()) {
      return sure ? null : patienceOver(change, now);
    }
    String cause = judged(change) ? "no worse than those beside it" : "nothing spoke against it";
    if (change.stage < plan.stages().size() - 1) {
      return () -> step(change, State.MOVING, change.stage + 1, cause, now);
    }
    if (change.moved.size() < target(change)) {
      return () ->
          step(change, State.MOVING, change.stage, "relays are there that were not before", now);
    }
    return () -> {
      current = change.to;
      for (ManagedRelay relay : relays.values()) {
        boolean left =
            !change.moved.contains(relay.number) && !change.refused.containsKey(relay.number);
        if (left) {
          want(relay, current, now); // those that were silent all through
        }
      }
      step(change, State.DONE, change.stage, cause, now);
    };
  }

  /** Whether there is anybody left to hold it against. */
  private boolean judged(Deployment change) {
    return change.stage < plan.stages().size() - 1 && !change.beside.isEmpty();
  }

  private void goBack(Deployment change, String cause, Timestamp now) {
    controls.clear();
    step(change, State.GOING_BACK, change.stage, cause, now);
  }

  /** The newest first; a relay that does not serve anyway needs no room. */
  private Runnable goingBack(Deployment change, Timestamp now) {
    boolean all = true;
    looked += change.moved.size();
    List<Integer> newestFirst = new ArrayList<>(change.moved);
    Collections.reverse(newestFirst);
    for (int number : newestFirst) {
      ManagedRelay relay = relays.get(number);
      boolean told = relay.wanted.equals(change.from);
      // one that is not settled is out already, if only because it fell back to what ran well
      // before
      if (!told && (!relay.settled() || hasRoom(relay.zone))) {
        return () -> want(relay, change.from, now);
      }
      boolean lost = relay.silent() || told && now.since(relay.toldAt).over(plan.readyWithin());
      all &= told && (relay.settled() || lost);
    }
    if (!all) {
      return null;
    }
    List<Integer> lost = unsettled(change);
    return () ->
        step(
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

  private int live() {
    return census.live();
  }

  private int target(Deployment change) {
    int able = 0; // who does not serve is left out, and told at the end
    for (ManagedRelay relay : each()) {
      if (change.moved.contains(relay.number)
          || relay.serves() && !change.refused.containsKey(relay.number)) {
        able++;
      }
    }
    double share = plan.stages().get(change.stage).share();
    return change.stage == 0 ? 1 : (int) Math.ceil(share * able - 1e-9);
  }

  private List<Integer> unsettled(Deployment change) {
    List<Integer> found = new ArrayList<>();
    for (int number : change.moved) {
      if (!relays.get(number).settled()) {
        found.add(number);
      }
    }
    return found;
  }

  /**
   * Zones, then busy and quiet ones, have their turn by how few of them were moved; who is a
   * control comes last.
   */
  private ManagedRelay candidate(Deployment change) {
    Map<Integer, int[]> zones = new HashMap<>();
    Map<Integer, int[]> kinds = new HashMap<>();
    Map<Integer, Boolean> hasRoom = new HashMap<>();
    for (ManagedRelay relay : each()) {
      int moved = change.moved.contains(relay.number) ? 1 : 0;
      zones.computeIfAbsent(relay.zone, zone -> new int[2])[0] += moved;
      zones.get(relay.zone)[1]++;
      kinds.computeIfAbsent(2 * relay.zone + (relay.busy ? 1 : 0), kind -> new int[2])[0] += moved;
      kinds.get(2 * relay.zone + (relay.busy ? 1 : 0))[1]++;
    }
    Set<Integer> beside = new HashSet<>(change.beside.values());
    ManagedRelay best = null;
    double least = 0;
    for (ManagedRelay relay : each()) {
      boolean may =
          relay.serves()
              && !change.moved.contains(relay.number)
              && !change.refused.containsKey(relay.number);
      if (!may || !hasRoom.computeIfAbsent(relay.zone, this::hasRoom)) {
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
              + (change.moved.isEmpty() ? (relay.busy ? 1 : 0) + 1.0 / zone[1] : 0);
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
  private ManagedRelay control(Deployment change, ManagedRelay of) {
    Set<Integer> beside = new HashSet<>(change.beside.values());
    ManagedRelay best = null;
    for (ManagedRelay relay : each()) {
      boolean free =
          relay.serves()
              && !change.moved.contains(relay.number)
              && !beside.contains(relay.number)
              && relay.runs.equals(change.from);
      if (free && (best == null || alike(relay, of) > alike(best, of))) {
        best = relay;
      }
    }
    return best;
  }

  private static int alike(ManagedRelay one, ManagedRelay other) {
    return (one.zone == other.zone ? 2 : 0) + (one.busy == other.busy ? 1 : 0);
  }

  /**
   * Whether one more of a zone may be out: no more than the load allows, and than the plan does;
   * who is lost is out too.
   */
  private boolean hasRoom(int zone) {
    return out(zone) < most(zone);
  }

  private int out(int zone) {
    return census.out(zone);
  }

  private int most(int zone) {
    int size = census.size(zone);
    int byPlan = Math.max(1, (int) (plan.out() * size));
    Deployment under = under();
    boolean back = under != null && under.state == State.GOING_BACK;
    // what does worse is taken back even where there is no room, one at a time
    return Math.min(byPlan, Math.max(back ? 1 : 0, rooms.getOrDefault(zone, byPlan)));
  }

  private String free() {
    StringBuilder found = new StringBuilder();
    for (int zone : relays.values().stream().map(one -> one.zone).distinct().toList()) {
      found
          .append(found.length() == 0 ? "" : ", ")
          .append(zone)
          .append(": ")
          .append(Math.max(0, most(zone) - out(zone)));
    }
    return found.toString();
  }

  /** What most of those that serve run. */
  private Version most() {
    Map<Version, Integer> counts = new HashMap<>();
    Version found = Version.NONE;
    for (ManagedRelay relay : relays.values()) {
      if (!relay.serves() || relay.runs.equals(Version.NONE)) {
        continue;
      }
      int count = counts.merge(relay.runs, 1, Integer::sum);
      if (count > counts.getOrDefault(found, 0)) {
        found = relay.runs;
      }
    }
    return found;
  }

  private void step(Deployment change, State to, int stage, String cause, Timestamp now) {
    boolean moves = change.state != to || change.stage != stage || change.steps().isEmpty();
    if (change.stage != stage) {
      change.verdict = Verdict.NOT_SURE;
    }
    change.state = to;
    change.stage = stage;
    if (moves) {
      change.since = now;
      change.progress = now;
    }
    if (moves && !to.open()) {
      change.held = false;
    }
    Step step = new Step(++sequence, now, wallMs, to, stage, cause);
    change.add(step);
    host.changed(change, step);
  }
}
