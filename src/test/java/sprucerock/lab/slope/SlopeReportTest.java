package sprucerock.lab.slope;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SlopeReportTest {
  private static final String ALLOWANCE =
      """
        {"format":1,"planning_relays":7700,"planning_note":"made up","allowances":[
          {"key":"cpu","what":"processor","limit":16,"unit":"cores","assumed":true,"source":"made up"},
          {"key":"memory","what":"memory","limit":1,"unit":"GB","assumed":false,"source":"made up"},
          {"key":"force","what":"in force","limit":0.1,"unit":"s","assumed":false,"source":"made up"},
          {"key":"entries","what":"entries","limit":10,"unit":"MB","assumed":false,"source":"made up"},
          {"key":"unseen","what":"nobody looked","limit":1,"unit":"ms","assumed":false,"source":"made up"}],
         "demands":[{"allowance":"cpu","subject":"controller","quantity":"cpu, busiest"},{"allowance":"memory","subject":"controller","quantity":"memory, largest"},
          {"allowance":"force","subject":"*","quantity":"in force last"}]}
        """;
  private static final String COUNTED =
      """
        [{"role":"granter","what":"entries held","measured_at":[10,100,1000,10000],"cost_at":[1000,10000,100000,1000000],"unit":"bytes","per":"entries","at_size":300000,
          "allowance_key":"entries","mechanism":"one map","note":""}]
        """;

  private static List<RunSet.Run> runs(double coresEach, int... sizes) {
    List<RunSet.Run> runs = new ArrayList<>();
    for (int size : sizes) {
      runs.add(Made.run(size, coresEach * size));
    }
    return runs;
  }

  private static SlopeReport report(List<RunSet.Run> runs, int heldOut) throws BadTextException {
    return new SlopeReport(
        new RunSet(runs), Allowances.parse(ALLOWANCE), CountedCost.parse(COUNTED), heldOut);
  }

  @Test
  public void aRunBecomesItsFigures() {
    RunSet runs =
        new RunSet(
            List.of(
                Made.run(
                    "a.json",
                    Made.result(100, 2)
                        .replace(
                            "\"processes\":[",
                            "\"processes\":[{\"role\":\"controller\",\"name\":\"c1\",\"cpu_user_s\":5.0,\"cpu_system_s\":5.0,\"rss_mb\":300.0,\"seconds\":10.0},"))));
    assertEquals(Made.series(runs, "controller", "cpu, all").at(100).getAsDouble(), 3.0, 1e-9);
    assertEquals(Made.series(runs, "controller", "cpu, busiest").at(100).getAsDouble(), 2.0, 1e-9);
    assertEquals(Made.series(runs, "controller", "memory, all").at(100).getAsDouble(), 420.0);
    assertEquals(Made.series(runs, "controller", "memory, largest").at(100).getAsDouble(), 300.0);
    assertEquals(
        Made.series(runs, "controller", "network, all").at(100).getAsDouble(), 10_000.0, 1e-9);
    assertEquals(Made.series(runs, "freeze", "in force p99").at(100).getAsDouble(), 80.0);
    assertEquals(Made.series(runs, "freeze", "in force last").at(100).getAsDouble(), 120.0);
    assertEquals(Made.series(runs, "count", "reconnects").at(100).getAsDouble(), 10.0);
    List<String> perLink =
        runs.series().stream()
            .map(Series::figure)
            .filter(figure -> figure.quantity().equals("PROMISED in"))
            .map(Figure::unit)
            .toList();
    assertEquals(perLink, List.of("bytes/s", "messages/s"));
    assertTrue(Made.series(runs, "controller", "cpu, all").at(200).isEmpty());
  }

  @Test
  public void aRelaysShareIsThatOfHollowProcesses() {
    RunSet runs =
        new RunSet(
            List.of(
                Made.run(
                    "a.json",
                    Made.result(100, 2)
                        .replace("\"role\":\"controller\"", "\"role\":\"hollow-relays\""))));
    assertEquals(
        Made.series(runs, "hollow-relays", "cpu per relay").at(100).getAsDouble(), 0.02, 1e-9);
    assertEquals(
        Made.series(runs, "hollow-relays", "network per relay").at(100).getAsDouble(), 100.0, 1e-9);
    assertTrue(
        new RunSet(List.of(Made.run(100, 2)))
            .series().stream()
                .noneMatch(series -> series.figure().quantity().endsWith("per relay")));
  }

  @Test
  public void aRunThatDidNotKeepUpIsLeftOutAndSaysSo() throws Exception {
    List<RunSet.Run> runs = runs(0.002, 30, 100, 300, 1000);
    runs.add(Made.run("late.json", Made.result(3000, 500, "false", "offered 80%")));
    RunSet set = new RunSet(runs);
    assertEquals(set.kept(), 4);
    assertEquals(
        set.leftOut(), List.of("late.json (mean, 3000 relays) did not keep up: offered 80%"));
    assertTrue(Made.series(set, "controller", "cpu, all").at(3000).isEmpty());
    SlopeReport report = report(runs, 3000);
    assertTrue(
        report.markdown().contains("- late.json (mean, 3000 relays) did not keep up: offered 80%"));
    assertTrue(report.markdown().contains("no run kept up"));
    assertFalse(report.missed(), "it is no result to miss");
  }

  @Test
  public void aStateThatSomeNeverHadHasNoLast() {
    RunSet set =
        new RunSet(
            List.of(
                Made.run("m.json", Made.result(100, 1).replace("\"missing\":0", "\"missing\":3"))));
    assertTrue(
        set.series().stream().noneMatch(series -> series.figure().subject().equals("freeze")));
    assertEquals(
        set.leftOut(),
        List.of(
            "m.json (mean, 100 relays): in force freeze left out: 3 of 100 relays never had it"));
  }

  @Test
  public void whatChangesBesideTheSizeIsSaid() {
    assertEquals(new RunSet(runs(1, 30, 100, 300, 1000)).cautions(), List.of());
    List<RunSet.Run> runs = runs(1, 30, 100);
    runs.add(Made.run("u.json", Made.result(300, 1).replace("\"units\":4800", "\"units\":9600")));
    assertEquals(
        new RunSet(runs).cautions(),
        List.of(
            "mean: units a relay differ among its runs (16 to 32), so its slopes are not of N alone"));
  }

  @Test
  public void whatIsMissingFirstStandsFirst() throws Exception {
    String text = report(runs(0.01, 30, 100, 300, 1000), 0).markdown();
    List<String> rows =
        text.lines()
            .dropWhile(line -> !line.startsWith("| factor"))
            .skip(2)
            .takeWhile(line -> line.startsWith("|"))
            .toList();
    assertEquals(
        rows,
        List.of(
            "| 4.81 | **OVER** | processor | 16 cores (assumed) | 77 cores | mean, controller: cpu, busiest | extrapolated from N &lt;= 1,000, linear |",
            "| 3 | **OVER** | entries | 10 MB | 30,000,000 bytes | counted, granter: entries held | extrapolated from N &lt;= 10,000, linear |",
            "| 1.2 | **OVER** | in force | 0.1 s | 120 ms | mean, freeze: in force last | extrapolated from N &lt;= 1,000, linear |",
            "| 0.12 | under | memory | 1 GB | 120 MB | mean, controller: memory, largest | extrapolated from N &lt;= 1,000, linear |",
            "| - | unknown | nobody looked | 1 ms | - | - | not measured: no run and no count has it |"));
    assertTrue(
        text.contains(
            "| controller: cpu, all, cores | 30; 100; 300; 1,000 | 10 | 1.00 (1.00 to 1.00) | linear | "),
        text);
    assertFalse(
        text.contains("controller: cpu, busiest, cores"),
        "one process: its busiest is all of them");
    assertTrue(
        text.contains(
            "| count: refused | 30; 100; 300; 1,000 | 0 | - | always 0 | 0 + 0 N | 0 | extrapolated"),
        text);
  }

  @Test
  public void whatWasMeasuredAtTheSizeToPlanWithIsNotExtrapolated() throws Exception {
    String text = report(runs(0.01, 30, 100, 300, 1000, 7700), 0).markdown();
    assertTrue(
        text.contains(
            "| 4.81 | **OVER** | processor | 16 cores (assumed) | 77 cores | mean, controller: cpu, busiest | measured |"),
        text);
  }

  @Test
  public void tooFewSizesAreNoSlope() throws Exception {
    String text = report(runs(0.01, 30, 300, 3000), 0).markdown();
    assertTrue(
        text.contains(
            "| - | unknown | processor | 16 cores (assumed) | - | mean, controller: cpu, busiest | not measured: 3 sizes, at least 4 are needed |"),
        text);
    assertTrue(
        text.contains(
            "| controller: cpu, all, cores | 30; 300; 3,000 | 30 | - | - | - | - | not measured: 3 sizes, at least 4 are needed |"),
        text);
  }

  @Test
  public void aMissIsFlaggedInItsRow() throws Exception {
    List<RunSet.Run> runs = runs(0.01, 30, 100, 300, 1000);
    runs.add(Made.run(3000, 45));
    SlopeReport report = report(runs, 3000);
    assertTrue(report.missed());
    assertTrue(
        report
            .markdown()
            .contains(
                "| mean | controller: cpu, all, cores | 30 | 30 | linear | 30 | 45 | +50.0% | **MISSED** |"),
        report.markdown());
    assertTrue(
        report
            .markdown()
            .contains(
                "| mean | controller: memory, all, MB | 120 | 120 | linear | 120 | 120 | 0.0% |  |"),
        report.markdown());
    assertTrue(report.markdown().contains(", 1 flagged."), report.markdown());
  }

  @Test
  public void unitsThatDoNotCompareSaySo() throws Exception {
    List<CountedCost> counted =
        CountedCost.parse(COUNTED.replace("\"unit\":\"bytes\"", "\"unit\":\"ms\""));
    String text =
        new SlopeReport(
                new RunSet(runs(0.01, 30, 100, 300, 1000)), Allowances.parse(ALLOWANCE), counted, 0)
            .markdown();
    assertTrue(
        text.contains(
            "| - | unknown | entries | 10 MB | - | counted, granter: entries held | not compared: ms against MB |"),
        text);
  }

  @Test
  public void namesFromFilesCannotBreakThePage() throws Exception {
    List<RunSet.Run> runs =
        List.of(Made.run("x.json", Made.result(100, 1, "false", CapacityPage.END + " | it")));
    String text = report(runs, 0).markdown();
    assertFalse(text.contains(CapacityPage.END));
    assertTrue(text.contains("\\| it"));
  }

  @Test
  public void theSameResultsGiveTheSameText() throws Exception {
    assertEquals(
        report(runs(0.01, 30, 100, 300, 1000), 1000).markdown(),
        report(runs(0.01, 30, 100, 300, 1000), 1000).markdown());
  }

  @Test
  public void onlyWhatStandsBetweenTheMarkersIsReplaced() throws Exception {
    String page =
        "# Capacity\r\n\nBefore.  \n"
            + CapacityPage.BEGIN
            + "\nold | table\n"
            + CapacityPage.END
            + "\n\nAfter, no newline at the end";
    String once = CapacityPage.replace(page, "new $1 \\ table\n");
    assertEquals(
        once,
        "# Capacity\r\n\nBefore.  \n"
            + CapacityPage.BEGIN
            + "\n\nnew $1 \\ table\n\n"
            + CapacityPage.END
            + "\n\nAfter, no newline at the end");
    assertEquals(CapacityPage.replace(once, "new $1 \\ table\n"), once, "again changes nothing");
  }

  @DataProvider
  public Object[][] badPages() {
    return new Object[][] {
      {"no markers", "has no line " + CapacityPage.BEGIN + "; add it where the tables go"},
      {
        CapacityPage.BEGIN + "\n",
        "has no line " + CapacityPage.END + "; add it where the tables go"
      },
      {
        "see " + CapacityPage.BEGIN + "\n" + CapacityPage.END,
        "has no line " + CapacityPage.BEGIN + "; add it where the tables go"
      },
      {
        CapacityPage.END + "\n" + CapacityPage.BEGIN + "\n",
        CapacityPage.END + " stands before " + CapacityPage.BEGIN + "; put them in order"
      },
      {
        CapacityPage.BEGIN + "\n" + CapacityPage.BEGIN + "\n" + CapacityPage.END + "\n",
        "has " + CapacityPage.BEGIN + " twice; take one out"
      },
    };
  }

  @Test(dataProvider = "badPages")
  public void aPageWithoutItsMarkersIsRefused(String page, String says) {
    assertEquals(
        expectThrows(BadTextException.class, () -> CapacityPage.replace(page, "tables"))
            .getMessage(),
        says);
  }

  @DataProvider
  public Object[][] badResults() {
    String good = Made.result(100, 1);
    return new Object[][] {
      {"", "line 1: "},
      {"null", "line 1: holds null"},
      {"{\"format\":1,", "line 1"},
      {good + "x", "line 6"},
      {good.replace("\"format\":1", "\"format\":2"), "format is 1, not 2"},
      {
        good.replace("\"relays\":100,\"racks\"", "\"relays\":0,\"racks\""),
        "relays is 1 or more, not 0"
      },
      {good.replace("\"relays\":100,\"racks\"", "\"racks\""), "relays: this field is missing"},
      {
        good.replace("\"relays\":100,\"racks\"", "\"relays\":\"100\",\"racks\""),
        "line 1, relays: must be a whole number"
      },
      {
        good.replace("\"relays\":100,\"racks\"", "\"relays\":100.5,\"racks\""),
        "line 1, relays: must be a whole number"
      },
      {good.replace("\"bytes\":100000", "\"bytes\":-1"), "links[0]: bytes is 0 or more"},
      {
        good.replace("\"bytes\":100000", "\"bytes\":100000,\"bites\":1"),
        "line 3, links[0].bites: this field is not known"
      },
      {good.replace(",\"bytes\":100000", ""), "line 3, links[0].bytes: this field is missing"},
      {good.replace("\"links\":[", "\"links\":5,\"l\":["), "line 3, links: must be a list"},
      {
        good.replace("\"kept_up\":true", "\"kept_up\":\"true\""),
        "line 1, kept_up: must be true or false"
      },
      {
        good.replace("\"rss_mb\":120.0", "\"rss_mb\":[]"),
        "line 2, processes[0].rss_mb: must be a number"
      },
      {"[]", "must be an object"},
      {
        good.replace("\"direction\":\"in\"", "\"direction\":\"up\""),
        "direction is in or out, not up"
      },
      {
        good.replace("\"scene\":\"mean\"", "\"scene\":\"mean\",\"scene\":\"herd\""),
        "Duplicate field 'scene'"
      },
      {
        good.replace("\"counts\":{\"refused\":0", "\"counts\":{\"refused\":null"),
        "count refused is null"
      },
      {good.replace("\"links\":[", "\"links\":[null,"), "a value is null"},
    };
  }

  @Test(dataProvider = "badResults")
  public void aBadResultIsOneLine(String text, String says) {
    String message = expectThrows(BadTextException.class, () -> RunResult.parse(text)).getMessage();
    assertEquals(message.lines().count(), 1, message);
    assertTrue(message.contains(says), message);
    assertTrue(message.endsWith("; mend it or leave the file out"), message);
  }

  /** The files that the repository brings fit what reads them. */
  @Test
  public void theRepositorysOwnSettingsAreInOrder() throws Exception {
    Allowances allowances =
        Allowances.parse(Files.readString(Path.of("docs/scale/allowance.json")));
    assertEquals(allowances.planningRelays(), 7700);
    assertEquals(allowances.of("relay-cpu").limit(), 0.046);
    String page = Files.readString(Path.of("docs/CAPACITY.md"));
    assertTrue(CapacityPage.replace(page, "x").contains(CapacityPage.BEGIN));
  }
}
