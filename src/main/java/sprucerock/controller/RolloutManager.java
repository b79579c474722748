package sprucerock.controller;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.Rollout.Transition;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The rollouts of builds to one fleet of endpoints: what announcements, votes, operators and the
 * time that passes make of them. It does no I/O and reads no clock; the same inputs at the same
 * times give the same state, which is how it comes back after a crash. Whether a build is good is
 * the relays' to judge: here votes are only counted.
 */
public final class RolloutManager {
  /** What an announcement came to. The names are stored. */
  public enum AnnouncementResult {
    /** It is new, and a rollout was begun. */
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
    /** It is on another build or stage, or of a kind that does not count now. */
    MOOT,
    /** Too many of this relay in a second, or of too many relays. */
    TOO_MANY
  }

  /** What a relay votes for. The names are stored. */
  public enum Vote {
    /** It takes its vote back. */
    NOTHING,
    /** To advance to the next stage. */
    ON,
    /** To pause the stage, under the clock. */
    HOLD,
    /** To roll back. */
    BACK
  }

  /** What an operator may command about a rollout. The names are stored. */
  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Acts on transitions: tells relays and others, has endpoints started and taken away. */
  public interface Listener {
    /** A transition was recorded; told in the order of their sequence, once an incarnation. */
    void transitioned(Rollout rollout, Transition transition);
  }

  /** Rollouts that may wait to start; further announcements are refused. */
  static final int MAX_ANNOUNCED = 20;

  /** Rollouts that are kept; older ones are dropped once they have ended. */
  static final int MAX_ROLLOUTS = 100;

  private final RolloutRules rules;
  private final int fleetSize;
  private final Listener listener;
  final TreeMap<Integer, Rollout> rolloutsByBuild = new TreeMap<>();
  final BallotBox ballots = new BallotBox();
  private final StageClock clock;
  final DeliveryLog deliveries = new DeliveryLog();
  long sequence;
  long webhooksDeliveredUpTo;
  long epoch;
  Rollout current;
  int previousBuild;
  private long wallMs;

  /** {@code fleetSize} endpoints make up the fleet; build {@code first} serves from the start. */
  public RolloutManager(
      RolloutRules rules, int fleetSize, int first, Timestamp now, Listener listener) {
    this.rules = rules;
    clock = new StageClock(rules, ballots);
    this.fleetSize = fleetSize;
    this.listener = listener;
    current = new Rollout(first, "", now);
    current.state = State.RELEASED;
    current.stage = rules.stages().size() - 1;
    rolloutsByBuild.put(first, current);
    previousBuild = first;
  }

  // Queries.

  /** The rollout that relays are told of: on trial, going back, released or withdrawn last. */
  public Rollout current() {
    return current;
  }

  /** The build that serves beside the one on trial, or alone. */
  public int previousBuild() {
    return previousBuild;
  }

  /** All rollouts that are kept, the oldest build first. */
  public Collection<Rollout> rollouts() {
    return Collections.unmodifiableCollection(rolloutsByBuild.values());
  }

  /** The rollout of a build; null where none is kept. */
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

  /** The sequence up to which outgoing webhooks were taken, or given up. */
  public long webhooksDeliveredUpTo() {
    return webhooksDeliveredUpTo;
  }

  /** Outgoing webhooks up to a transition are done with. */
  public void webhooksDeliveredUpTo(long upTo) {
    webhooksDeliveredUpTo = Math.max(webhooksDeliveredUpTo, Math.min(upTo, sequence));
  }

  /** What relays are to know: a build, where its rollout stands, and the cap on its exposure. */
  public record RolloutStatus(
      int build, int stage, State state, double exposureCap, Timestamp since) {}

  /**
   * What relays are to know now. A build whose endpoints only start is not told yet: until then
   * what was before it is.
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

  /** How many endpoints of a build there should be now. */
  public int desiredEndpoints(Rollout rollout) {
    return switch (rollout.state) {
      case STARTING, ON_TRIAL -> desiredEndpoints(rollout.stage);
      case RELEASED ->
          rollout == current || rollout.build == previousBuild && current.state != State.RELEASED
              ? fleetSize
              : 0;
      default -> 0;
    };
  }

  /** How many endpoints of a build a stage has. */
  int desiredEndpoints(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * fleetSize - 1e-9));
  }

  /** The share of all endpoints that a rollout takes in its stage. */
  double fleetShare(Rollout rollout) {
    return rules.stages().get(rollout.stage).share();
  }

  /** Relays whose votes of a kind stand for the current build and stage. */
  public List<Integer> relaysVoting(Vote vote, Timestamp now) {
    return ballots.relays(vote, now);
  }

  /** The votes of an earlier incarnation are there, and the rollout that they are on. */
  void restoreVotes() {
    ballots.rebuildCountedVotes(current.build, current.stage);
  }

  /** Votes looked at so far to count them: what the scale tests bound. */
  public long votesExamined() {
    return ballots.votesExamined();
  }

  /** What the rollout that is not ended waits for, a line each; empty where there is none. */
  public List<String> blockers(Timestamp now) {
    return new RolloutBlockers(this, rules, ballots).lines(now);
  }

  /** The newest rollout that has not ended; null where there is none. */
  Rollout openRollout() {
    for (Rollout one : rolloutsByBuild.descendingMap().values()) {
      if (one.state.open()) {
        return one;
      }
    }
    return null;
  }

  // Inputs. Each with the controller's time, and the wall clock in milliseconds for people.

  /** A build was announced; a delivery that was answered before has that answer again. */
  public AnnouncementResult announceDelivery(
      String delivery, int build, String artifact, String source, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    return deliveries.applyOnce(
        delivery, build + " " + artifact, now, () -> announce(build, artifact, source, now));
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
    ballots.clear();
    transition(next, State.STARTING, 0, "nothing is in its way", now);
  }

  /** A relay votes. Only votes on the current build and its stage count. */
  public VoteResult castVote(
      int relay, int build, int stage, Vote vote, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    BallotBox.Ballot ballot = ballots.admit(relay, rules.maxVotesPerSecond(), now);
    if (ballot == null) {
      return VoteResult.TOO_MANY;
    }
    boolean onTrial = current.state == State.ON_TRIAL;
    boolean clocked = rules.control() == RolloutRules.Control.CLOCKED;
    boolean counts =
        build == current.build
            && switch (vote) {
              case ON -> onTrial && !clocked && stage == current.stage;
              case HOLD -> onTrial && clocked && stage == current.stage;
              case BACK -> onTrial || clock.underObservation(current, previousBuild, now);
              case NOTHING -> true;
            };
    if (!counts) {
      return VoteResult.MOOT;
    }
    if (clocked && onTrial) {
      clock.addPausedTime(current, now);
    }
    ballots.cast(ballot, build, stage, vote, rules.voteValidity(), now);
    reconcile(now);
    return VoteResult.COUNTS;
  }

  /**
   * Carries out an operator's command, which is stronger than votes.
   *
   * @return why it has no effect, or null
   */
  public String command(
      OperatorCommand command, int build, String who, String reason, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    return new RolloutCommands(this).carryOut(command, build, who + ": " + reason, now);
  }

  /** So many endpoints of a build are ready. */
  public void reportEndpoints(int build, int endpoints, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    Rollout rollout = rolloutsByBuild.get(build);
    if (rollout == null) {
      return;
    }
    rollout.readyEndpoints = endpoints;
    reconcile(now);
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    reconcile(now);
  }

  /**
   * The controller was down for so long by the wall's clock; below zero: that was set back, and
   * nobody knows how old votes are. The time does not count for a stage.
   */
  public void restarted(long downMs, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    epoch++;
    if (downMs < 0) {
      ballots.clear();
    }
    if (downMs > 0 && current.clockStart != null) {
      current.pausedTime = current.pausedTime.plus(TimeSpan.ofMs(downMs));
    }
    if (downMs > 0 && current.state == State.STARTING) {
      current.since = current.since.plus(TimeSpan.ofMs(downMs));
    }
    reconcile(now);
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean transitionDue(Timestamp now) {
    return switch (current.state) {
      case STARTING ->
          clock.startTimedOut(current, now)
              || !current.heldByOperator && current.readyEndpoints >= desiredEndpoints(0);
      case GOING_BACK -> clock.rollbackOver(current, now);
      case ON_TRIAL ->
          clock.startTimedOut(current, now)
              || clock.mustRollBack(now)
              || clock.mayAdvance(current, now)
              || clock.running(now) != current.clockRunning;
      case RELEASED ->
          clock.underObservation(current, previousBuild, now) && clock.mustRollBack(now);
      default -> false;
    };
  }

  /** Makes the transitions that are due now. */
  void reconcile(Timestamp now) {
    if (rules.control() == RolloutRules.Control.CLOCKED && current.state == State.ON_TRIAL) {
      clock.addPausedTime(current, now);
      current.clockRunning = clock.running(now);
    }
    if (current.state == State.STARTING
        && !current.heldByOperator
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
        && clock.startTimedOut(current, now)) {
      rollBack(
          current,
          "its units did not start: "
              + current.readyEndpoints
              + " of "
              + desiredEndpoints(current.stage),
          now);
    } else if (current.state == State.ON_TRIAL && clock.mustRollBack(now)) {
      rollBack(current, "votes to go back of relays " + relaysVoting(Vote.BACK, now), now);
    } else if (current.state == State.RELEASED
        && clock.underObservation(current, previousBuild, now)
        && clock.mustRollBack(now)) {
      rollBack(
          current,
          "votes to go back of relays " + relaysVoting(Vote.BACK, now) + " after its release",
          now);
    } else if (current.state == State.ON_TRIAL && clock.mayAdvance(current, now)) {
      advance(now);
    } else if (current.state == State.GOING_BACK && clock.rollbackOver(current, now)) {
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

  /** A rollout goes back to the build before it. */
  void rollBack(Rollout rollout, String cause, Timestamp now) {
    transition(rollout, State.GOING_BACK, rollout.stage, cause, now);
  }

  /** A rollout goes to a state and a stage, or is held or resumed where it is. */
  void transition(Rollout rollout, State to, int stage, String cause, Timestamp now) {
    boolean moves = rollout.state != to || rollout.stage != stage;
    rollout.state = to;
    rollout.stage = stage;
    if (moves || rollout.transitions().isEmpty()) {
      rollout.since = now;
      rollout.clockStart = null;
      rollout.pausedTime = TimeSpan.ZERO;
      rollout.clockUpdatedAt = now;
      rollout.clockRunning = true;
      if (rollout == current) {
        ballots.clear();
      }
    }
    Transition made = new Transition(++sequence, now, wallMs, to, stage, cause);
    rollout.addTransition(made);
    listener.transitioned(rollout, made);
  }
}
