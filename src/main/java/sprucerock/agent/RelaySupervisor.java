package sprucerock.agent;

import java.util.function.BiConsumer;
import sprucerock.controller.deployment.Version;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * Where an agent's relay runs, as the {@link ControllerClient} sees it. {@link
 * LocalRelaySupervisor} has a real process; a scale run has simulated ones, so that thousands of
 * agents run in one process.
 */
public interface RelaySupervisor extends ProcessLauncher {
  /** Told of what a supervisor can't do, or has done, with a version. */
  interface VersionListener {
    /** Artifacts of the version are missing here. */
    void downloadRequested(Version version);

    /** A settings check is over; {@code refusal} is one line, empty where they can be used. */
    void settingsChecked(Version version, String refusal);
  }

  /** Makes the supervisor of one agent. */
  interface Factory {
    /**
     * Makes a supervisor.
     *
     * @param onStateChange runs whenever the relay's state has changed
     * @param onFailedRun gets the version and the reason of a run that ended unasked
     */
    RelaySupervisor create(
        Runnable onStateChange,
        BiConsumer<Version, String> onFailedRun,
        VersionListener versionListener);
  }

  /**
   * Names the agent that is told of events; called once, before all else but {@link #loadState}.
   */
  void attach(Agent agent);

  /** What an earlier incarnation of the agent saved, else {@link AgentState#NONE}. */
  AgentState loadState();

  /** Goes on with the relay of an earlier incarnation of the agent, if it runs still. */
  void adoptRunningRelay();

  /** Sums of the relay's work so far; null while there are none. */
  RelaySums readSums();

  /** Differs between any two relay processes: sums count from there. 0 where none runs. */
  long incarnation();
}
