package sprucerock.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
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
 * This machine: the relay's process, its files, what it may hold. All is called on the agent's
 * loop; a thread for each process reads its lines and waits for its end, and tells the loop.
 */
final class LocalRelaySupervisor implements RelaySupervisor {
  private static final String MEMORY = "agent.state";
  private static final String PID = "relay.pid";
  private static final String MARK =
      "-Dsprucerock.kept="; // folder, program, settings, turn: a running relay tells who keeps it
  private static final String LOG = "relay.log";
  private static final String SETTINGS = "relay.xml";
  private static final long MOST_LOG =
      16 << 20; // at a start: then it begins anew, and the one before is kept
  private static final long MOST_SAID = 1 << 16; // its first lines: STARTED comes after some ten
  private static final TimeSpan LOOK = TimeSpan.ofMs(50);
  private static final TimeSpan TAKES_OVER =
      TimeSpan.ofMs(5000); // a relay that stands still for longer is better started anew
  private static final long CHECK_SECONDS = 30;

  private final Logger log = LoggerFactory.getLogger("sprucerock.agent");
  private final AgentConfig config;
  private final NioLoop loop;
  private final ArtifactStore vault;
  private final Runnable says;
  private final BiConsumer<Version, String> fails;
  private final VersionListener consumers;
  private Agent agent;
  private ProcessHandle process;
  private RelayConfig settings;

  LocalRelaySupervisor(
      AgentConfig config,
      NioLoop loop,
      ArtifactStore vault,
      Runnable says,
      BiConsumer<Version, String> fails,
      VersionListener consumers) {
    this.config = config;
    this.loop = loop;
    this.vault = vault;
    this.says = says;
    this.fails = fails;
    this.consumers = consumers;
  }

  @Override
  public void attach(Agent made) {
    agent = made;
  }

  @Override
  public Timestamp now() {
    return loop.now();
  }

  @Override
  public void schedule(Timestamp when, Runnable what) {
    loop.at(when, what);
  }

  @Override
  public boolean hasArtifacts(Version version) {
    return vault.has(version.program()) && vault.has(version.settings());
  }

  @Override
  public void download(Version version) {
    consumers.downloadRequested(version);
  }

  /** The settings as this machine has them; the message of what is wrong is one line. */
  private String filled(Version version) throws IOException, ConfigException {
    try {
      return SettingsTemplate.fill(
          Files.readString(vault.path(version.settings())), config.templateValues);
    } catch (IllegalArgumentException e) {
      throw new ConfigException(e.getMessage());
    }
  }

  private static Path put(Path file, String text) throws IOException {
    Path part = file.resolveSibling(file.getFileName() + ".part");
    Files.writeString(part, text);
    return Files.move(
        part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private String mark() {
    return MARK + config.folder.toAbsolutePath() + ",";
  }

  private List<String> command(Version version, boolean marked, String... words) {
    List<String> command = new ArrayList<>(List.of(config.javaCommand));
    // in front: of a long command line the system tells its beginning
    if (marked) {
      command.add(
          mark() + version.program() + "," + version.settings() + "," + agent.state().generation());
    }
    command.addAll(config.jvmOptions);
    command.addAll(List.of("-jar", vault.path(version.program()).toString()));
    command.addAll(List.of(words));
    return command;
  }

  @Override
  public void checkSettings(Version version) {
    Path file;
    Process check;
    try {
      file = put(config.folder.resolve("check.xml"), filled(version));
      check =
          new ProcessBuilder(command(version, false, "check-config", file.toString()))
              .redirectErrorStream(true)
              .start();
    } catch (IOException | ConfigException e) {
      consumers.settingsChecked(version, e.getMessage());
      return;
    }
    thread(
        "check",
        () -> {
          String last = "";
          try (BufferedReader lines =
              new BufferedReader(
                  new InputStreamReader(check.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              last = line;
            }
            if (!check.waitFor(CHECK_SECONDS, TimeUnit.SECONDS)) {
              check.destroyForcibly();
              last = "its check took longer than " + CHECK_SECONDS + " s";
            } else if (check.exitValue() == 0) {
              last = "";
            }
          } catch (IOException e) {
            last = "its check broke off: " + e.getMessage();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            last = "the agent ends";
          }
          String refusal = last;
          loop.post(() -> consumers.settingsChecked(version, refusal));
        });
  }

  private static void thread(String name, Runnable what) {
    Thread thread = new Thread(what, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void start(Version version) {
    Path file = config.folder.resolve(LOG);
    try {
      Path filled = put(config.folder.resolve(SETTINGS), filled(version));
      settings = RelayConfig.read(filled);
      if (Files.exists(file) && Files.size(file) > MOST_LOG) {
        Files.move(file, config.folder.resolve(LOG + ".1"), StandardCopyOption.REPLACE_EXISTING);
      }
      long from = Files.exists(file) ? Files.size(file) : 0;
      // into a file, not to the agent: the relay outlives it
      List<String> command = command(version, true, "relay", "--config", filled.toString());
      for (String argument : config.relayArguments) {
        command.add(argument.replace("${run}", Integer.toString(agent.starts())));
      }
      Process made =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(file.toFile()))
              .start();
      process = made.toHandle();
      note(version);
      log.info("START {} as process {}", version, process.pid());
      follow(process, made);
      lookFor(" STARTED ", process, file, from, null, said -> agent.relayStarted());
    } catch (IOException | ConfigException e) {
      process = null;
      loop.atTurnsEnd(() -> agent.processExited("can't be started: " + e.getMessage()));
    }
  }

  /** A full disk keeps nobody's relay from serving: without the note it is found by its mark. */
  private void note(Version version) {
    try {
      put(config.folder.resolve(PID), pidLine(version));
    } catch (IOException e) {
      log(
          "which process runs can't be noted: "
              + e.getMessage()
              + "; the next life of this agent looks for its mark");
    }
  }

  private String pidLine(Version version) {
    return process.pid()
        + " "
        + startedMs(process)
        + " "
        + version.program()
        + " "
        + version.settings()
        + " "
        + agent.state().generation();
  }

  private static long startedMs(ProcessHandle one) {
    return one.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
  }

  /**
   * {@code child}: null for one that an earlier life of the agent started, whose code nobody is
   * told.
   */
  private void follow(ProcessHandle one, Process child) {
    (child == null ? one.onExit() : child.onExit())
        .thenAccept(
            gone ->
                loop.post(
                    () -> {
                      if (process != one) {
                        return;
                      }
                      process = null;
                      int code = child == null ? -1 : child.exitValue();
                      // Java tells a signal as 128 and its number
                      agent.processExited(
                          code < 0
                              ? "its process is gone"
                              : code > 128
                                  ? "ended by signal " + (code - 128)
                                  : "ended with code " + code);
                    }));
  }

  /** Waits for a line of its own that has these words; without end, or until then. */
  private void lookFor(
      String words,
      ProcessHandle one,
      Path file,
      long from,
      Timestamp until,
      Consumer<Boolean> told) {
    if (process != one) {
      return;
    }
    try (var in = java.nio.channels.FileChannel.open(file)) {
      java.nio.ByteBuffer said =
          java.nio.ByteBuffer.allocate((int) Math.min(MOST_SAID, Math.max(0, in.size() - from)));
      in.read(said, from);
      if (new String(said.array(), StandardCharsets.UTF_8).contains(words)) {
        told.accept(true);
        return;
      }
    } catch (IOException e) {
      log(file + " can't be read: " + e.getMessage());
    }
    if (until != null && loop.now().after(until)) {
      told.accept(false);
    } else {
      loop.at(loop.now().plus(LOOK), () -> lookFor(words, one, file, from, until, told));
    }
  }

  /** The relay of an earlier life of the agent, if it runs still: it goes on. */
  @Override
  public void adoptRunningRelay() {
    Path file = config.folder.resolve(PID);
    try {
      if (Files.exists(file)) {
        String[] parts = Files.readString(file).strip().split(" ");
        ProcessHandle found = ProcessHandle.of(Long.parseLong(parts[0])).orElse(null);
        // else it ended, and the number may be another's
        if (found != null && startedMs(found) == Long.parseLong(parts[1])) {
          adopt(found, new Version(parts[2], parts[3]), Integer.parseInt(parts[4]));
          return;
        }
      }
    } catch (IOException | RuntimeException e) {
      log(file + " can't be read (" + e.getMessage() + "): the relay is looked for by its mark");
    }
    adoptByMark();
  }

  /**
   * Guards against an agent that ended between its relay's start and the note of it, and against a
   * note that is torn, lost or could not be written: a second relay would find the first one's
   * address taken, for as long as that runs.
   */
  private void adoptByMark() {
    List<ProcessHandle> marked =
        ProcessHandle.allProcesses()
            .filter(one -> commandLine(one).contains(mark()))
            .sorted(Comparator.comparingLong(LocalRelaySupervisor::startedMs))
            .toList();
    if (marked.isEmpty()) {
      return;
    }
    ProcessHandle oldest = marked.get(0); // it has the address
    String line = commandLine(oldest);
    String[] parts =
        line.substring(line.indexOf(mark()) + mark().length()).split(" ", 2)[0].split(",");
    try {
      adopt(oldest, new Version(parts[0], parts[1]), Integer.parseInt(parts[2]));
    } catch (RuntimeException e) {
      log(
          "process "
              + oldest.pid()
              + " has this agent's mark, and can't be taken over: "
              + e.getMessage());
    }
  }

  private static String commandLine(ProcessHandle one) {
    return one.info().commandLine().orElse("");
  }

  private void adopt(ProcessHandle found, Version version, int turn) {
    try {
      settings = RelayConfig.read(config.folder.resolve(SETTINGS));
    } catch (ConfigException e) {
      log("what the relay serves under is not known, nor then its sums: " + e.getMessage());
    }
    process = found;
    log.info("ADOPT {} as process {}", version, found.pid());
    follow(found, null);
    agent.relayAdopted(version, turn);
  }

  /** Its sums, or null while there are none; what goes over a limit ends it. */
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

  /** Which run of the relay this is: its processor time counts from there. */
  @Override
  public long incarnation() {
    return process == null ? 0 : process.pid() * 31 + startedMs(process);
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
    ProcessHandle one = process;
    try {
      Path now = config.folder.resolve(SETTINGS);
      String anew = filled(to);
      if (!LiveSettings.pathsThatNeedRestart(Files.readString(now), anew).isEmpty()) {
        return false;
      }
      Path log = config.folder.resolve(LOG);
      long from0 = Files.size(log);
      put(now, anew);
      note(to);
      new ProcessBuilder("kill", "-HUP", Long.toString(one.pid())).start();
      Timestamp until = loop.now().plus(TAKES_OVER);
      lookFor(
          " SETTINGS taken over", one, log, from0, until, said -> agent.reloadFinished(to, said));
      return true;
    } catch (IOException | ConfigException e) {
      log("settings can't be handed over: " + e.getMessage());
      return false;
    }
  }

  @Override
  public String saveState(AgentState memory) {
    Properties written = new Properties();
    written.setProperty("epoch", Long.toString(memory.epoch()));
    written.setProperty("turn", Integer.toString(memory.generation()));
    written.setProperty("done", Integer.toString(memory.completedGeneration()));
    written.setProperty("starts", Integer.toString(memory.starts()));
    written.setProperty("wanted", memory.desired().program() + " " + memory.desired().settings());
    written.setProperty("good", memory.lastGood().program() + " " + memory.lastGood().settings());
    Path part = config.folder.resolve(MEMORY + ".part");
    try {
      try (var out = Files.newOutputStream(part)) {
        written.store(out, null);
      }
      try (var channel =
          java.nio.channels.FileChannel.open(part, java.nio.file.StandardOpenOption.WRITE)) {
        channel.force(true);
      }
      Files.move(
          part,
          config.folder.resolve(MEMORY),
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
      return null;
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  /**
   * What an earlier life of the agent kept; what can't be read is as if there were none, and is
   * said.
   */
  @Override
  public AgentState loadState() {
    Path file = config.folder.resolve(MEMORY);
    if (!Files.exists(file)) {
      return AgentState.NONE;
    }
    Properties read = new Properties();
    try (var in = Files.newInputStream(file)) {
      read.load(in);
      return new AgentState(
          Long.parseLong(read.getProperty("epoch")),
          Integer.parseInt(read.getProperty("turn")),
          Integer.parseInt(read.getProperty("done")),
          version(read.getProperty("wanted")),
          version(read.getProperty("good")),
          Integer.parseInt(read.getProperty("starts")));
    } catch (IOException | RuntimeException e) {
      log(file + " can't be read (" + e.getMessage() + "): nothing is known of earlier");
      return AgentState.NONE;
    }
  }

  private static Version version(String text) {
    String[] parts = text.split(" ", -1);
    return new Version(parts[0], parts[1]);
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
    log.info("AGENT {}", line);
  }
}
