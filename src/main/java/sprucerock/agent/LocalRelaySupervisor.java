package sprucerock.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.config.ConfigException;
import sprucerock.config.LiveSettings;
import sprucerock.config.RelayConfig;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * Runs the relay as a process of this machine: starts it with its settings filled in, watches its
 * log, its end and its limits, hands new settings over by SIGHUP, and adopts the relay of an
 * earlier incarnation of the agent. All methods run on the agent's loop.
 */
final class LocalRelaySupervisor implements RelaySupervisor {
  private static final String SETTINGS = "relay.xml";

  /** Java reports an end by a signal as this exit code and the signal's number. */
  private static final int SIGNAL_BASE = 128;

  private static final TimeSpan LOG_POLL_INTERVAL = TimeSpan.ofMs(50);

  /** A relay that does not take its settings over for so long is better started anew. */
  private static final TimeSpan RELOAD_TIMEOUT = TimeSpan.ofMs(5000);

  private final Logger log = LoggerFactory.getLogger("sprucerock.agent");
  private final AgentConfig config;
  private final NioLoop loop;
  private final ArtifactStore artifacts;
  private final Runnable onStateChange;
  private final BiConsumer<Version, String> onFailedRun;
  private final VersionListener versionListener;
  private final AgentStateFile stateFile;
  private final RelayProcessRecord record;
  private final RelayLog relayLog;
  private Agent agent;
  private ProcessHandle process;
  private RelayConfig settings;

  LocalRelaySupervisor(
      AgentConfig config,
      NioLoop loop,
      ArtifactStore artifacts,
      Runnable onStateChange,
      BiConsumer<Version, String> onFailedRun,
      VersionListener versionListener) {
    this.config = config;
    this.loop = loop;
    this.artifacts = artifacts;
    this.onStateChange = onStateChange;
    this.onFailedRun = onFailedRun;
    this.versionListener = versionListener;
    stateFile = new AgentStateFile(config.folder);
    relayLog = new RelayLog(config.folder);
    record = new RelayProcessRecord(config.folder, this::log);
  }

  @Override
  public void attach(Agent attached) {
    agent = attached;
  }

  @Override
  public Timestamp now() {
    return loop.now();
  }

  @Override
  public void schedule(Timestamp when, Runnable task) {
    loop.at(when, task);
  }

  @Override
  public boolean hasArtifacts(Version version) {
    return artifacts.has(version.program()) && artifacts.has(version.settings());
  }

  @Override
  public void download(Version version) {
    versionListener.downloadRequested(version);
  }

  /** The settings with this machine's values filled in. */
  private String filled(Version version) throws IOException, ConfigException {
    try {
      return SettingsTemplate.fill(
          Files.readString(artifacts.path(version.settings())), config.templateValues);
    } catch (IllegalArgumentException e) {
      throw new ConfigException(e.getMessage());
    }
  }

  private List<String> command(Version version, boolean marked, String... arguments) {
    List<String> command = new ArrayList<>(List.of(config.javaCommand));
    // in front, as the system reports only the beginning of a long command line
    if (marked) {
      command.add(record.markFor(version, agent.state().generation()));
    }
    command.addAll(config.jvmOptions);
    command.addAll(List.of("-jar", artifacts.path(version.program()).toString()));
    command.addAll(List.of(arguments));
    return command;
  }

  @Override
  public void checkSettings(Version version) {
    try {
      Path file = AtomicFiles.replace(config.folder.resolve("check.xml"), filled(version));
      SettingsCheck.start(
          command(version, false, "check-config", file.toString()),
          refusal -> loop.post(() -> versionListener.settingsChecked(version, refusal)));
    } catch (IOException | ConfigException e) {
      versionListener.settingsChecked(version, e.getMessage());
    }
  }

  @Override
  public void start(Version version) {
    try {
      Path filled = AtomicFiles.replace(config.folder.resolve(SETTINGS), filled(version));
      settings = RelayConfig.read(filled);
      relayLog.rotate();
      final long offset = relayLog.size();
      List<String> command = command(version, true, "relay", "--config", filled.toString());
      for (String argument : config.relayArguments) {
        command.add(argument.replace("${run}", Integer.toString(agent.starts())));
      }
      Process child =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(relayLog.file().toFile()))
              .start();
      process = child.toHandle();
      record.write(process, version, agent.state().generation());
      log.info("START {} as process {}", version, process.pid());
      watchExit(process, child);
      awaitLogText(" STARTED ", process, offset, null, found -> agent.relayStarted());
    } catch (IOException | ConfigException e) {
      process = null;
      loop.atTurnsEnd(() -> agent.processExited("can't be started: " + e.getMessage()));
    }
  }

  /**
   * Tells the agent of the process's end.
   *
   * @param child null for one that an earlier incarnation started, whose exit code is not known
   */
  private void watchExit(ProcessHandle watched, Process child) {
    (child == null ? watched.onExit() : child.onExit())
        .thenAccept(gone -> loop.post(() -> exited(watched, child)));
  }

  private void exited(ProcessHandle watched, Process child) {
    if (process != watched) {
      return;
    }
    process = null;
    if (child == null) {
      agent.processExited("its process is gone");
      return;
    }
    int code = child.exitValue();
    boolean signalled = code > SIGNAL_BASE;
    agent.processExited(
        signalled ? "ended by signal " + (code - SIGNAL_BASE) : "ended with code " + code);
  }

  /**
   * Polls the log for a text until it is there, the process is another, or the deadline has passed;
   * without a deadline, null, for as long as the process runs.
   */
  private void awaitLogText(
      String text,
      ProcessHandle writer,
      long offset,
      Timestamp deadline,
      Consumer<Boolean> onResult) {
    if (process != writer) {
      return;
    }
    try {
      if (relayLog.contains(text, offset)) {
        onResult.accept(true);
        return;
      }
    } catch (IOException e) {
      log(relayLog.file() + " can't be read: " + e.getMessage());
    }
    if (deadline != null && loop.now().after(deadline)) {
      onResult.accept(false);
      return;
    }
    loop.at(
        loop.now().plus(LOG_POLL_INTERVAL),
        () -> awaitLogText(text, writer, offset, deadline, onResult));
  }

  @Override
  public void adoptRunningRelay() {
    record.find().ifPresent(found -> adopt(found.process(), found.version(), found.generation()));
  }

  private void adopt(ProcessHandle found, Version version, int generation) {
    try {
      settings = RelayConfig.read(config.folder.resolve(SETTINGS));
    } catch (ConfigException e) {
      log("what the relay serves under is not known, nor then its sums: " + e.getMessage());
    }
    process = found;
    log.info("ADOPT {} as process {}", version, found.pid());
    watchExit(found, null);
    agent.relayAdopted(version, generation);
  }

  /** Also ends a relay that is over one of its limits. */
  @Override
  public RelaySums readSums() {
    if (process == null || settings == null) {
      return null;
    }
    Map<String, Double> utilities = new LinkedHashMap<>();
    for (int i = 0; i < settings.methodNames.size(); i++) {
      utilities.put(settings.methodNames.get(i), settings.settings.methods.get(i).priorityWeight);
    }
    RelaySums sums = MetricsSummary.read(settings.metricsFile, utilities, process.pid());
    if (sums == null) {
      return null;
    }
    if (config.maxMemoryMb > 0 && sums.getMemoryMb() > config.maxMemoryMb) {
      agent.limitExceeded(
          "its memory: " + Math.round(sums.getMemoryMb()) + " MB of " + config.maxMemoryMb);
    } else if (config.maxDescriptors > 0 && sums.getConnections() > config.maxDescriptors) {
      agent.limitExceeded(
          "its descriptors: " + sums.getConnections() + " of " + config.maxDescriptors);
    }
    return sums;
  }

  @Override
  public long incarnation() {
    return process == null ? 0 : process.pid() * 31 + RelayProcessRecord.startedAtMs(process);
  }

  @Override
  public void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  @Override
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public boolean reload(Version from, Version to) {
    if (!from.program().equals(to.program())) {
      return false;
    }
    ProcessHandle reloading = process;
    try {
      Path inForce = config.folder.resolve(SETTINGS);
      String newSettings = filled(to);
      if (!LiveSettings.pathsThatNeedRestart(Files.readString(inForce), newSettings).isEmpty()) {
        return false;
      }
      final long offset = Files.size(relayLog.file());
      AtomicFiles.replace(inForce, newSettings);
      record.write(reloading, to, agent.state().generation());
      new ProcessBuilder("kill", "-HUP", Long.toString(reloading.pid())).start();
      awaitLogText(
          " SETTINGS taken over",
          reloading,
          offset,
          loop.now().plus(RELOAD_TIMEOUT),
          taken -> agent.reloadFinished(to, taken));
      return true;
    } catch (IOException | ConfigException e) {
      log("settings can't be handed over: " + e.getMessage());
      return false;
    }
  }

  @Override
  public String saveState(AgentState state) {
    try {
      stateFile.save(state);
      return null;
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  @Override
  public AgentState loadState() {
    return stateFile.load(this::log);
  }

  @Override
  public void stateChanged() {
    onStateChange.run();
  }

  @Override
  public void runFailed(Version version, String how) {
    onFailedRun.accept(version, how);
  }

  @Override
  public void log(String line) {
    log.info("AGENT {}", line);
  }
}
