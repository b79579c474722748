package sprucerock.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.metrics.MetricsTable;
import sprucerock.rehearsal.scenario.FleetMetricsAudit;

@Command(
    name = "figures",
    mixinStandardHelpOptions = true,
    description =
        "Shows the figures of relays from their files, running or dead, or as a running one tells them. Exit code 1: a sum "
            + "does not hold, or nobody answers.")
final class FiguresCommand implements Callable<Integer> {
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  @Parameters(
      paramLabel = "FILE|URL",
      arity = "1..*",
      description =
          "as figures/file in a relay's configuration names it; or http://HOST:PORT as figures/port does")
  private List<String> sources;

  @Option(names = "--check", description = "only says whether every sum holds")
  private boolean check;

  @Option(
      names = "--fleet",
      description =
          "adds up all relays of a rehearsal, from its folder, and holds them against what clients and "
              + "units counted for themselves")
  private boolean fleet;

  @Override
  public Integer call() throws Exception {
    boolean holds = true;
    for (String source : sources) {
      holds &=
          fleet
              ? fleet(Path.of(source))
              : source.startsWith("http://") ? live(source) : file(Path.of(source));
    }
    return holds ? Commands.DONE : Commands.WANTING;
  }

  private boolean fleet(Path folder) throws IOException {
    List<FleetMetricsAudit.Entry> entries = FleetMetricsAudit.hold(folder);
    if (!check) {
      System.out.print(FleetMetricsAudit.table(entries));
    }
    boolean holds = entries.stream().allMatch(entry -> entry.unexplained() == 0);
    System.out.println(
        folder + ": " + (holds ? "every difference is explained" : "SOMETHING IS UNEXPLAINED"));
    return holds;
  }

  private boolean live(String url) throws InterruptedException {
    try {
      HttpClient http = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
      HttpResponse<String> answer =
          http.send(
              HttpRequest.newBuilder(URI.create(url).resolve("/figures")).timeout(PATIENCE).build(),
              HttpResponse.BodyHandlers.ofString());
      boolean holds = answer.statusCode() == 200;
      if (!check || !holds) {
        System.out.print(url + ": " + answer.body());
      } else {
        System.out.println(url + ": every sum holds");
      }
      return holds;
    } catch (IOException | IllegalArgumentException e) {
      System.out.println(url + ": can't be asked: " + e);
      return false;
    }
  }

  private boolean file(Path file) throws IOException {
    try {
      MetricsSnapshot snapshot = MetricsSnapshot.read(file);
      if (!check) {
        System.out.print(file + ": " + MetricsTable.format(snapshot));
      }
      List<MethodAccounts.Imbalance> drifts = snapshot.accounts().check(snapshot.values);
      for (MethodAccounts.Imbalance drift : drifts) {
        System.out.println(file + ": " + drift);
      }
      if (check && drifts.isEmpty()) {
        System.out.println(file + ": every sum holds");
      }
      return drifts.isEmpty();
    } catch (MetricsSnapshot.InvalidFileException e) {
      System.out.println(e.getMessage());
      return false;
    }
  }
}
