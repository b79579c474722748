package sprucerock.rehearsal.scenario;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One relay of a rehearsal, as a process of its own, started anew as often as the day wants it. */
class RelayProcess {
  final int number;
  final Path folder;
  private Process process;
  private int runs;
  private int badEnds;

  RelayProcess(int number, Path folder) {
    this.number = number;
    this.folder = folder;
  }

  /**
   * The traces of a relay's runs, in their order; a run that ended before it began one has none.
   */
  static List<Path> traces(Path folder, int relay) throws IOException {
    String begins = "relay-" + relay + ".";
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(
              file -> file.getFileName().toString().matches("relay-" + relay + "\\.[0-9]+\\.trace"))
          .sorted(
              Comparator.comparingInt(
                  file ->
                      Integer.parseInt(
                          file.getFileName()
                              .toString()
                              .substring(begins.length())
                              .replace(".trace", ""))))
          .toList();
    }
  }

  void start() throws IOException {
    runs++;
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    File log = log().toFile();
    process =
        new ProcessBuilder(
                List.of(
                    java,
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-Xmx256m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "sprucerock.Main",
                    "relay",
                    "--config",
                    folder.resolve("relay-" + number + ".xml").toString(),
                    "--trace",
                    folder.resolve("relay-" + number + "." + runs + ".trace").toString()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Where its lines go. */
  Path log() {
    return folder.resolve("relay-" + number + ".log");
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  void kill() {
    process.destroyForcibly();
  }

  /** Tells it to finish. */
  void stop() {
    process.destroy();
  }

  /** Holds the process still, or lets it go on. */
  void hold(boolean still) throws IOException {
    signal(process.pid(), still);
  }

  static void signal(long pid, boolean still) throws IOException {
    new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(pid)).inheritIO().start();
  }

  /** As a restart that was planned begins. */
  void down() {
    stop();
  }

  /** The day broke off. */
  void clear() {
    if (alive()) {
      kill();
    }
  }

  /**
   * Waits until it has ended by itself; one that does not is killed. Returns its exit code, or -1.
   */
  int end(int seconds) throws InterruptedException {
    if (process.waitFor(seconds, TimeUnit.SECONDS)) {
      return process.exitValue();
    }
    process.destroyForcibly();
    return -1;
  }

  int runs() {
    return runs;
  }

  int badEnds() {
    return badEnds;
  }

  /** Notes an end that was not in good order. */
  void endedBadly() {
    badEnds++;
  }
}
