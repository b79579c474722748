package sprucerock.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import sprucerock.controller.deployment.Version;

/**
 * Finds the relay that an earlier incarnation of the agent started: by a note of the process in the
 * agent's folder, else by a mark on the relay's command line. Note and mark are stored data; a
 * later program reads those of an earlier one.
 */
final class RelayProcessRecord {
  private static final String FILE = "relay.pid";
  private static final String MARK = "-Dsprucerock.kept=";

  /** A relay process that still runs, the version it runs and the generation it was started for. */
  record Found(ProcessHandle process, Version version, int generation) {}

  private final Path file;
  private final String mark;
  private final Consumer<String> log;

  /**
   * Looks in the folder of one agent.
   *
   * @param log gets one line where a note or mark is there and can't be used
   */
  RelayProcessRecord(Path folder, Consumer<String> log) {
    file = folder.resolve(FILE);
    mark = MARK + folder.toAbsolutePath() + ",";
    this.log = log;
  }

  /** The argument of the relay's command line that tells which agent started what. */
  String markFor(Version version, int generation) {
    return mark + version.program() + "," + version.settings() + "," + generation;
  }

  /** Notes the process. A full disk keeps no relay from serving: the mark is there without it. */
  void write(ProcessHandle process, Version version, int generation) {
    String line =
        process.pid()
            + " "
            + startedAtMs(process)
            + " "
            + version.program()
            + " "
            + version.settings()
            + " "
            + generation;
    try {
      AtomicFiles.replace(file, line);
    } catch (IOException e) {
      log.accept(
          "which process runs can't be noted: "
              + e.getMessage()
              + "; the next life of this agent looks for its mark");
    }
  }

  /** The relay of an earlier incarnation of this agent, if it runs still. */
  Optional<Found> find() {
    try {
      if (Files.exists(file)) {
        String[] parts = Files.readString(file).strip().split(" ");
        Optional<ProcessHandle> process = ProcessHandle.of(Long.parseLong(parts[0]));
        long startedAtMs = Long.parseLong(parts[1]);
        // with another start time the relay has ended, and its process number is another's now
        if (process.isPresent() && startedAtMs(process.get()) == startedAtMs) {
          Version version = new Version(parts[2], parts[3]);
          return Optional.of(new Found(process.get(), version, Integer.parseInt(parts[4])));
        }
      }
    } catch (IOException | RuntimeException e) {
      log.accept(
          file + " can't be read (" + e.getMessage() + "): the relay is looked for by its mark");
    }
    return findByMark();
  }

  /**
   * Guards against an agent that ended between its relay's start and the note of it, and against a
   * note that is torn, lost or could not be written: a second relay would find the first one's
   * address taken, for as long as that runs.
   */
  private Optional<Found> findByMark() {
    List<ProcessHandle> marked =
        ProcessHandle.allProcesses()
            .filter(process -> commandLine(process).contains(mark))
            .sorted(Comparator.comparingLong(RelayProcessRecord::startedAtMs))
            .toList();
    if (marked.isEmpty()) {
      return Optional.empty();
    }
    ProcessHandle oldest = marked.get(0); // of several, the first one holds the address
    String line = commandLine(oldest);
    String[] parts = line.substring(line.indexOf(mark) + mark.length()).split(" ", 2)[0].split(",");
    try {
      Version version = new Version(parts[0], parts[1]);
      return Optional.of(new Found(oldest, version, Integer.parseInt(parts[2])));
    } catch (RuntimeException e) {
      log.accept(
          "process "
              + oldest.pid()
              + " has this agent's mark, and can't be taken over: "
              + e.getMessage());
      return Optional.empty();
    }
  }

  /** When a process started, in milliseconds since 1970; 0 where the machine does not tell. */
  static long startedAtMs(ProcessHandle process) {
    return process.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
  }

  private static String commandLine(ProcessHandle process) {
    return process.info().commandLine().orElse("");
  }
}
