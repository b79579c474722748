package sprucerock.agent;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Keeps one relay running on one machine: on what the controller wants, else on what ran well last.
 * It does no I/O; one thread. A controller that is silent, gone or older than one that was obeyed
 * changes nothing. A version that does not get ready, ends by itself or goes over a limit is tried
 * a few times with growing pauses, then what ran well last is taken up again by itself: the relay
 * is never left with nothing because nobody can be asked.
 */
public final class Agent {
  /** What the relay does now. */
  public enum Phase {
    OFF,
    DOWNLOADING,
    STARTING,
    READY,
    STOPPING,
    BACKING_OFF
  }

  /** A run of the relay that is over. */
  public record FinishedRun(
      Version version, Timestamp startedAt, Timestamp endedAt, String outcome) {}

  /**
   * @param readyWithin a start that takes longer has failed; {@code endWithin}: told to end, it is
   *     killed after that
   * @param proven a version that was ready for so long ran well
   */
  public record Timeouts(TimeSpan start, TimeSpan stop, TimeSpan provenAfter) {}

  private static final int MAX_FAILED_RUNS =
      3; // of a new version: a start may fail once for what is none of its fault
  private static final TimeSpan FIRST_BACKOFF = TimeSpan.ofMs(500); // as long as a start takes
  private static final TimeSpan MAX_BACKOFF =
      TimeSpan.ofMs(
          30_000); // of what ran well before: it will again, once what ails the machine is over
  private static final int MAX_FINISHED_RUNS = 20;

  private final ProcessLauncher launcher;
  private final Timeouts timeouts;
  private AgentState state;
  private Phase phase = Phase.OFF;
  private Version runningVersion = Version.NONE;
  private Version pendingVersion;
  private Timestamp phaseSince;
  private int failedRuns;
  private int runNumber;

  /** The turn for which the relay that was taken over was started; 0 where none was. */
  private int adoptedGeneration;

  private boolean stopped;
  private String forcedStopReason;
  private final Deque<FinishedRun> finishedRuns = new ArrayDeque<>();

  public Agent(ProcessLauncher machine, Timeouts times, AgentState memory) {
    this.launcher = machine;
    this.timeouts = times;
    this.state = memory;
  }

  // What is asked.

  public Phase phase() {
    return phase;
  }

  /** What runs now, or is being started; {@link Version#NONE} where nothing is. */
  public Version runningVersion() {
    return phase == Phase.STARTING || phase == Phase.READY || phase == Phase.STOPPING
        ? runningVersion
        : Version.NONE;
  }

  public boolean ready() {
    return phase == Phase.READY;
  }

  /** The turn that is carried out. */
  public int completedGeneration() {
    return state.completedGeneration();
  }

  public long epoch() {
    return state.epoch();
  }

  /** How often the relay was started, in all lives of this agent. */
  public int starts() {
    return state.starts();
  }

  public AgentState state() {
    return state;
  }

  /** The last runs that are over, the latest last. */
  public Collection<FinishedRun> finishedRuns() {
    return Collections.unmodifiableCollection(finishedRuns);
  }

  // What happens.

  /**
   * The agent begins: what was wanted last, else what ran well last, is started without waiting for
   * anybody.
   */
  public void resume() {
    boolean asWanted =
        state.desired().equals(Version.NONE)
            || runningVersion.equals(state.desired())
                && state.completedGeneration() == state.generation();
    if (phase == Phase.READY && asWanted) {
      return;
    }
    if (!state.desired().equals(Version.NONE) && launcher.hasArtifacts(state.desired())) {
      switchTo(state.desired());
    } else if (!state.lastGood().equals(Version.NONE) && launcher.hasArtifacts(state.lastGood())) {
      switchTo(state.lastGood());
    } else if (!state.desired().equals(Version.NONE)) {
      switchTo(state.desired());
    } else {
      launcher.log("nothing is known to run here; the controller's word is waited for");
    }
  }

  /** A relay that an earlier life of the agent started for that turn runs still. */
  public void relayAdopted(Version version, int turn) {
    runningVersion = version;
    runNumber++;
    adoptedGeneration = turn;
    enterReady();
    if (version.equals(state.desired()) && turn == state.generation()) {
      completeGeneration();
    }
  }

  /** Found in a folder, for a machine that no controller has spoken to yet. */
  public void offerInitialVersion(Version version) {
    if (state.desired().equals(Version.NONE)
        && state.lastGood().equals(Version.NONE)
        && phase == Phase.OFF) {
      switchTo(version);
    }
  }

  /**
   * A controller says what is to run; only the newest one is obeyed, and of it only what is newer.
   */
  public void applyDesiredState(long epoch, int turn, Version version) {
    if (stopped) {
      return;
    }
    boolean older = epoch < state.epoch() || epoch == state.epoch() && turn < state.generation();
    if (older) {
      launcher.log(
          "a word of epoch "
              + epoch
              + ", turn "
              + turn
              + " is older than "
              + state.epoch()
              + ", turn "
              + state.generation()
              + ": not obeyed");
      return;
    }
    boolean same = turn == state.generation() && version.equals(state.desired());
    if (!same
        && epoch == state.epoch()
        && turn == state.generation()
        && !state.desired().equals(Version.NONE)) {
      launcher.log(
          "epoch "
              + epoch
              + " said "
              + state.desired()
              + " for turn "
              + turn
              + " and says "
              + version
              + " now: the first holds");
      return;
    }
    // no restart was asked for; or it was, and carried out, and this agent's notes of it are lost:
    // where all agents lose theirs
    // together, all relays would else be restarted at once
    boolean asItIs =
        (turn == 0 || turn == adoptedGeneration)
            && !same
            && phase == Phase.READY
            && runningVersion.equals(version);
    if (!same || epoch != state.epoch()) {
      saveState(
          state.withDesired(
              epoch,
              turn,
              same ? state.completedGeneration() : Math.min(state.completedGeneration(), turn - 1),
              version));
    }
    if (!same) {
      failedRuns = 0;
    }
    if (asItIs) {
      completeGeneration();
    } else if (!same || phase == Phase.OFF) {
      switchTo(version);
    }
  }

  private void switchTo(Version version) {
    pendingVersion = version;
    if (launcher.hasArtifacts(version)) {
      replaceRunning();
    } else {
      if (phase == Phase.OFF || phase == Phase.BACKING_OFF) {
        enter(Phase.DOWNLOADING);
      }
      launcher.download(version);
    }
  }

  public void downloadSucceeded(Version version) {
    if (version.equals(pendingVersion)) {
      replaceRunning();
    }
  }

  /** It can't be had; what runs goes on. */
  public void downloadFailed(Version version, String why) {
    if (!version.equals(pendingVersion)) {
      return;
    }
    launcher.log(version + " can't be had: " + why);
    launcher.runFailed(version, "can't be had: " + why);
    pendingVersion = null;
    if (phase == Phase.DOWNLOADING) {
      fallBackToLastGood();
    }
  }

  /** All is here: what runs makes room for it, by a signal where that will do. */
  private void replaceRunning() {
    if (stopped) {
      return;
    }
    switch (phase) {
      case OFF, DOWNLOADING, BACKING_OFF -> start();
      case READY -> {
        if (runningVersion.equals(pendingVersion)
            || !launcher.reload(runningVersion, pendingVersion)) {
          terminate("told to change");
        }
      }
      case STARTING -> {
        if (runningVersion.equals(pendingVersion)) {
          pendingVersion = null;
        } else {
          terminate("told to change before it was ready");
        }
      }
      default -> {} // it ends already; then the next one starts
    }
  }

  /** The relay was told by a signal to read its settings; {@code taken}: it says that it has. */
  public void reloadFinished(Version version, boolean taken) {
    if (phase != Phase.READY || !version.equals(pendingVersion)) {
      return;
    }
    if (!taken) {
      terminate("it did not take its settings over by a signal");
      return;
    }
    launcher.log("settings of " + version + " are taken over by a signal");
    runningVersion = version;
    pendingVersion = null;
    phaseSince = launcher.now();
    completeGeneration();
  }

  private void start() {
    runningVersion = pendingVersion;
    pendingVersion = null;
    saveState(state.withOneMoreStart());
    forcedStopReason = null;
    int of = ++runNumber;
    enter(Phase.STARTING);
    launcher.start(runningVersion);
    launcher.schedule(
        launcher.now().plus(timeouts.start()),
        () -> {
          if (runNumber == of && phase == Phase.STARTING) {
            forcedStopReason = "was not ready within " + Math.round(timeouts.start().ms()) + " ms";
            enter(Phase.STOPPING);
            launcher.kill();
          }
        });
  }

  public void relayStarted() {
    if (phase != Phase.STARTING) {
      return;
    }
    enterReady();
    if (runningVersion.equals(state.desired())) {
      completeGeneration();
    }
  }

  private void enterReady() {
    int of = runNumber;
    enter(Phase.READY);
    launcher.schedule(
        launcher.now().plus(timeouts.provenAfter()),
        () -> {
          if (runNumber != of || phase != Phase.READY) {
            return;
          }
          failedRuns = 0;
          if (!runningVersion.equals(state.lastGood())) {
            saveState(state.withLastGood(runningVersion));
          }
        });
  }

  private void completeGeneration() {
    if (state.completedGeneration() != state.generation()) {
      saveState(state.withGenerationCompleted());
    }
    launcher.stateChanged();
  }

  /** It holds more than it may: it is ended at once, before it takes the machine along. */
  public void limitExceeded(String limit) {
    if (phase != Phase.READY && phase != Phase.STARTING) {
      return;
    }
    forcedStopReason = "went over " + limit;
    enter(Phase.STOPPING);
    launcher.kill();
  }

  private void terminate(String why) {
    int of = runNumber;
    launcher.log(runningVersion + " is ended: " + why);
    enter(Phase.STOPPING);
    launcher.terminate();
    launcher.schedule(
        launcher.now().plus(timeouts.stop()),
        () -> {
          if (runNumber != of || phase != Phase.STOPPING) {
            return;
          }
          launcher.log(
              runningVersion
                  + " did not end within "
                  + Math.round(timeouts.stop().ms())
                  + " ms and is killed");
          launcher.kill();
        });
  }

  /** The relay's process is gone; {@code how}: with what code, or by which signal. */
  public void processExited(String how) {
    if (phase != Phase.STARTING && phase != Phase.READY && phase != Phase.STOPPING) {
      return;
    }
    boolean told = phase == Phase.STOPPING && forcedStopReason == null;
    String said =
        forcedStopReason != null
            ? forcedStopReason
            : told
                ? how + ", as told"
                : (phase == Phase.READY ? "ended by itself: " : "ended before it was ready: ")
                    + how;
    finishedRuns.addLast(new FinishedRun(runningVersion, phaseSince, launcher.now(), said));
    if (finishedRuns.size() > MAX_FINISHED_RUNS) {
      finishedRuns.removeFirst();
    }
    Version was = runningVersion;
    forcedStopReason = null;
    enter(Phase.OFF);
    if (stopped) {
      return;
    }
    if (told) {
      if (pendingVersion != null) {
        start();
      } else {
        fallBackToLastGood();
      }
      return;
    }
    launcher.log(was + " " + said);
    launcher.runFailed(was, said);
    failedRuns++;
    if (pendingVersion != null && !pendingVersion.equals(was)) {
      failedRuns = 0;
      start();
    } else {
      retryAfterBackoff(was);
    }
  }

  /** After a pause that grows; a version that never ran well gives way after a few tries. */
  private void retryAfterBackoff(Version was) {
    boolean fails =
        failedRuns >= MAX_FAILED_RUNS
            && !was.equals(state.lastGood())
            && !state.lastGood().equals(Version.NONE);
    if (fails) {
      failedRuns = 0;
      fallBackToLastGood();
      return;
    }
    pendingVersion = was;
    enter(Phase.BACKING_OFF);
    int of = runNumber;
    TimeSpan pause =
        FIRST_BACKOFF.times(Math.pow(2, Math.min(failedRuns, 20) - 1)).atMost(MAX_BACKOFF);
    launcher.schedule(
        launcher.now().plus(pause),
        () -> {
          if (runNumber == of && phase == Phase.BACKING_OFF && pendingVersion != null) {
            switchTo(pendingVersion);
          }
        });
  }

  private void fallBackToLastGood() {
    Version good = state.lastGood();
    if (good.equals(Version.NONE) || !launcher.hasArtifacts(good)) {
      enter(Phase.OFF);
      launcher.log("nothing that ran well is here");
      return;
    }
    launcher.log("back to " + good + ", which ran well");
    pendingVersion = good;
    start();
  }

  /** The agent ends, and its relay with it. */
  public void stop() {
    stopped = true;
    pendingVersion = null;
    if (phase == Phase.STARTING || phase == Phase.READY) {
      terminate("the agent ends");
    } else if (phase != Phase.STOPPING) {
      enter(Phase.OFF);
    }
  }

  public boolean isStopped() {
    return stopped && phase == Phase.OFF;
  }

  private void enter(Phase now) {
    phase = now;
    phaseSince = launcher.now();
    launcher.stateChanged();
  }

  private void saveState(AgentState now) {
    state = now;
    String wrong = launcher.saveState(now);
    if (wrong != null) {
      launcher.log("what is known can't be kept: " + wrong + "; it holds until the agent ends");
    }
  }
}
