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
  interface Consumers {
    void fetch(Version version);

    void readThrough(Version version, String refusal);
  }

  /**
   * Makes the place of one agent; {@code says}: how its relay stands has changed; {@code fails}: a
   * run ended other than as told.
   */
  interface Maker {
    RelaySupervisor make(Runnable says, BiConsumer<Version, String> fails, Consumers consumers);
  }

  /** Names the core that is told what comes of things. */
  void serves(Agent agent);

  /** What an earlier life of the agent kept, else {@link MetricsMemory#NONE}. */
  AgentState remembered();

  /** The relay of an earlier life of the agent goes on, if it runs still. */
  void adopt();

  /** Its relay's sums; null while there are none. */
  RelaySums sums();

  /** Which run of the relay this is. */
  long life();
}
