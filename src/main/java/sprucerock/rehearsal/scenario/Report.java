package sprucerock.rehearsal.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.rehearsal.fake.FakeClient.End;
import sprucerock.rehearsal.fake.FakeController;
import sprucerock.rehearsal.fake.Site;
import sprucerock.rehearsal.invariant.Finding;
import sprucerock.rehearsal.invariant.InvariantChecker;
import sprucerock.rehearsal.recovery.RecoveryMeter;
import sprucerock.time.TimeSpan;

/** What a day came to, for people: rules, votes, builds, service, and what the troubles cost. */
final class Report {
  private static final int MOST_FINDINGS = 20;
  private static final TimeSpan AFTERMATH =
      TimeSpan.ofMs(2000); // queues need about that long to drain

  private Report() {}

  static String of(
      ScenarioRunner play,
      InvariantChecker.Verdict verdict,
      List<List<TraceMetricsAudit.Entry>> books,
      List<FleetMetricsAudit.Entry> fleet,
      List<RecoveryMeter.Recovery> returns,
      List<String> followed) {
    StringBuilder text = new StringBuilder();
    ScenarioParser day = play.day();
    line(text, "");
    line(
        text,
        "%s: %.0f s, %d relays, seed %d",
        day.name,
        day.lasts.ms() / 1000,
        day.relays,
        day.seed);
    rules(text, verdict, play.fallen());
    if (!verdict.shared().isEmpty()) {
      line(text, "");
    }
    for (String one : verdict.shared()) {
      line(text, "%s", one);
    }
    for (String one : play.freezes()) {
      line(text, "  %s", one);
    }
    builds(text, play);
    if (play.controller() == null) {
      votes(text, play);
    } else {
      controller(text, play, followed);
    }
    if (play.hasAgents()) {
      line(text, "");
      line(text, "what relays run");
      for (String one : play.changes) {
        line(text, "  %s", one);
      }
      line(
          text,
          "  at the end %s",
          play.strays.isEmpty()
              ? "each relay runs what the controller says"
              : "NOT EACH RUNS WHAT THE CONTROLLER SAYS");
      for (String one : play.strays) {
        line(text, "    %s", one);
      }
    }
    service(text, play);
    troubles(text, play);
    if (!returns.isEmpty()) {
      line(text, "");
      line(
          text,
          "coming back: seconds until 95%% of the worth a second before is served in time again for 2 s; 10 s of each looked at");
      for (RecoveryMeter.Recovery one : returns) {
        line(text, "  %s", one);
      }
    }
    line(text, "");
    line(text, "relays");
    for (int i = 0; i < play.relays().size(); i++) {
      RelayProcess relay = play.relays().get(i);
      line(
          text,
          "  relay %d: %d runs, %s",
          i,
          relay.runs(),
          relay.badEnds() == 0 ? "ended in good order" : "did not end in good order, see its log");
    }
    figures(text, books);
    if (day.tls) {
      line(
          text,
          "  most TLS handshakes that one relay began in a second: %.0f, of %d allowed",
          play.monitor().mostHandshakesASecond(),
          day.handshakesASecond);
    }
    List<String> wrong = play.monitor().wrong();
    line(
        text,
        "  %d scrapes while they ran, %d more met a relay that was down: %s",
        play.monitor().scrapes(),
        play.monitor().unanswered(),
        wrong.isEmpty() ? "every sum holds in each" : "NOT ALL HOLD");
    for (String one : wrong.subList(0, Math.min(MOST_FINDINGS, wrong.size()))) {
      line(text, "    %s", one);
    }
    line(text, "");
    line(text, "figures of all relays against what clients and units counted for themselves");
    text.append(FleetMetricsAudit.table(fleet));
    return text.toString();
  }

  /** What differs in full; of what holds only a line. */
  private static void figures(StringBuilder text, List<List<TraceMetricsAudit.Entry>> books) {
    line(text, "");
    line(text, "figures against the frames that crossed, through all lives of each relay");
    for (int i = 0; i < books.size(); i++) {
      boolean holds = books.get(i).stream().allMatch(TraceMetricsAudit.Entry::holds);
      TraceMetricsAudit.Entry calls = books.get(i).get(0);
      line(
          text,
          "  relay %d: %s; %s",
          i,
          holds ? "every one accounted for" : "NOT ACCOUNTED FOR",
          calls);
      for (TraceMetricsAudit.Entry entry : books.get(i)) {
        if (!entry.holds() && entry != calls) {
          line(text, "    %s", entry);
        }
      }
    }
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private static void rules(StringBuilder text, InvariantChecker.Verdict verdict, int fallen) {
    line(text, "");
    line(
        text,
        "rules %s (%d frames, %d RPCs and %d picks of %d relay runs looked at; relays held up for %d ms by the machine"
            + " or the day; %d units pushed over)",
        verdict.kept() ? "kept" : "BROKEN",
        verdict.frames(),
        verdict.rpcs(),
        verdict.attempts(),
        verdict.relayRuns(),
        verdict.stalledMs(),
        fallen);
    for (Finding finding :
        verdict.findings().subList(0, Math.min(MOST_FINDINGS, verdict.findings().size()))) {
      line(text, "  %s", finding);
    }
    int more = verdict.findings().size() - MOST_FINDINGS;
    if (more > 0) {
      line(text, "  and %d more", more);
    }
  }

  private static void builds(StringBuilder text, ScenarioRunner play) {
    line(text, "");
    line(text, "builds");
    for (ScenarioRunner.Offered one : play.offered) {
      line(text, "  %5.1f s  build %d: %s", one.at().ms() / 1000, one.build(), one.words());
    }
    for (ScenarioRunner.Step one : play.steps) {
      line(text, "  %5.1f s  %s", one.at().ms() / 1000, one.what());
    }
  }

  private static void votes(StringBuilder text, ScenarioRunner play) {
    line(text, "");
    Map<String, Integer> sums = new TreeMap<>();
    for (FakeController.Ballot one : play.desk().ballots()) {
      String what =
          "build "
              + one.build()
              + " stage "
              + one.stage()
              + ": "
              + one.say()
              + " by relay "
              + one.relay()
              + ", "
              + one.taken().name().toLowerCase(Locale.ROOT).replace('_', ' ');
      sums.merge(what, 1, Integer::sum);
    }
    line(text, "votes cast: %d", play.desk().ballots().size());
    sums.forEach(
        (what, times) -> line(text, "  %s%s", what, times == 1 ? "" : " (" + times + " times)"));
  }

  private static void controller(StringBuilder text, ScenarioRunner play, List<String> followed) {
    line(text, "");
    line(
        text,
        "the controller: %d runs, %s; its steps",
        play.controller().runs(),
        play.controllerEnded ? "ended in good order" : "DID NOT END IN GOOD ORDER");
    for (String step : play.controllerSteps) {
      line(text, "  %s", step);
    }
    line(text, "announcements, each sent until taken and then once more");
    for (String one : followed) {
      line(text, "  %s", one);
    }
  }

  private static void service(StringBuilder text, ScenarioRunner play) {
    Site site = play.day().site();
    double[] all = play.books.between(TimeSpan.ZERO, play.day().lasts.plus(TimeSpan.ofMs(1000)));
    line(text, "");
    line(
        text,
        "service ratio %.3f (utility answered within the soft deadline over utility asked for)",
        MetricsAudit.ratio(all));
    line(
        text,
        "  %-16s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s",
        "method",
        "asked",
        "ok",
        "late",
        "wrong",
        "back",
        "aborted",
        "silent",
        "lost",
        "left",
        "tries");
    for (int i = 0; i < site.methods().size(); i++) {
      MetricsAudit.Column column = play.books.column(i);
      line(
          text,
          "  %-16s %7d %7d %7d %7d %7d %7d %7d %7d %7d %7d",
          site.methods().get(i).name(),
          column.asked,
          column.of(End.OK),
          column.of(End.LATE),
          column.of(End.WRONG),
          column.of(End.PUSHED_BACK),
          column.of(End.ABORTED),
          column.of(End.UNANSWERED),
          column.of(End.LOST_WITH_RELAY),
          column.of(End.LEFT),
          column.tries);
    }
  }

  /**
   * Each trouble's time against the time without any; times that overlap are told with all that
   * went on in them.
   */
  private static void troubles(StringBuilder text, ScenarioRunner play) {
    ScenarioParser day = play.day();
    List<TimeSpan[]> windows = new ArrayList<>();
    for (ScenarioParser.Trouble one : day.troubles) {
      windows.add(window(one, day));
    }
    double[] clear = new double[2];
    for (double ms = 0; ms < day.lasts.ms(); ms += 1000) {
      double at = ms;
      boolean quiet =
          windows.stream().noneMatch(window -> window[0].ms() < at + 1000 && window[1].ms() > at);
      if (!quiet) {
        continue;
      }
      double[] second = play.books.between(TimeSpan.ofMs(ms), TimeSpan.ofMs(ms + 1000));
      clear[0] += second[0];
      clear[1] += second[1];
    }
    double[] all = play.books.between(TimeSpan.ZERO, day.lasts);
    line(text, "");
    line(
        text,
        "what the troubles cost: service in their time and two seconds after, beside %.3f in clear time",
        MetricsAudit.ratio(clear));
    for (int i = 0; i < windows.size(); i++) {
      double[] in = play.books.between(windows.get(i)[0], windows.get(i)[1]);
      double points = 100 * (MetricsAudit.ratio(clear) * in[0] - in[1]) / Math.max(all[0], 1e-9);
      line(
          text,
          "  %5.1f s  %.3f, %+5.2f points of the day  %s",
          day.troubles.get(i).at().ms() / 1000,
          MetricsAudit.ratio(in),
          -points,
          day.troubles.get(i).words());
    }
  }

  private static TimeSpan[] window(ScenarioParser.Trouble one, ScenarioParser day) {
    TimeSpan end = one.at().plus(one.lasts()).plus(AFTERMATH);
    return new TimeSpan[] {one.at(), end.atMost(day.lasts)};
  }
}
