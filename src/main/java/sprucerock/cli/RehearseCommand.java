package sprucerock.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.rehearsal.scenario.Rehearsal;

@Command(
    name = "rehearse",
    mixinStandardHelpOptions = true,
    description =
        "Plays a day with real relays against stand-ins on loopback, and judges it. Exit code 1: a rule was broken.")
final class RehearseCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "DAY",
      description = "a day script, such as rehearsals/first-bad-day.day")
  private Path script;

  @Option(
      names = "--into",
      paramLabel = "DIR",
      description = "an empty or new folder for traces, logs and report; else a temporary one")
  private Path folder;

  @Option(names = "--check", description = "only checks the script")
  private boolean check;

  @Override
  public Integer call() throws Exception {
    if (!Files.isReadable(script)) {
      throw new sprucerock.config.ConfigException(
          script + ": there is no such file, or it can't be read");
    }
    if (check) {
      System.out.println(Rehearsal.check(script));
      return Commands.DONE;
    }
    Path into =
        folder == null ? Files.createTempDirectory("rehearsal-") : Files.createDirectories(folder);
    try (var files = Files.list(into)) {
      if (files.findAny().isPresent()) {
        throw new sprucerock.config.ConfigException(into + ": is not empty; name a new folder");
      }
    } catch (IOException e) {
      throw new IOException(into + ": can't be used: " + e.getMessage());
    }
    return Rehearsal.play(script, into, System.out) ? Commands.DONE : Commands.WANTING;
  }
}
