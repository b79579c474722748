package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import sprucerock.rehearsal.invariant.InvariantChecker;
import sprucerock.rehearsal.recovery.RecoveryMeter;
import sprucerock.rehearsal.trace.Line;

/** A day from its script to its report. */
public final class Rehearsal {
  private Rehearsal() {}

  /** One line about a script that can be played. */
  public static String check(Path script) throws IOException, ScenarioParser.ScriptException {
    ScenarioParser day = ScenarioParser.read(script);
    return script
        + ": \""
        + day.name
        + "\", "
        + day.lasts.ms() / 1000
        + " s, "
        + day.relays
        + " relays, "
        + day.troubles.size()
        + " troubles: in order";
  }

  /**
   * Plays it, and leaves traces, logs and report.txt in a folder. True where rules were kept,
   * figures add up, relays ended well.
   */
  public static boolean play(Path script, Path folder, PrintStream out)
      throws IOException, InterruptedException, ScenarioParser.ScriptException {
    ScenarioRunner play = new ScenarioRunner(ScenarioParser.read(script), folder, out);
    play.run();
    play.count();
    InvariantChecker.Verdict verdict = InvariantChecker.judge(folder);
    List<List<TraceMetricsAudit.Entry>> books = new ArrayList<>();
    for (int i = 0; i < play.relays().size(); i++) {
      books.add(TraceMetricsAudit.hold(folder, i));
    }
    boolean balanced =
        books.stream().allMatch(book -> book.stream().allMatch(TraceMetricsAudit.Entry::holds));
    List<FleetMetricsAudit.Entry> fleet = FleetMetricsAudit.hold(folder);
    balanced &= fleet.stream().allMatch(entry -> entry.unexplained() == 0);
    balanced &= play.monitor().scrapes() > 0 && play.monitor().wrong().isEmpty();
    String report =
        Report.of(
            play,
            verdict,
            books,
            fleet,
            returns(play, folder),
            play.controller() == null ? List.of() : LogTailer.deliveries(play, folder));
    Files.writeString(folder.resolve("report.txt"), report);
    out.print(report);
    out.println();
    out.println("traces, logs and this report: " + folder);
    return play.controllerEnded
        && play.strays.isEmpty()
        && verdict.kept()
        && balanced
        && play.relays().stream().allMatch(relay -> relay.badEnds() == 0);
  }

  /**
   * How the day came back from what befell its processes, from the traces of stand-ins and relays.
   */
  private static List<RecoveryMeter.Recovery> returns(ScenarioRunner play, Path folder)
      throws IOException {
    RecoveryMeter meter =
        new RecoveryMeter(
            play.day().site().methods().stream()
                .map(method -> new RecoveryMeter.Method(method.soft().ms(), method.utility()))
                .toList());
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(one -> one.toString().endsWith(".trace")).sorted().toList()) {
        Line.read(file).forEach(meter::accept);
      }
    }
    return meter.recoveries();
  }
}
