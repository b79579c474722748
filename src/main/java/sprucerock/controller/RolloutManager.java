package sprucerock.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.Rollout.Transition;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The releases of one fleet: what announcements, votes, operators and the time that passes make of
 * them. It does no I/O and reads no clock; the same inputs at the same times give the same state,
 * which is how it comes back after a crash. Whether a build is good is the relays' to judge: here
 * votes are only counted.
 */
public final class RolloutManager {
  /** What an announcement came to. */
  public enum AnnouncementResult {
    TAKEN,
    /** The same delivery was taken before, with this answer then or another. */
    AGAIN,
    /** That build was announced before, just so. */
    KNOWN,
    /** That build was announced before as something else. */
    CONTRADICTS,
    /** A later build was announced before. */
    TOO_OLD,
    /** So many wait already. */
    TOO_MANY
  }

  /** What a vote came to. */
  public enum VoteResult {
    COUNTS,
    MOOT,
    TOO_MANY
  }

  public enum Vote {
    NOTHING,
    ON,
    HOLD,
    BACK
  }

  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Who acts on transitions: tells relays and others, has units started and taken away. */
  public interface Listener {
    /** Told in the order in which they happen, each once by each life that makes it. */
    void transitioned(Rollout release, Transition step);
  }

  /** A relay's standing vote. */
  static final class Ballot {
    int build;
    int stage;
    Vote vote = Vote.NOTHING;
    Timestamp expiresAt;
    Timestamp rateWindowStart;
    int votesInWindow;
    private final int relay;

    Ballot(int relay) {
      this.relay = relay;
    }
  }

  /** A delivery that was answered, so that copies of it have the same answer. */
  record Delivery(String id, Timestamp at, AnnouncementResult answer, String content) {}

  static final int MAX_ANNOUNCED = 20;
  static final int MAX_ROLLOUTS = 100;
  static final int MAX_DELIVERIES = 50_000;
  static final int MAX_RELAYS = 10_000;
  static final TimeSpan DELIVERY_RETENTION =
      TimeSpan.ofMs(7 * 24 * 3_600_000.0); // longer than senders retry: a day or three

  private final RolloutRules rules;
  private final int fleetSize;
  private final Listener listener;
  final TreeMap<Integer, Rollout> rolloutsByBuild = new TreeMap<>();
  final TreeMap<Integer, Ballot> ballotsByRelay = new TreeMap<>();
  final LinkedHashMap<String, Delivery> deliveries = new LinkedHashMap<>();
  long sequence;
  long webhooksDeliveredUpTo;
  long epoch;
  Rollout current;
  int previousBuild;
  private long wallMs;
  // Votes that stand for the present build and stage, the first to run out first: all others are
  // taken out as they are cast anew, as the release
  // moves and as time passes, so that a vote and a look each 50 ms walk no other vote.
  private final Map<Vote, TreeSet<Ballot>> relaysVoting = new EnumMap<>(Vote.class);
  private long votesExamined;

  /** {@code places} units make up the fleet; {@code first} serves from the start. */
  public RolloutManager(RolloutRules rules, int places, int first, Timestamp now, Listener host) {
    this.rules = rules;
    this.fleetSize = places;
    this.listener = host;
    current = new Rollout(first, "", now);
    current.state = State.RELEASED;
    current.stage = rules.stages().size() - 1;
    rolloutsByBuild.put(first, current);
    previousBuild = first;
    for (Vote say : Vote.values()) {
      relaysVoting.put(
          say,
          new TreeSet<>(
              Comparator.<Ballot>comparingDouble(vote -> vote.expiresAt.ms())
                  .thenComparingInt(vote -> vote.relay)));
    }
  }

  // What is asked.

  /** The release that relays are told of: on trial, going back, released or withdrawn last. */
  public Rollout current() {
    return current;
  }

  /** The build that serves beside the one on trial, or alone. */
  public int previousBuild() {
    return previousBuild;
  }

  public Collection<Rollout> rollouts() {
    return Collections.unmodifiableCollection(rolloutsByBuild.values());
  }

  public Rollout rollout(int build) {
    return rolloutsByBuild.get(build);
  }

  /** Transitions so far. */
  public long sequence() {
    return sequence;
  }

  /** How often the controller started on this state: what it tells in a later start is newer. */
  public long epoch() {
    return epoch;
  }

  /** Up to which transition outgoing webhooks were taken, or given up. */
  public long webhooksDeliveredUpTo() {
    return webhooksDeliveredUpTo;
  }

  /** What relays are to know: of which build, how it stands, and the cap on its exposure. */
  public record RolloutStatus(
      int build, int stage, State state, double exposureCap, Timestamp since) {}

  /**
   * The news as it is now. A build whose units only start is none yet: until then what was before
   * it is told.
   */
  public RolloutStatus currentStatus() {
    return switch (current.state) {
      case ON_TRIAL ->
          new RolloutStatus(
              current.build,
              current.stage,
              State.ON_TRIAL,
              rules.stages().get(current.stage).exposureCap(),
              current.since);
      case GOING_BACK, WITHDRAWN ->
          new RolloutStatus(current.build, current.stage, current.state, 0, current.since);
      case RELEASED ->
          new RolloutStatus(current.build, current.stage, State.RELEASED, 1, current.since);
      default -> {
        Rollout before = rolloutsByBuild.lowerEntry(current.build).getValue();
        boolean serves = before.build == previousBuild;
        yield new RolloutStatus(
            before.build,
            before.stage,
            serves ? State.RELEASED : State.WITHDRAWN,
            serves ? 1 : 0,
            before.since);
      }
    };
  }

  /** How many units of a build there should be now. */
  public int desiredEndpoints(Rollout release) {
    return switch (release.state) {
      case STARTING, ON_TRIAL -> desiredEndpoints(release.stage);
      case RELEASED ->
          release == current || release.build == previousBuild && current.state != State.RELEASED
              ? fleetSize
              : 0;
      default -> 0;
    };
  }

  /** Of all units, that a release takes while it is decided. */
  double fleetShare(Rollout release) {
    return rules.stages().get(release.stage).share();
  }

  private int desiredEndpoints(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * fleetSize - 1e-9));
  }

  /** Relays whose votes of a kind stand for the present build and stage. */
  public List<Integer> relaysVoting(Vote say, Timestamp now) {
    TreeSet<Integer> found = new TreeSet<>();
    for (Ballot vote : unexpired(say, now)) {
      found.add(vote.relay);
    }
    return List.copyOf(found);
  }

  private int count(Vote say, Timestamp now) {
    return unexpired(say, now).size();
  }

  /** Without those whose time is over; time never goes back. */
  private TreeSet<Ballot> unexpired(Vote say, Timestamp now) {
    TreeSet<Ballot> all = relaysVoting.get(say);
    while (!all.isEmpty()) {
      votesExamined++;
      if (all.first().expiresAt.after(now)) {
        break;
      }
      all.pollFirst();
    }
    return all;
  }

  /** Votes of a former life are there, and what they are on. */
  void restoreVotes() {
    relaysVoting.values().forEach(TreeSet::clear);
    for (Ballot vote : ballotsByRelay.values()) {
      boolean stands =
          vote.vote != Vote.NOTHING
              && vote.build == current.build
              && (vote.vote == Vote.BACK || vote.stage == current.stage);
      if (stands) {
        relaysVoting.get(vote.vote).add(vote);
      }
    }
  }

  /** They were on what it was. */
  private void clearVotes() {
    ballotsByRelay.values().forEach(vote -> vote.vote = Vote.NOTHING);
    relaysVoting.values().forEach(TreeSet::clear);
  }

  /** Votes that were looked at so far to count them: what tests of its growth count. */
  public long votesExamined() {
    return votesExamined;
  }

  /** Why the present release stands where it stands, in one line each. */
  public List<String> blockers(Timestamp now) {
    List<String> found = new ArrayList<>();
    Rollout open = openRollout();
    if (open == null) {
      return found;
    }
    if (open.held) {
      found.add("an operator holds it");
    }
    if (open.state == State.ANNOUNCED) {
      found.add("build " + current.build + " to have gone back");
    }
    if (open.state == State.GOING_BACK) {
      found.add("its time of going back to be over");
    }
    boolean running = open.state == State.STARTING || open.state == State.ON_TRIAL;
    if (running && open.readyEndpoints < desiredEndpoints(open.stage)) {
      found.add(
          "units: " + open.readyEndpoints + " of " + desiredEndpoints(open.stage) + " are there");
    }
    if (open.state != State.ON_TRIAL || open.clockStart == null) {
      return found;
    }
    TimeSpan so = now.since(open.clockStart).minus(open.pausedTime);
    if (rules.control() == RolloutRules.Control.CLOCKED) {
      found.add(
          "the clock: "
              + Math.round(so.ms())
              + " of "
              + Math.round(rules.clockedStageTime().ms())
              + " ms; "
              + count(Vote.HOLD, now)
              + " relays hold it, "
              + rules.votesToPause()
              + " stop it");
    } else {
      if (!so.over(rules.minStageTime())) {
        found.add(
            "its least time: "
                + Math.round(so.ms())
                + " of "
                + Math.round(rules.minStageTime().ms())
                + " ms");
      }
      found.add("votes to go on: " + count(Vote.ON, now) + " of " + rules.votesToAdvance());
    }
    found.add("votes to go back: " + count(Vote.BACK, now) + " of " + rules.votesToRollBack());
    return found;
  }

  private Rollout openRollout() {
    for (Rollout one : rolloutsByBuild.descendingMap().values()) {
      if (one.state.open()) {
        return one;
      }
    }
    return null;
  }

  // What happens. Each with the time, and the wall's clock for people.

  /** A build was announced; a delivery that was answered before has that answer again. */
  public AnnouncementResult announceDelivery(
      String delivery, int build, String artifact, String source, Timestamp now, long wall) {
    wallMs = wall;
    forgetOldDeliveries(now);
    String content = build + " " + artifact;
    Delivery before = deliveries.get(delivery);
    if (before != null) {
      return before.content.equals(content)
          ? AnnouncementResult.AGAIN
          : AnnouncementResult.CONTRADICTS;
    }
    AnnouncementResult answer = announce(build, artifact, source, now);
    deliveries.put(delivery, new Delivery(delivery, now, answer, content));
    return answer;
  }

  private void forgetOldDeliveries(Timestamp now) {
    Iterator<Delivery> oldest = deliveries.values().iterator();
    while (oldest.hasNext()) {
      boolean old = now.since(oldest.next().at).over(DELIVERY_RETENTION);
      if (!old && deliveries.size() < MAX_DELIVERIES) {
        return;
      }
      oldest.remove();
    }
  }

  private AnnouncementResult announce(int build, String artifact, String source, Timestamp now) {
    Rollout known = rolloutsByBuild.get(build);
    if (known != null) {
      return known.artifact.equals(artifact)
          ? AnnouncementResult.KNOWN
          : AnnouncementResult.CONTRADICTS;
    }
    if (build <= rolloutsByBuild.lastKey()) {
      return AnnouncementResult.TOO_OLD;
    }
    long waiting =
        rolloutsByBuild.values().stream().filter(one -> one.state == State.ANNOUNCED).count();
    if (waiting >= MAX_ANNOUNCED) {
      return AnnouncementResult.TOO_MANY;
    }
    Rollout made = new Rollout(build, artifact, now);
    rolloutsByBuild.put(build, made);
    transition(made, State.ANNOUNCED, 0, "announced by " + source, now);
    for (Rollout one : List.copyOf(rolloutsByBuild.values())) {
      if (one != made
          && (one.state == State.ON_TRIAL
              || one.state == State.STARTING
              || one.state == State.ANNOUNCED)) {
        transition(one, State.SUPERSEDED, one.stage, "build " + build + " was announced", now);
      }
    }
    startNext(now);
    while (rolloutsByBuild.size() > MAX_ROLLOUTS
        && !rolloutsByBuild.firstEntry().getValue().state.open()
        && rolloutsByBuild.firstKey() != previousBuild
        && rolloutsByBuild.firstEntry().getValue() != current) {
      rolloutsByBuild.pollFirstEntry();
    }
    return AnnouncementResult.TAKEN;
  }

  /** The one that waits begins once none is in its way: never are two on trial. */
  private void startNext(Timestamp now) {
    if (current.state == State.GOING_BACK) {
      return;
    }
    Rollout next = openRollout();
    if (next == null || next.state != State.ANNOUNCED) {
      return;
    }
    if (current.state == State.RELEASED) {
      previousBuild = current.build;
    }
    current = next;
    clearVotes();
    transition(next, State.STARTING, 0, "nothing is in its way", now);
  }

  /** A relay votes. Only votes on the present build and its stage count. */
  public VoteResult castVote(int relay, int build, int stage, Vote say, Timestamp now, long wall) {
    wallMs = wall;
    Ballot vote = ballotsByRelay.get(relay);
    if (vote == null) {
      if (ballotsByRelay.size() >= MAX_RELAYS) {
        return VoteResult.TOO_MANY;
      }
      vote = new Ballot(relay);
      ballotsByRelay.put(relay, vote);
    }
    if (vote.rateWindowStart == null || now.since(vote.rateWindowStart).ms() >= 1000) {
      vote.rateWindowStart = now;
      vote.votesInWindow = 0;
    }
    if (++vote.votesInWindow > rules.maxVotesPerSecond()) {
      return VoteResult.TOO_MANY;
    }
    boolean trial = current.state == State.ON_TRIAL;
    boolean clocked = rules.control() == RolloutRules.Control.CLOCKED;
    boolean fits =
        build == current.build
            && switch (say) {
              case ON -> trial && !clocked && stage == current.stage;
              case HOLD -> trial && clocked && stage == current.stage;
              case BACK -> trial || underObservation(now);
              case NOTHING -> true;
            };
    if (!fits) {
      return VoteResult.MOOT;
    }
    if (clocked && trial) {
      addPausedTime(now);
    }
    if (vote.expiresAt != null) {
      relaysVoting.get(vote.vote).remove(vote);
    }
    vote.build = build;
    vote.stage = stage;
    vote.vote = say;
    vote.expiresAt = now.plus(rules.voteValidity());
    if (say != Vote.NOTHING) {
      relaysVoting.get(say).add(vote);
    }
    reconcile(now);
    return VoteResult.COUNTS;
  }

  /** A released build is watched for a time, if there is one to go back to. */
  private boolean underObservation(Timestamp now) {
    return current.state == State.RELEASED
        && previousBuild != current.build
        && !now.since(current.since).over(rules.observationTime());
  }

  /** An operator's word, which is stronger than votes; says why it has no effect, or null. */
  public String command(
      OperatorCommand action, int build, String who, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Rollout release = rolloutsByBuild.get(build);
    if (release == null) {
      return "no build " + build + " is known";
    }
    String cause = who + ": " + reason;
    boolean running =
        release.state == State.STARTING
            || release.state == State.ON_TRIAL
            || release.state == State.ANNOUNCED;
    switch (action) {
      case HOLD -> {
        if (!running) {
          return "build " + build + " is " + stateText(release) + ": there is nothing to hold";
        }
        if (release.held) {
          return "build " + build + " is held already";
        }
        release.held = true;
        release.heldSince = now;
        transition(release, release.state, release.stage, "held by " + cause, now);
      }
      case RESUME -> {
        if (!release.held) {
          return "build " + build + " is not held";
        }
        release.held = false;
        if (release.clockStart != null) {
          release.pausedTime =
              release.pausedTime.plus(now.since(release.heldSince.later(release.clockStart)));
        }
        transition(release, release.state, release.stage, "resumed by " + cause, now);
        reconcile(now);
      }
      case WITHDRAW -> {
        boolean last =
            release == current && release.state == State.RELEASED && previousBuild != release.build;
        if (!running && !last) {
          return "build " + build + " is " + stateText(release) + ": it can't be withdrawn";
        }
        release.held = false;
        if (release.state == State.ANNOUNCED) {
          transition(release, State.WITHDRAWN, 0, "withdrawn by " + cause, now);
        } else {
          rollBack(release, "withdrawn by " + cause, now);
        }
      }
      default -> throw new IllegalArgumentException("no such action");
    }
    return null;
  }

  private static String stateText(Rollout release) {
    return release.state.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }

  /** So many units of a build are there. */
  public void reportEndpoints(int build, int endpoints, Timestamp now, long wall) {
    wallMs = wall;
    Rollout release = rolloutsByBuild.get(build);
    if (release == null) {
      return;
    }
    release.readyEndpoints = endpoints;
    reconcile(now);
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wall) {
    wallMs = wall;
    reconcile(now);
  }

  /**
   * The controller was down for so long by the wall's clock; below zero: that was set back, and
   * nobody knows how old votes are. The time does not count for a stage.
   */
  public void restarted(long downMs, Timestamp now, long wall) {
    wallMs = wall;
    epoch++;
    if (downMs < 0) {
      clearVotes();
    }
    if (downMs > 0 && current.clockStart != null) {
      current.pausedTime = current.pausedTime.plus(TimeSpan.ofMs(downMs));
    }
    if (downMs > 0 && current.state == State.STARTING) {
      current.since = current.since.plus(TimeSpan.ofMs(downMs));
    }
    reconcile(now);
  }

  /** Outgoing webhooks up to a transition are done with. */
  public void webhooksDeliveredUpTo(long upTo) {
    webhooksDeliveredUpTo = Math.max(webhooksDeliveredUpTo, Math.min(upTo, sequence));
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean transitionDue(Timestamp now) {
    return switch (current.state) {
      case STARTING ->
          startTimedOut(now) || !current.held && current.readyEndpoints >= desiredEndpoints(0);
      case GOING_BACK -> now.since(current.since).over(rules.rollbackTime());
      case ON_TRIAL ->
          startTimedOut(now)
              || count(Vote.BACK, now) >= rules.votesToRollBack()
              || mayAdvance(now)
              || clockRunning(now) != current.clockRunning;
      case RELEASED -> underObservation(now) && count(Vote.BACK, now) >= rules.votesToRollBack();
      default -> false;
    };
  }

  private boolean startTimedOut(Timestamp now) {
    return current.clockStart == null
        && !current.held
        && now.since(current.since).over(rules.startTimeout());
  }

  private boolean clockRunning(Timestamp now) {
    return count(Vote.HOLD, now) < rules.votesToPause();
  }

  private void addPausedTime(Timestamp now) {
    if (!current.clockRunning && current.clockUpdatedAt != null && current.clockStart != null) {
      current.pausedTime = current.pausedTime.plus(now.since(current.clockUpdatedAt));
    }
    current.clockUpdatedAt = now;
  }

  private boolean mayAdvance(Timestamp now) {
    if (current.clockStart == null || current.held) {
      return false;
    }
    TimeSpan so = now.since(current.clockStart).minus(current.pausedTime);
    if (rules.control() != RolloutRules.Control.CLOCKED) {
      return so.over(rules.minStageTime()) && count(Vote.ON, now) >= rules.votesToAdvance();
    }
    return clockRunning(now) && current.clockRunning && so.over(rules.clockedStageTime());
  }

  /** Does all that is due now. */
  private void reconcile(Timestamp now) {
    if (rules.control() == RolloutRules.Control.CLOCKED && current.state == State.ON_TRIAL) {
      addPausedTime(now);
      current.clockRunning = clockRunning(now);
    }
    if (current.state == State.STARTING
        && !current.held
        && current.readyEndpoints >= desiredEndpoints(0)) {
      transition(current, State.ON_TRIAL, 0, current.readyEndpoints + " units are there", now);
      current.clockStart = now;
    }
    if (current.state == State.ON_TRIAL
        && current.clockStart == null
        && current.readyEndpoints >= desiredEndpoints(current.stage)) {
      current.clockStart = now;
    }
    if ((current.state == State.STARTING || current.state == State.ON_TRIAL)
        && startTimedOut(now)) {
      rollBack(
          current,
          "its units did not start: "
              + current.readyEndpoints
              + " of "
              + desiredEndpoints(current.stage),
          now);
    } else if (current.state == State.ON_TRIAL
        && count(Vote.BACK, now) >= rules.votesToRollBack()) {
      rollBack(current, "votes to go back of relays " + relaysVoting(Vote.BACK, now), now);
    } else if (current.state == State.RELEASED
        && underObservation(now)
        && count(Vote.BACK, now) >= rules.votesToRollBack()) {
      rollBack(
          current,
          "votes to go back of relays " + relaysVoting(Vote.BACK, now) + " after its release",
          now);
    } else if (current.state == State.ON_TRIAL && mayAdvance(now)) {
      advance(now);
    } else if (current.state == State.GOING_BACK
        && now.since(current.since).over(rules.rollbackTime())) {
      transition(current, State.WITHDRAWN, current.stage, "it has gone back", now);
      startNext(now);
    }
  }

  private void advance(Timestamp now) {
    String cause =
        rules.control() == RolloutRules.Control.CLOCKED
            ? "its time is over"
            : "votes to go on of relays " + relaysVoting(Vote.ON, now);
    boolean last = current.stage + 1 >= rules.stages().size();
    if (last) {
      transition(current, State.RELEASED, current.stage, cause, now);
    } else {
      transition(current, State.ON_TRIAL, current.stage + 1, cause, now);
    }
    current.clockStart =
        !last && current.readyEndpoints >= desiredEndpoints(current.stage) ? now : null;
  }

  private void rollBack(Rollout release, String cause, Timestamp now) {
    transition(release, State.GOING_BACK, release.stage, cause, now);
  }

  private void transition(Rollout release, State to, int stage, String cause, Timestamp now) {
    boolean moves = release.state != to || release.stage != stage;
    release.state = to;
    release.stage = stage;
    if (moves || release.transitions().isEmpty()) {
      release.since = now;
      release.clockStart = null;
      release.pausedTime = TimeSpan.ZERO;
      release.clockUpdatedAt = now;
      release.clockRunning = true;
      if (release == current) {
        clearVotes();
      }
    }
    Transition step = new Transition(++sequence, now, wallMs, to, stage, cause);
    release.add(step);
    listener.transitioned(release, step);
  }
}
