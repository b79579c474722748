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
 * Manages the rollouts of builds to one fleet of endpoints, driven by announcements, votes,
 * operator commands and time. It does no I/O and reads no clock: the same inputs at the same times
 * give the same state, so replaying the log restores it after a crash. Relays judge whether a build
 * is good; this class only counts their votes.
 */
public final class RolloutManager {
  /** The result of an announcement. The names of the constants are stored. */
  public enum AnnouncementResult {
    /** The build is new, and its rollout was announced. */
    TAKEN,
    /** The same delivery was processed before, whatever its result was. */
    AGAIN,
    /** The build was announced before with the same artifact. */
    KNOWN,
    /**
     * The build was announced before with another artifact, or the delivery with another content.
     */
    CONTRADICTS,
    /** A build with a higher number was announced before. */
    TOO_OLD,
    /** Too many rollouts wait to start. */
    TOO_MANY
  }

  /** The result of a vote. */
  public enum VoteResult {
    COUNTS,
    /** The vote is on another build or stage, or of a kind that does not count now. */
    MOOT,
    /** The relay voted too often within a second, or too many relays vote. */
    TOO_MANY
  }

  /** What a relay votes for. The names of the constants are stored. */
  public enum Vote {
    /** Withdraws the relay's last vote. */
    NOTHING,
    /** Advance to the next stage. */
    ON,
    /** Pause the stage; only under {@link RolloutRules.Control#CLOCKED}. */
    HOLD,
    /** Roll back. */
    BACK
  }

  /** An operator's command on a rollout. The names of the constants are stored. */
  public enum OperatorCommand {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /**
   * Reacts to transitions: notifies relays and webhooks, and requests the start and stop of
   * endpoints.
   */
  public interface Listener {
    /** Called for each transition, in the order of sequence numbers, once per incarnation. */
    void transitioned(Rollout rollout, Transition transition);
  }

  /** The most rollouts that may wait to start; further announcements are rejected. */
  static final int MAX_ANNOUNCED = 20;

  /** The most rollouts that are kept; older ones are dropped once they have ended. */
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

  /** The wall clock of the current input, recorded in its transitions. */
  private long wallMs;

  /**
   * Creates a manager whose only rollout is the released one of the first build.
   *
   * @param fleetSize the number of endpoints in the fleet
   * @param firstBuild the build that serves from the start
   */
  public RolloutManager(
      RolloutRules rules, int fleetSize, int firstBuild, Timestamp now, Listener listener) {
    this.rules = rules;
    clock = new StageClock(rules, ballots);
    this.fleetSize = fleetSize;
    this.listener = listener;
    current = new Rollout(firstBuild, "", now);
    current.state = State.RELEASED;
    current.stage = rules.stages().size() - 1;
    rolloutsByBuild.put(firstBuild, current);
    previousBuild = firstBuild;
  }

  // Queries.

  /**
   * Returns the rollout that is starting, on trial or rolling back; if there is none, the rollout
   * that was released or withdrawn last.
   */
  public Rollout current() {
    return current;
  }

  /**
   * Returns the build that was released before the current rollout; it is the baseline of the trial
   * and serves after a rollback. Before the first rollout it is the first build.
   */
  public int previousBuild() {
    return previousBuild;
  }

  /** Returns all rollouts that are kept, the oldest build first. */
  public Collection<Rollout> rollouts() {
    return Collections.unmodifiableCollection(rolloutsByBuild.values());
  }

  /** Returns the rollout of a build, or null if none is kept. */
  public Rollout rollout(int build) {
    return rolloutsByBuild.get(build);
  }

  /** Returns the sequence number of the last transition. */
  public long sequence() {
    return sequence;
  }

  /**
   * Returns the number of incarnations of this state. Relays treat the status from a higher epoch
   * as newer.
   */
  public long epoch() {
    return epoch;
  }

  /** Returns the sequence number up to which outgoing webhooks were delivered or given up. */
  public long webhooksDeliveredUpTo() {
    return webhooksDeliveredUpTo;
  }

  /** Records that outgoing webhooks up to a sequence number were delivered or given up. */
  public void markWebhooksDelivered(long upTo) {
    webhooksDeliveredUpTo = Math.max(webhooksDeliveredUpTo, Math.min(upTo, sequence));
  }

  /** The status that relays are notified of: a build, its rollout's state and exposure cap. */
  public record RolloutStatus(
      int build, int stage, State state, double exposureCap, Timestamp since) {}

  /**
   * Returns the status that relays are to be notified of now. A build whose endpoints are still
   * starting is not announced to relays yet; the status of the build before it is returned instead.
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

  /** Returns the desired number of endpoints of a rollout's build in its current state. */
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

  /**
   * Returns the desired number of endpoints of a build in a stage: its share of the fleet, rounded
   * up, and at least 1. The subtraction keeps rounding errors from adding an endpoint.
   */
  int desiredEndpoints(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * fleetSize - 1e-9));
  }

  /** Returns the share of the fleet's endpoints that a rollout gets in its stage. */
  double fleetShare(Rollout rollout) {
    return rules.stages().get(rollout.stage).share();
  }

  /** Returns the relays with a counted vote of a kind on the current build and stage. */
  public List<Integer> relaysVoting(Vote vote, Timestamp now) {
    return ballots.relays(vote, now);
  }

  /** Rebuilds the counted votes after the ballots and the current rollout were restored. */
  void restoreVotes() {
    ballots.rebuildCountedVotes(current.build, current.stage);
  }

  /** Returns how many votes have been examined to count votes; the scale tests limit the number. */
  public long votesExamined() {
    return ballots.votesExamined();
  }

  /** Returns what the open rollout waits for, a line each; empty if no rollout is open. */
  public List<String> blockers(Timestamp now) {
    return new RolloutBlockers(this, rules, ballots).lines(now);
  }

  /** Returns the newest rollout that has not ended, or null if all have. */
  Rollout openRollout() {
    for (Rollout rollout : rolloutsByBuild.descendingMap().values()) {
      if (rollout.state.open()) {
        return rollout;
      }
    }
    return null;
  }

  // Inputs. In each method `now` is the controller's time, and `wallMs` is the wall clock, which is
  // only recorded in transitions, for people.

  /** Announces a build. A delivery that was processed before has no second effect. */
  public AnnouncementResult announceDelivery(
      String delivery, int build, String artifact, String source, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    return deliveries.applyOnce(
        delivery, build + " " + artifact, now, () -> announce(build, artifact, source, now));
  }

  private AnnouncementResult announce(int build, String artifact, String source, Timestamp now) {
    Rollout announced = rolloutsByBuild.get(build);
    if (announced != null) {
      return announced.artifact.equals(artifact)
          ? AnnouncementResult.KNOWN
          : AnnouncementResult.CONTRADICTS;
    }
    if (build <= rolloutsByBuild.lastKey()) {
      return AnnouncementResult.TOO_OLD;
    }
    long waiting =
        rolloutsByBuild.values().stream()
            .filter(rollout -> rollout.state == State.ANNOUNCED)
            .count();
    if (waiting >= MAX_ANNOUNCED) {
      return AnnouncementResult.TOO_MANY;
    }
    Rollout added = new Rollout(build, artifact, now);
    rolloutsByBuild.put(build, added);
    transition(added, State.ANNOUNCED, 0, "announced by " + source, now);
    for (Rollout rollout : List.copyOf(rolloutsByBuild.values())) {
      if (rollout != added
          && (rollout.state == State.ON_TRIAL
              || rollout.state == State.STARTING
              || rollout.state == State.ANNOUNCED)) {
        transition(
            rollout, State.SUPERSEDED, rollout.stage, "build " + build + " was announced", now);
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

  /**
   * Starts the waiting rollout unless the current one is rolling back, so that one trial runs at a
   * time.
   */
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

  /** Casts a relay's vote. Only votes on the current build and its stage count. */
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
   * Carries out an operator's command, which takes precedence over votes.
   *
   * @return the reason why the command has no effect, or null if it has one
   */
  public String command(
      OperatorCommand command, int build, String who, String reason, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    return new RolloutCommands(this).carryOut(command, build, who + ": " + reason, now);
  }

  /** Records how many endpoints of a build are ready. */
  public void reportEndpoints(int build, int endpoints, Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    Rollout rollout = rolloutsByBuild.get(build);
    if (rollout == null) {
      return;
    }
    rollout.readyEndpoints = endpoints;
    reconcile(now);
  }

  /** Makes the transitions that are due. */
  public void tick(Timestamp now, long wallMs) {
    this.wallMs = wallMs;
    reconcile(now);
  }

  /**
   * Records a restart of the controller. Downtime does not count towards the time of a stage.
   *
   * @param downMs the downtime by the wall clock. A negative value means that the clock was set
   *     back; votes are then dropped, as their age is unknown.
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

  /** Whether a tick now would change the state; a tick that would not is not logged. */
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
          "its endpoints were not ready in time: "
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
            ? "the clocked stage time is over"
            : "votes to go on of relays " + relaysVoting(Vote.ON, now);
    boolean lastStage = current.stage + 1 >= rules.stages().size();
    if (lastStage) {
      transition(current, State.RELEASED, current.stage, cause, now);
    } else {
      transition(current, State.ON_TRIAL, current.stage + 1, cause, now);
    }
    current.clockStart =
        !lastStage && current.readyEndpoints >= desiredEndpoints(current.stage) ? now : null;
  }

  /** Rolls a rollout back to the previous build. */
  void rollBack(Rollout rollout, String cause, Timestamp now) {
    transition(rollout, State.GOING_BACK, rollout.stage, cause, now);
  }

  /**
   * Moves a rollout to a state and a stage. With an unchanged state and stage only the transition
   * is recorded, as for an operator's hold or resume.
   */
  void transition(Rollout rollout, State newState, int stage, String cause, Timestamp now) {
    boolean moved = rollout.state != newState || rollout.stage != stage;
    rollout.state = newState;
    rollout.stage = stage;
    if (moved || rollout.transitions().isEmpty()) {
      rollout.since = now;
      rollout.clockStart = null;
      rollout.pausedTime = TimeSpan.ZERO;
      rollout.clockUpdatedAt = now;
      rollout.clockRunning = true;
      if (rollout == current) {
        ballots.clear();
      }
    }
    Transition transition = new Transition(++sequence, now, wallMs, newState, stage, cause);
    rollout.addTransition(transition);
    listener.transitioned(rollout, transition);
  }
}
