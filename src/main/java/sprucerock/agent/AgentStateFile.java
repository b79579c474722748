package sprucerock.agent;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Properties;
import java.util.function.Consumer;
import sprucerock.controller.deployment.Version;

/**
 * Stores an {@link AgentState} as a properties file in the agent's folder. The file's keys are
 * stored data: they stay as they are, also where the code has other names.
 */
final class AgentStateFile {
  private static final String FILE = "agent.state";
  private static final String EPOCH = "epoch";
  private static final String GENERATION = "turn";
  private static final String COMPLETED_GENERATION = "done";
  private static final String STARTS = "starts";
  private static final String DESIRED = "wanted";
  private static final String LAST_GOOD = "good";

  private final Path file;

  AgentStateFile(Path folder) {
    file = folder.resolve(FILE);
  }

  /**
   * Replaces the stored state atomically; it is on the disk once this returns.
   *
   * @throws IOException if the disk does not take it; the state stored before is still there then
   */
  void save(AgentState state) throws IOException {
    Properties properties = new Properties();
    properties.setProperty(EPOCH, Long.toString(state.epoch()));
    properties.setProperty(GENERATION, Integer.toString(state.generation()));
    properties.setProperty(COMPLETED_GENERATION, Integer.toString(state.completedGeneration()));
    properties.setProperty(STARTS, Integer.toString(state.starts()));
    properties.setProperty(DESIRED, text(state.desired()));
    properties.setProperty(LAST_GOOD, text(state.lastGood()));
    Path partial = file.resolveSibling(FILE + ".part");
    try (var out = Files.newOutputStream(partial)) {
      properties.store(out, null);
    }
    try (FileChannel channel = FileChannel.open(partial, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /**
   * The state that an earlier incarnation of the agent stored. A file that is missing or can't be
   * read counts as {@link AgentState#NONE}: the relay must come up without it.
   *
   * @param log gets one line where a file is there and can't be read
   */
  AgentState load(Consumer<String> log) {
    if (!Files.exists(file)) {
      return AgentState.NONE;
    }
    Properties properties = new Properties();
    try (var in = Files.newInputStream(file)) {
      properties.load(in);
      return new AgentState(
          Long.parseLong(properties.getProperty(EPOCH)),
          Integer.parseInt(properties.getProperty(GENERATION)),
          Integer.parseInt(properties.getProperty(COMPLETED_GENERATION)),
          version(properties.getProperty(DESIRED)),
          version(properties.getProperty(LAST_GOOD)),
          Integer.parseInt(properties.getProperty(STARTS)));
    } catch (IOException | RuntimeException e) {
      log.accept(file + " can't be read (" + e.getMessage() + "): nothing is known of earlier");
      return AgentState.NONE;
    }
  }

  private static String text(Version version) {
    return version.program() + " " + version.settings();
  }

  private static Version version(String text) {
    String[] parts = text.split(" ", -1);
    return new Version(parts[0], parts[1]);
  }
}
