package sprucerock.lab;

import java.util.function.BiConsumer;
import sprucerock.agent.Agent;
import sprucerock.agent.AgentState;
import sprucerock.agent.RelaySupervisor;
import sprucerock.controller.deployment.Version;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * The machine of a hollow agent: its relay's process is a word that comes later, every version is
 * here and can be run, and the relay's sums are those of requests drawn at a rate. Nothing is kept
 * on disk: in a fleet each has a disk of its own.
 */
final class HollowMachine implements RelaySupervisor {
  private static final TimeSpan STARTS =
      TimeSpan.ofMs(600); // what a relay's start takes on an idle core, docs/architecture.md
  private static final TimeSpan ENDS = TimeSpan.ofMs(100);
  private static final double RPCS_A_SECOND = 169; // of one relay at the size to plan with
  private static final double RPC_MS = 20;
  private static final double WORK_MS = 0.2;

  private final Net net;
  private final DeterministicRandom chance;
  private final Version first;
  private final Runnable says;
  private final BiConsumer<Version, String> fails;
  private final VersionListener consumers;
  private AgentState memory;
  private Agent agent;
  private int run;
  private Timestamp started;

  HollowMachine(
      Net net,
      DeterministicRandom chance,
      Version first,
      Runnable says,
      BiConsumer<Version, String> fails,
      VersionListener consumers) {
    this.net = net;
    this.chance = chance;
    this.first = first;
    this.says = says;
    this.fails = fails;
    this.consumers = consumers;
    memory = new AgentState(0, 0, 0, Version.NONE, first, 1);
  }

  @Override
  public void attach(Agent made) {
    agent = made;
  }

  @Override
  public AgentState loadState() {
    return memory;
  }

  /**
   * As where an agent comes back to a relay that runs: a fleet that starts cold is another scene.
   */
  @Override
  public void adoptRunningRelay() {
    run++;
    started = net.now();
    agent.relayAdopted(first, 0);
  }

  @Override
  public RelaySums readSums() {
    if (started == null) {
      return null;
    }
    double rpcs =
        RPCS_A_SECOND * net.now().since(started).ms() / 1000 * (0.98 + 0.04 * chance.next());
    return RelaySums.newBuilder()
        .setRpcs(rpcs)
        .setWorth(rpcs)
        .setInTime(rpcs * 0.99)
        .setAnswered(rpcs)
        .setAnsweredMs(rpcs * RPC_MS)
        .setWorkMs(rpcs * WORK_MS)
        .setMemoryMb(100)
        .setConnections(100)
        .setMessages(rpcs * 4)
        .build();
  }

  @Override
  public long incarnation() {
    return run;
  }

  @Override
  public Timestamp now() {
    return net.now();
  }

  @Override
  public void schedule(Timestamp when, Runnable what) {
    net.at(when, what);
  }

  @Override
  public boolean hasArtifacts(Version version) {
    return true;
  }

  @Override
  public void download(Version version) {
    net.atTurnsEnd(() -> agent.downloadSucceeded(version));
  }

  @Override
  public void checkSettings(Version version) {
    net.atTurnsEnd(() -> consumers.settingsChecked(version, ""));
  }

  @Override
  public void start(Version version) {
    int of = ++run;
    started = net.now();
    net.at(
        net.now().plus(STARTS.times(0.8 + 0.4 * chance.next())),
        () -> {
          if (run == of) {
            agent.relayStarted();
          }
        });
  }

  @Override
  public void terminate() {
    end(ENDS, "ended with code 0");
  }

  @Override
  public void kill() {
    end(TimeSpan.ofMs(1), "ended by signal 9");
  }

  private void end(TimeSpan after, String how) {
    int of = ++run;
    started = null;
    net.at(
        net.now().plus(after),
        () -> {
          if (run == of) {
            agent.processExited(how);
          }
        });
  }

  /** Settings alone are taken over by a signal. */
  @Override
  public boolean reload(Version from, Version to) {
    if (!from.program().equals(to.program())) {
      return false;
    }
    int of = run;
    net.at(
        net.now().plus(ENDS),
        () -> {
          if (run == of) {
            agent.reloadFinished(to, true);
          }
        });
    return true;
  }

  @Override
  public String saveState(AgentState kept) {
    memory = kept;
    return null;
  }

  @Override
  public void stateChanged() {
    says.run();
  }

  @Override
  public void runFailed(Version version, String how) {
    fails.accept(version, how);
  }

  @Override
  public void log(String line) {
    // thousands would say the same
  }
}
