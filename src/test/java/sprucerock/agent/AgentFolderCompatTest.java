package sprucerock.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.compat.CorpusFiles;
import sprucerock.controller.deployment.Version;
import sprucerock.transport.net.nio.NioLoop;

/**
 * An agent's folder and the command line of its relay, by which a later agent's incarnation, of a
 * newer program perhaps, knows both again: its notes, the note of the process, the versions, the
 * settings filled in. The relay is a script that says that it started.
 */
public class AgentFolderCompatTest {
  private static final String FOLDER = "agent/";
  private static final String CONFIGURATION = FOLDER + "agent.xml";
  private static final String PROGRAM = FOLDER + "program.jar";
  private static final String SETTINGS = FOLDER + "settings.xml";
  private static final String NOTES = FOLDER + "agent.state";
  private static final String NOTES_READ = FOLDER + "notes-read.txt";
  private static final String COMMAND = FOLDER + "command.txt";
  private static final String PROCESS_NOTE = FOLDER + "process-note.txt";
  private static final String FILLED = FOLDER + "filled.xml";
  private static final String FILES = FOLDER + "files.txt";
  private static final String PLACE = "${folder}";
  private static final String SCRIPT = "java.sh";
  private static final String ARGUMENTS = "arguments";

  /** It ends by itself where a test that failed leaves it running. */
  private static final String SCRIPT_TEXT =
      """
        #!/bin/sh
        printf '%s\\n' "$@" > "$(dirname "$0")/arguments.part"
        mv "$(dirname "$0")/arguments.part" "$(dirname "$0")/arguments"
        echo "12:00:00 INFO STARTED relay"
        for second in $(seq 150); do sleep 0.2; done
        """;

  private static final long WAIT_MS = 20_000;
  private static final int TURN = 7;
  private static final Version GOOD = new Version("a".repeat(64), "b".repeat(64));

  /** An agent with its supervisor in a folder; the relay that it started outlives it. */
  private static final class Incarnation implements AutoCloseable {
    private final Path folder;
    private final NioLoop loop;
    private final ArtifactStore artifacts;
    private final LocalRelaySupervisor supervisor;
    private final Agent agent;
    private final Version version;

    Incarnation(Path folder, Path corpus) throws Exception {
      this.folder = folder;
      Path configuration = folder.resolveSibling(folder.getFileName() + ".xml");
      Files.writeString(
          configuration,
          Files.readString(corpus.resolve(CONFIGURATION)).replace(PLACE, folder.toString()));
      AgentConfig config = AgentConfig.read(configuration);
      Files.delete(configuration);
      loop = new NioLoop("agent", Throwable::printStackTrace);
      artifacts = new ArtifactStore(folder.resolve("versions"), config.maxArtifactBytes);
      supervisor =
          new LocalRelaySupervisor(config, loop, artifacts, () -> {}, (any, how) -> {}, null);
      version =
          new Version(
              artifacts.store(corpus.resolve(PROGRAM)), artifacts.store(corpus.resolve(SETTINGS)));
      agent = new Agent(supervisor, config.timeouts, state(version));
      supervisor.attach(agent);
    }

    private <T> T onLoop(Supplier<T> what) throws Exception {
      CompletableFuture<T> done = new CompletableFuture<>();
      loop.post(
          () -> {
            try {
              done.complete(what.get());
            } catch (RuntimeException e) {
              done.completeExceptionally(e);
            }
          });
      return done.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void run(Runnable what) throws Exception {
      onLoop(
          () -> {
            what.run();
            return null;
          });
    }

    @Override
    public void close() {
      loop.close();
    }
  }

  private static AgentState state(Version desired) {
    return new AgentState(5, TURN, 6, desired, GOOD, 41);
  }

  private static Path folder() throws IOException {
    Path folder = Files.createTempDirectory("compat");
    Path script = folder.resolve(SCRIPT);
    Files.writeString(script, SCRIPT_TEXT);
    Files.setPosixFilePermissions(script, PosixFilePermissions.fromString("rwx------"));
    return folder;
  }

  private static void await(BooleanSupplier what) throws InterruptedException {
    long until = System.nanoTime() + WAIT_MS * 1_000_000;
    while (!what.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "it took too long");
      Thread.sleep(20);
    }
  }

  private static void start(Incarnation incarnation) throws Exception {
    incarnation.run(
        () -> {
          incarnation.supervisor.saveState(incarnation.agent.state());
          incarnation.supervisor.start(incarnation.version);
        });
    await(() -> Files.exists(incarnation.folder.resolve(ARGUMENTS)));
  }

  /** Notes are lines of names and values, in any order, with a comment that has the time. */
  private static List<String> notes(Path file) throws IOException {
    return Files.readAllLines(file).stream()
        .filter(line -> !line.startsWith("#"))
        .sorted()
        .toList();
  }

  private static List<String> command(Path folder) throws IOException {
    return Files.readAllLines(folder.resolve(ARGUMENTS)).stream()
        .map(line -> line.replace(folder.toString(), PLACE))
        .toList();
  }

  /** Without the process's number and the time of its start, the first two words. */
  private static String processNote(Path folder) throws IOException {
    String[] words = Files.readString(folder.resolve("relay.pid")).strip().split(" ", 3);
    assertTrue(Long.parseLong(words[0]) > 0 && Long.parseLong(words[1]) > 0, "process and start");
    return words[2];
  }

  /** Paths of all files in the folder, but for what the script is and writes. */
  private static List<String> files(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      return all.filter(Files::isRegularFile)
          .map(file -> folder.relativize(file).toString())
          .filter(name -> !name.equals(SCRIPT) && !name.equals(ARGUMENTS))
          .sorted()
          .toList();
    }
  }

  private static String read(AgentState state) {
    return String.join(
            "\n",
            "epoch " + state.epoch(),
            "turn " + state.generation(),
            "done " + state.completedGeneration(),
            "starts " + state.starts(),
            "wanted " + state.desired().program() + " " + state.desired().settings(),
            "good " + state.lastGood().program() + " " + state.lastGood().settings())
        + "\n";
  }

  /**
   * Writes what an agent leaves; its configuration, the program and the settings are there already.
   */
  public static void record(Path corpus) throws Exception {
    Path folder = folder();
    try (Incarnation incarnation = new Incarnation(folder, corpus)) {
      start(incarnation);
      Files.write(corpus.resolve(NOTES), notes(folder.resolve("agent.state")));
      Files.writeString(corpus.resolve(NOTES_READ), read(incarnation.supervisor.loadState()));
      Files.write(corpus.resolve(COMMAND), command(folder));
      Files.writeString(corpus.resolve(PROCESS_NOTE), processNote(folder) + "\n");
      Files.copy(
          folder.resolve("relay.xml"),
          corpus.resolve(FILLED),
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      Files.write(corpus.resolve(FILES), files(folder));
      incarnation.run(incarnation.supervisor::kill);
    }
    CorpusFiles.remove(folder);
  }

  @Test
  public void readsRecordedState() throws Exception {
    Path folder = folder();
    try (Incarnation incarnation = new Incarnation(folder, CorpusFiles.path(""))) {
      Files.copy(CorpusFiles.path(NOTES), folder.resolve("agent.state"));
      assertEquals(read(incarnation.supervisor.loadState()), CorpusFiles.text(NOTES_READ));
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  @Test
  public void startsRelayWithRecordedCommandLineAndFiles() throws Exception {
    Path folder = folder();
    try (Incarnation incarnation = new Incarnation(folder, CorpusFiles.path(""))) {
      start(incarnation);
      assertEquals(command(folder), CorpusFiles.lines(COMMAND));
      assertEquals(processNote(folder), CorpusFiles.lines(PROCESS_NOTE).get(0));
      assertEquals(notes(folder.resolve("agent.state")), CorpusFiles.lines(NOTES));
      assertEquals(Files.readString(folder.resolve("relay.xml")), CorpusFiles.text(FILLED));
      assertEquals(files(folder), CorpusFiles.lines(FILES));
      incarnation.run(incarnation.supervisor::kill);
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  /**
   * A process with the recorded command line, and the recorded note of it if there is one, is taken
   * over.
   */
  private static void adopts(boolean noted) throws Exception {
    Path folder = folder();
    List<String> command = new ArrayList<>(List.of(folder.resolve(SCRIPT).toString()));
    CorpusFiles.lines(COMMAND)
        .forEach(argument -> command.add(argument.replace(PLACE, folder.toString())));
    Process relay =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try (Incarnation incarnation = new Incarnation(folder, CorpusFiles.path(""))) {
      await(() -> Files.exists(folder.resolve(ARGUMENTS)));
      if (noted) {
        Files.writeString(
            folder.resolve("relay.pid"),
            relay.pid()
                + " "
                + relay.toHandle().info().startInstant().orElseThrow().toEpochMilli()
                + " "
                + CorpusFiles.lines(PROCESS_NOTE).get(0));
      }
      Files.copy(CorpusFiles.path(FILLED), folder.resolve("relay.xml"));
      incarnation.run(incarnation.supervisor::adoptRunningRelay);
      assertEquals(incarnation.onLoop(incarnation.agent::phase), Agent.Phase.READY);
      assertEquals(incarnation.onLoop(incarnation.agent::runningVersion), incarnation.version);
      assertEquals(
          (int) incarnation.onLoop(incarnation.agent::completedGeneration),
          TURN,
          "that turn is carried out");
    } finally {
      relay.destroyForcibly();
      CorpusFiles.remove(folder);
    }
  }

  @Test
  public void adoptsRelayByRecordedMark() throws Exception {
    adopts(false);
  }

  @Test
  public void adoptsRelayByRecordedNote() throws Exception {
    adopts(true);
  }
}
