package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/**
 * Agents, their relays and the controller as processes of their own, with faults between them;
 * verdicts from order, not from speed.
 */
public class ChangeDayTest {
  private static final String HEAD =
      """
        day "a short change"
        seed 5
        lasts %s
        relays 3
        units 4 zone 0 cores 4 speed 1.0
        controller real
        agents watch 2s
        votes single life 4s answer 1s bake 2s
        method price-list idempotent share 60%% work 3ms soft 800ms deadline 3s utility 2
        method reserve tokened 4s share 40%% work 3ms soft 800ms deadline 3s utility 5
        allow picks 5 second-copies cancel peers retry-after 500ms
        traffic 90/s
        clients 1 retries 2 after 80ms impatient 0%%
        """;

  private static String play(String lasts, String lines) throws Exception {
    Path folder = Files.createTempDirectory("change-day");
    Path script = folder.resolve("a.day");
    Files.writeString(script, HEAD.formatted(lasts) + lines);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    boolean well = Rehearsal.play(script, folder, new PrintStream(out));
    String report = Files.readString(folder.resolve("report.txt"));
    assertTrue(well, "see " + folder + "\n" + report);
    assertTrue(report.contains("rules kept"), report);
    return report;
  }

  @Test
  public void aProgramThatEndsAtOnceMeetsOneRelayAndGoesBackThoughControllerAndAgentsAreKilled()
      throws Exception {
    String report =
        play(
            "22s",
            """
            at 2s change program "sprucerock.rehearsal.scenario.EndsAtOnce"
            at 3s controller killed for 1s
            at 6s agent 1 killed for 1s
            """);
    assertTrue(report.contains("going back, stage 0: relay "), report);
    assertTrue(report.contains("given up, stage 0: all are back"), report);
    assertEquals(
        report.split("moving, stage").length, 2, "it went past its first stage\n" + report);
    assertTrue(report.contains("at the end each relay runs what the controller says"), report);
  }

  @Test
  public void aChangeGoesBackThoughOneDirectionIsCutThenTheOtherThenAllIsReset() throws Exception {
    String report =
        play(
            "40s",
            """
            at 2s change program "sprucerock.rehearsal.scenario.EndsAtOnce"
            at 3s ways of agents cut there for 4s
            at 9s ways of agents cut back for 4s
            at 15s ways of agents 0 to 1 reset for 1s
            at 17s ways of relays losing 30% for 4s
            at 18s ways of agents late 400ms for 4s
            at 25s agent 2 killed forgets for 1s
            """);
    assertTrue(report.contains("going back, stage 0: "), report);
    assertTrue(report.contains("given up, stage 0: all are back"), report);
    assertEquals(
        report.split("moving, stage").length, 2, "it went past its first stage\n" + report);
    assertTrue(report.contains("at the end each relay runs what the controller says"), report);
  }

  @Test
  public void settingsThatNobodyCanReadMoveNobody() throws Exception {
    String report = play("12s", "at 2s change settings \"open=0\"\n");
    assertTrue(report.contains("given up, stage 0: ") && report.contains(" refuse it"), report);
    assertTrue(!report.contains("moving, stage"), report);
  }
}
