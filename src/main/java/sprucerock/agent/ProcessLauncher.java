package sprucerock.agent;

import sprucerock.controller.deployment.Version;
import sprucerock.time.Timestamp;

/**
 * What an agent can do on its machine, carried out at once; what comes of it is told to the {@link
 * Agent} later.
 */
public interface ProcessLauncher {
  Timestamp now();

  void schedule(Timestamp when, Runnable what);

  /** Whether program and settings are here, whole. */
  boolean hasArtifacts(Version version);

  /** Gets what is missing of it; ends in {@link Agent#fetched} or {@link Agent#notFetched}. */
  void download(Version version);

  /** Reads the settings through with that program; ends in {@link Agent#readThrough}. */
  void checkSettings(Version version);

  /**
   * Starts the relay; ends, if all goes well, in {@link Agent#isReady}, and some time in {@link
   * Agent#ended}.
   */
  void start(Version version);

  /** SIGTERM. */
  void terminate();

  /** SIGKILL. */
  void kill();

  /**
   * Has the relay read new settings, where a signal can take them over; ends in {@link
   * Agent#reloaded}. False where a restart is needed.
   */
  boolean reload(Version from, Version to);

  /**
   * Keeps what has to be known after the agent's own end; null where the disk took it, else why
   * not.
   */
  String saveState(AgentState memory);

  /** How its relay stands has changed: the controller is told, if it can be heard. */
  void stateChanged();

  /** A run ended other than as told: it did not get ready, ended by itself or went over a limit. */
  void runFailed(Version version, String how);

  /** One line for people. */
  void log(String line);
}
