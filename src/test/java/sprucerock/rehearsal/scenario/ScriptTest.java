package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.rehearsal.fake.Site;

/**
 * Day scripts: what they may say, and where they are wrong; and one short day over real sockets.
 */
public class ScriptTest {
  private static final String HEAD =
      "day \"a day\"\nlasts 9s\nunits 3 zone 1 cores 4 speed 1.5\n"
          + "method read idempotent share 60% work 5ms soft 100ms deadline 1s utility 2\n"
          + "method pay tokened 2s share 40% work 5ms soft 100ms deadline 1s utility 2\n";

  @Test
  public void allThatADayCanHaveIsRead() throws Exception {
    ScenarioParser day =
        ScenarioParser.parse(
            "d",
            HEAD
                + "allow peers picks 3 # and no more\nexposure free 2 over 4s by method guarded 1 one-way\n"
                + "at 1s units 50% pauses 300ms every 2s for 4s\n");
    assertEquals(day.methods.get(1).effect(), Site.Effect.TOKENED);
    assertEquals(day.methods.get(1).window().ms(), 2000.0);
    assertTrue(day.peers && day.byMethod && day.oneWay && !day.cancel);
    assertEquals(day.troubles.get(0).words(), "units 50% pauses 300ms every 2s for 4s");
    try (Stream<Path> days = Files.list(Path.of("rehearsals"))) {
      for (Path path : days.toList()) {
        assertTrue(Rehearsal.check(path).endsWith("in order"), path.toString());
      }
    }
  }

  @DataProvider
  public Object[][] wrong() {
    return new Object[][] {
      {"at 1s unit 3 hangs for 2s\n", "d:6:12: 3 is more than 2"},
      {"at 1s unit 2 sulks for 2s\n", "d:6:14: mismatched input 'sulks' expecting {"},
      {"at 10s offer good\n", "d:6:1: the day ends after 9.0s"},
      {
        "at 1s offer bad method put 10%\n", "d:6:24: no method is called put; there are [read, pay]"
      },
      {"at 1s offer bad errors 130%\n", "d:6:24: 130% is more than 100%"},
      {"customer north 40%\n", "the shares of the customers add up to 40%, not 100%"},
      {"lasts 9\n", "d:6:7: mismatched input '9' expecting SPAN"},
      {
        "at 1s unit 0 certificate expired for 2s\n",
        "d:6:14: the day has no TLS; a line \"tls\" gives it some"
      },
      {
        "at 1s ways of relays cut for 2s\n",
        "d:6:7: ways lead to the real controller; a line \"controller real\" gives the day one"
      },
      {
        "controller real\nat 1s ways of relays 1 to 0 reset for 2s\n",
        "d:7:7: from 1 to 0 there is none"
      },
      {"relays 51\n", "d:6:8: 51 is more than 50"},
      {"at 1s traffic times 0 for 2s\n", "a factor is above 0"},
      {"seed 4 €\n", "d:6:8: "},
    };
  }

  @Test(dataProvider = "wrong")
  public void aWrongLineIsNamedWithItsColumn(String line, String says) {
    String message =
        expectThrows(
                ScenarioParser.ScriptException.class, () -> ScenarioParser.parse("d", HEAD + line))
            .getMessage();
    assertTrue(message.contains(says) && !message.contains("\n"), message);
  }

  /**
   * What it shows holds on a machine of any speed: rules, answers, ends in good order; never how
   * quick or how good.
   */
  @Test
  public void aShortBadDayOverRealSocketsKeepsTheRules() throws Exception {
    Path folder = Files.createTempDirectory("short-day");
    Path script = folder.resolve("short.day");
    Files.writeString(script, Files.readString(Path.of("rehearsals", "short.day")));
    Path into = Files.createDirectory(folder.resolve("run"));
    boolean kept = Rehearsal.play(script, into, new PrintStream(folder.resolve("out").toFile()));
    String report = Files.readString(into.resolve("report.txt"));
    assertTrue(kept, report);
    assertTrue(report.contains("relay 1: every one accounted for"), report);
    assertTrue(report.contains("relay 1: 2 runs, ended in good order"), report);
    assertTrue(
        Files.readString(into.resolve("standins.trace")).contains("DESK"), "the desk took part");
    remove(folder);
  }

  private static void remove(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
