package sprucerock.rehearsal.fake;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** That a scrape which does not add up is found, whichever of its lines is wrong. */
public class MonitorStandInTest {
  private static final String GOOD =
      """
        # TYPE sprucerock_rpcs_taken counter
        sprucerock_rpcs_taken_total{method="read"} 7.0
        sprucerock_rpcs_ended_total{how="ok",method="read"} 4.0
        sprucerock_rpcs_ended_total{how="lost",method="read"} 1.0
        sprucerock_rpcs_open{method="read"} 2.0
        sprucerock_answers_answered_total{method="read"} 4.0
        sprucerock_answers_ended_total{how="in_time",method="read"} 3.0
        sprucerock_answers_ended_total{how="late",method="read"} 1.0
        sprucerock_latency_seconds_bucket{method="read",le="0.001024"} 3
        sprucerock_latency_seconds_bucket{method="read",le="+Inf"} 4
        sprucerock_build_picks_sent_total{build="1"} 2.0
        sprucerock_build_picks_ended_total{build="1",how="ok"} 2.0
        sprucerock_build_picks_out{build="1"} 0.0
        sprucerock_starts_starts_total 2.0
        sprucerock_starts_ended_total{how="lost"} 1.0
        sprucerock_starts_running 1.0
        sprucerock_figures_drift 0.0
        """;

  @Test
  public void aScrapeThatAddsUpHolds() {
    assertEquals(FakeMonitor.unbalanced(GOOD), List.of());
  }

  @DataProvider
  public Object[][] spoilt() {
    return new Object[][] {
      {"read\"} 7.0", "read\"} 8.0", "rpcs: "},
      {"read\"} 2.0", "read\"} 1.0", "rpcs: "},
      {"\"} 3.0", "\"} 2.0", "answers: "},
      {"+Inf\"} 4", "+Inf\"} 3", "latency_seconds{"},
      {"total 2.0", "total 3.0", "starts: "},
      {"drift 0.0", "drift 1.0", "the relay itself"}
    };
  }

  @Test(dataProvider = "spoilt")
  public void oneWrongLineIsFound(String right, String wrong, String says) {
    List<String> found = FakeMonitor.unbalanced(GOOD.replace(right, wrong));
    assertEquals(found.size(), 1, found.toString());
    assertEquals(found.get(0).startsWith(says), true, found.toString());
  }

  @Test
  public void aScrapeWithoutFiguresIsWrong() {
    assertEquals(
        FakeMonitor.unbalanced("sprucerock_figures_drift 0.0\n"), List.of("no figures in it"));
  }
}
