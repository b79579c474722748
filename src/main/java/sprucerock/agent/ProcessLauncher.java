package sprucerock.agent;

import sprucerock.controller.deployment.Version;
import sprucerock.time.Timestamp;

/**
 * What an {@link Agent} can do on its machine. Calls return at once; results are reported to the
 * agent later, on its thread.
 */
public interface ProcessLauncher {
  /** Monotonic time. */
  Timestamp now();

  /** Runs a task on the agent's thread at that time. */
  void schedule(Timestamp when, Runnable task);

  /** Whether a version's program and settings are stored here. */
  boolean hasArtifacts(Version version);

  /**
   * Downloads what is missing of a version; ends in {@link Agent#downloadSucceeded} or {@link
   * Agent#downloadFailed}.
   */
  void download(Version version);

  /** Has a version's program check its settings; the result goes to the controller. */
  void checkSettings(Version version);

  /** Starts the relay; {@link Agent#relayStarted} and {@link Agent#processExited} follow. */
  void start(Version version);

  /** Sends SIGTERM. */
  void terminate();

  /** Sends SIGKILL. */
  void kill();

  /**
   * Has the relay take over new settings by a signal; ends in {@link Agent#reloadFinished}.
   *
   * @return false where a restart is needed instead
   */
  boolean reload(Version from, Version to);

  /**
   * Stores what the agent has to remember across its restarts.
   *
   * @return null where it is on the disk, else why not, in one line
   */
  String saveState(AgentState state);

  /** The relay's phase or version has changed, and is reported to the controller. */
  void stateChanged();

  /** A run ended unasked: it did not get ready, exited by itself or went over a limit. */
  void runFailed(Version version, String reason);

  /** Writes one line to the log. */
  void log(String line);
}
