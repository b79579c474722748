package sprucerock.agent;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Keeps one relay running on one machine: in the version that the controller wants, else in the one
 * that ran well last. It does no I/O and runs on one thread.
 *
 * <p>A controller that is silent, gone or older than one that was obeyed changes nothing. A version
 * that does not get ready, ends by itself or goes over a limit is tried a few times with growing
 * pauses; then the agent falls back to the last good version by itself: the relay is never left
 * down because nobody can be asked.
 */
public final class Agent {
  /** What the relay does now. */
  public enum Phase {
    /** Nothing runs, and nothing is about to. */
    OFF,
    /** Nothing runs until a version has been downloaded. */
    DOWNLOADING,
    /** Its process runs and is not ready. */
    STARTING,
    /** It serves. */
    READY,
    /** It was told to end, or killed, and its process is not gone yet. */
    STOPPING,
    /** A run failed; the next one waits for the backoff. */
    BACKING_OFF
  }

  /**
   * A run of the relay that is over.
   *
   * @param outcome why it is over, in one line
   */
  public record FinishedRun(
      Version version, Timestamp startedAt, Timestamp endedAt, String outcome) {}

  /**
   * How long things may take.
   *
   * @param start a start that takes longer has failed
   * @param stop a relay that was told to end is killed after that
   * @param provenAfter a version that was ready for so long ran well
   */
  public record Timeouts(TimeSpan start, TimeSpan stop, TimeSpan provenAfter) {}

  private static final int MAX_FINISHED_RUNS = 20;

  private final ProcessLauncher launcher;
  private final Timeouts timeouts;
  private AgentState state;
  private Phase phase = Phase.OFF;
  private Version runningVersion = Version.NONE;
  private Version pendingVersion;
  private Timestamp phaseSince;
  private final RestartBackoff backoff = new RestartBackoff();
  private int runNumber;

  /** The generation for which an adopted relay was started; 0 where none was adopted. */
  private int adoptedGeneration;

  private boolean stopped;
  private String forcedStopReason;
  private final Deque<FinishedRun> finishedRuns = new ArrayDeque<>();

  /** An agent that does nothing until {@link #resume}; {@code state} is what it remembers. */
  public Agent(ProcessLauncher launcher, Timeouts timeouts, AgentState state) {
    this.launcher = launcher;
    this.timeouts = timeouts;
    this.state = state;
  }

  /** What the relay does now. */
  public Phase phase() {
    return phase;
  }

  /** What runs now, or is being started; {@link Version#NONE} where nothing is. */
  public Version runningVersion() {
    return phase == Phase.STARTING || phase == Phase.READY || phase == Phase.STOPPING
        ? runningVersion
        : Version.NONE;
  }

  /** Whether the relay serves. */
  public boolean isReady() {
    return phase == Phase.READY;
  }

  /** The last generation that was carried out. */
  public int completedGeneration() {
    return state.completedGeneration();
  }

  /** The highest epoch of a controller that was obeyed. */
  public long epoch() {
    return state.epoch();
  }

  /** How often the relay was started, in all incarnations of this agent. */
  public int starts() {
    return state.starts();
  }

  /** What is remembered across restarts of the agent. */
  public AgentState state() {
    return state;
  }

  /** The last finished runs, at most twenty, the latest last. */
  public Collection<FinishedRun> finishedRuns() {
    return Collections.unmodifiableCollection(finishedRuns);
  }

  /**
   * The agent begins: the version wanted last, else the last good one, is started without waiting
   * for a controller.
   */
  public void resume() {
    boolean isAsDesired =
        state.desired().equals(Version.NONE)
            || runningVersion.equals(state.desired())
                && state.completedGeneration() == state.generation();
    if (phase == Phase.READY && isAsDesired) {
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

  /** A relay that an earlier incarnation of the agent started for a generation runs still. */
  public void relayAdopted(Version version, int generation) {
    runningVersion = version;
    runNumber++;
    adoptedGeneration = generation;
    enterReady();
    if (version.equals(state.desired()) && generation == state.generation()) {
      completeGeneration();
    }
  }

  /** A version from the configuration, for a machine that no controller has spoken to yet. */
  public void offerInitialVersion(Version version) {
    if (state.desired().equals(Version.NONE)
        && state.lastGood().equals(Version.NONE)
        && phase == Phase.OFF) {
      switchTo(version);
    }
  }

  /**
   * Takes what a controller wants. Only the newest controller is obeyed, and of it only what is
   * newer than what is known; the rest is logged.
   */
  public void applyDesiredState(long epoch, int generation, Version version) {
    if (stopped) {
      return;
    }
    switch (state.compare(epoch, generation, version)) {
      case STALE ->
          launcher.log(
              "a word of epoch %d, turn %d is older than %d, turn %d: not obeyed"
                  .formatted(epoch, generation, state.epoch(), state.generation()));
      case CONFLICTING ->
          launcher.log(
              "epoch %d said %s for turn %d and says %s now: the first holds"
                  .formatted(epoch, state.desired(), generation, version));
      case UNCHANGED -> {
        if (epoch != state.epoch()) {
          saveState(state.withDesired(epoch, generation, version));
        }
        if (phase == Phase.OFF) {
          switchTo(version);
        }
      }
      default -> applyNewDesiredState(epoch, generation, version);
    }
  }

  private void applyNewDesiredState(long epoch, int generation, Version version) {
    // No restart was asked for; or it was, and carried out, and the note of it is lost: where all
    // agents lose theirs together, all relays would else be restarted at once.
    boolean runsAlready =
        (generation == 0 || generation == adoptedGeneration)
            && phase == Phase.READY
            && runningVersion.equals(version);
    saveState(state.withDesired(epoch, generation, version));
    backoff.reset();
    if (runsAlready) {
      completeGeneration();
    } else {
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

  /** A version that was missing is here. */
  public void downloadSucceeded(Version version) {
    if (version.equals(pendingVersion)) {
      replaceRunning();
    }
  }

  /** A version can't be had; what runs goes on. */
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

  /** Replaces what runs by the pending version, by a signal where that will do. */
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
      default -> {} // it stops already; the pending version starts after that
    }
  }

  /**
   * A reload by signal is over.
   *
   * @param taken whether the relay confirmed the settings; it is restarted where it did not
   */
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
    int scheduledRun = ++runNumber;
    enter(Phase.STARTING);
    launcher.start(runningVersion);
    launcher.schedule(
        launcher.now().plus(timeouts.start()),
        () -> {
          if (runNumber == scheduledRun && phase == Phase.STARTING) {
            forcedStopReason = "was not ready within " + Math.round(timeouts.start().ms()) + " ms";
            enter(Phase.STOPPING);
            launcher.kill();
          }
        });
  }

  /** The relay that was started serves. */
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
    int scheduledRun = runNumber;
    enter(Phase.READY);
    launcher.schedule(
        launcher.now().plus(timeouts.provenAfter()),
        () -> {
          if (runNumber != scheduledRun || phase != Phase.READY) {
            return;
          }
          backoff.reset();
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

  /** The relay holds more than it may, and is killed before it takes the machine along. */
  public void limitExceeded(String limit) {
    if (phase != Phase.READY && phase != Phase.STARTING) {
      return;
    }
    forcedStopReason = "went over " + limit;
    enter(Phase.STOPPING);
    launcher.kill();
  }

  private void terminate(String why) {
    final int scheduledRun = runNumber;
    launcher.log(runningVersion + " is ended: " + why);
    enter(Phase.STOPPING);
    launcher.terminate();
    launcher.schedule(
        launcher.now().plus(timeouts.stop()),
        () -> {
          if (runNumber != scheduledRun || phase != Phase.STOPPING) {
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

  /** The relay's process is gone; {@code how} names its exit code or signal. */
  public void processExited(String how) {
    if (phase != Phase.STARTING && phase != Phase.READY && phase != Phase.STOPPING) {
      return;
    }
    boolean expected = phase == Phase.STOPPING && forcedStopReason == null;
    String outcome = outcome(how, expected);
    finishedRuns.addLast(new FinishedRun(runningVersion, phaseSince, launcher.now(), outcome));
    if (finishedRuns.size() > MAX_FINISHED_RUNS) {
      finishedRuns.removeFirst();
    }
    final Version exited = runningVersion;
    forcedStopReason = null;
    enter(Phase.OFF);
    if (stopped) {
      return;
    }
    if (expected) {
      if (pendingVersion != null) {
        start();
      } else {
        fallBackToLastGood();
      }
      return;
    }
    launcher.log(exited + " " + outcome);
    launcher.runFailed(exited, outcome);
    backoff.runFailed();
    if (pendingVersion != null && !pendingVersion.equals(exited)) {
      backoff.reset();
      start();
    } else {
      retryAfterBackoff(exited);
    }
  }

  private String outcome(String how, boolean expected) {
    if (forcedStopReason != null) {
      return forcedStopReason;
    }
    if (expected) {
      return how + ", as told";
    }
    return (phase == Phase.READY ? "ended by itself: " : "ended before it was ready: ") + how;
  }

  /** A version that never ran well gives way to the last good one after a few failed runs. */
  private void retryAfterBackoff(Version exited) {
    boolean givesWay =
        backoff.isExhausted()
            && !exited.equals(state.lastGood())
            && !state.lastGood().equals(Version.NONE);
    if (givesWay) {
      backoff.reset();
      fallBackToLastGood();
      return;
    }
    pendingVersion = exited;
    enter(Phase.BACKING_OFF);
    int scheduledRun = runNumber;
    launcher.schedule(
        launcher.now().plus(backoff.pause()),
        () -> {
          if (runNumber == scheduledRun && phase == Phase.BACKING_OFF && pendingVersion != null) {
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

  /** Ends the relay; {@link #isStopped} is true once it is gone. */
  public void stop() {
    stopped = true;
    pendingVersion = null;
    if (phase == Phase.STARTING || phase == Phase.READY) {
      terminate("the agent ends");
    } else if (phase != Phase.STOPPING) {
      enter(Phase.OFF);
    }
  }

  /** Whether the agent was stopped and its relay is gone. */
  public boolean isStopped() {
    return stopped && phase == Phase.OFF;
  }

  private void enter(Phase entered) {
    phase = entered;
    phaseSince = launcher.now();
    launcher.stateChanged();
  }

  private void saveState(AgentState changed) {
    state = changed;
    String error = launcher.saveState(changed);
    if (error != null) {
      launcher.log("what is known can't be kept: " + error + "; it holds until the agent ends");
    }
  }
}
