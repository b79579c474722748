package sprucerock.agent;

import java.util.function.BiConsumer;
import sprucerock.controller.deployment.Version;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * The machine that a {@link ControllerClient} works on: what the agent's core can do there, and
 * what is asked of it for the controller. The one of real processes is {@link
 * LocalRelaySupervisor}; a scale run has others, so that thousands of agents run their own core and
 * link in one process.
 */
public interface RelaySupervisor extends ProcessLauncher {
  /** What comes of a fetch and of reading through is asked of and told to these. */
  interface VersionListener {
    void downloadRequested(Version version);

    void settingsChecked(Version version, String refusal);
  }

  /**
   * Makes the place of one agent; {@code says}: how its relay stands has changed; {@code fails}: a
   * run ended other than as told.
   */
  interface Factory {
    RelaySupervisor create(
        Runnable says, BiConsumer<Version, String> fails, VersionListener consumers);
  }

  /** Names the core that is told what comes of things. */
  void attach(Agent agent);

  /** What an earlier life of the agent kept, else {@link MetricsMemory#NONE}. */
  AgentState loadState();

  /** The relay of an earlier life of the agent goes on, if it runs still. */
  void adoptRunningRelay();

  /** Its relay's sums; null while there are none. */
  RelaySums readSums();

  /** Which run of the relay this is. */
  long incarnation();
}
