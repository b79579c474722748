package sprucerock.rehearsal.scenario;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A relay of a rehearsal under an agent, which starts it; what befalls the relay is done to it over
 * the agent's head.
 */
final class AgentProcess extends RelayProcess {
  private final Path home;
  private Process agent;

  /** Where its agent's notes were taken away: the relay that ran then. */
  private Optional<ProcessHandle> lastKnown = Optional.empty();

  AgentProcess(int number, Path folder) {
    super(number, folder);
    home = folder.resolve("agent-" + number);
  }

  @Override
  void start() throws IOException {
    if (agent != null && agent.isAlive()) {
      return; // it starts its relay by itself
    }
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    File log = folder.resolve("agent-" + number + ".log").toFile();
    agent =
        new ProcessBuilder(
                List.of(
                    java,
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-Xmx64m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "sprucerock.Main",
                    "agent",
                    "--config",
                    folder.resolve("agent-" + number + ".xml").toString()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  @Override
  Path log() {
    return home.resolve("relay.log");
  }

  private Optional<ProcessHandle> relay() {
    if (lastKnown.filter(ProcessHandle::isAlive).isPresent()) {
      return lastKnown;
    }
    try {
      return ProcessHandle.of(
          Long.parseLong(Files.readString(home.resolve("relay.pid")).split(" ")[0]));
    } catch (IOException | NumberFormatException e) {
      return Optional.empty(); // none was started, or one is just being started
    }
  }

  @Override
  boolean alive() {
    return agent != null && agent.isAlive();
  }

  @Override
  void kill() {
    relay().ifPresent(ProcessHandle::destroyForcibly);
  }

  @Override
  void down() {
    relay().ifPresent(ProcessHandle::destroy);
  }

  /** Ends agent and relay, in good order. */
  @Override
  void stop() {
    agent.destroy();
  }

  @Override
  void hold(boolean still) throws IOException {
    if (relay().isPresent()) {
      signal(relay().get().pid(), still);
    }
  }

  /**
   * The agent alone; its relay runs on. {@code forgets}: its notes go as well, and the versions
   * that it kept.
   */
  void killAgent(boolean forgets) throws IOException {
    agent.destroyForcibly();
    if (!forgets) {
      return;
    }
    lastKnown = relay();
    agent.onExit().join(); // a moment after SIGKILL; it must not write them anew
    for (String note : List.of("relay.pid", "agent.state")) {
      Files.deleteIfExists(home.resolve(note));
    }
    try (Stream<Path> versions = Files.list(home.resolve("versions"))) {
      for (Path version : versions.toList()) {
        Files.delete(version);
      }
    }
  }

  @Override
  int end(int seconds) throws InterruptedException {
    if (agent.waitFor(seconds, TimeUnit.SECONDS)) {
      return agent.exitValue();
    }
    agent.destroyForcibly();
    kill();
    return -1;
  }

  /** Whatever runs is killed: the day broke off. */
  @Override
  void clear() {
    if (alive()) {
      agent.destroyForcibly();
    }
    kill();
  }

  @Override
  int runs() {
    try {
      return traces(folder, number).size();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
