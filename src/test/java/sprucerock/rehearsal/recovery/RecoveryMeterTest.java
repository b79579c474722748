package sprucerock.rehearsal.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.rehearsal.trace.Line;

/** Days whose return is known, and what the meter reads from them. */
public class RecoveryMeterTest {
  private static final long S = 1_000_000;

  private static ServedWeight served(double[][] spans) {
    ServedWeight service = new ServedWeight();
    for (double[] span : spans) {
      for (long us = (long) (span[0] * S); us < span[1] * S; us += 10_000) {
        service.record(us, span[2]);
      }
    }
    return service;
  }

  @Test
  public void fullServiceIsWhereTheLevelBeforeIsBackForTwoSeconds() {
    ServedWeight service =
        served(
            new double[][] {
              {0, 10, 1}, {10, 13, 0.3}, {13, 13.5, 1}, {13.5, 15, 0.3}, {15, 30, 0.97}
            });
    assertEquals(service.levelBefore(10 * S), 100, 1);
    assertEquals(service.secondsToFullService(10 * S).getAsDouble(), 5.0, 0.21);
    assertEquals(service.lostSeconds(10 * S, 10), 3.3, 0.1); // 4.5 s at 0.7 less, 5 s at 0.03 less
  }

  @Test
  public void whatComesBackToNineTenthsOrTooLateIsNotBack() {
    assertFalse(
        served(new double[][] {{0, 10, 1}, {12, 40, 0.9}})
            .secondsToFullService(10 * S)
            .isPresent());
    assertFalse(
        served(new double[][] {{0, 10, 1}, {12, 13.5, 1}})
            .secondsToFullService(10 * S)
            .isPresent());
    assertFalse(new ServedWeight().secondsToFullService(0).isPresent());
  }

  @Test
  public void whatNobodyNoticedTakesNoTime() {
    assertEquals(
        served(new double[][] {{0, 20, 1}}).secondsToFullService(10 * S).getAsDouble(), 0.1, 0.1);
  }

  @Test
  public void theFullestTenthOfASecondOfEachThingIsFound() {
    Peaks peaks = new Peaks();
    for (int i = 0; i < 7; i++) {
      peaks.record("new connections", "unit-1", 5 * S + i * 20_000);
    }
    for (int i = 0; i < 6; i++) {
      peaks.record("new connections", "unit-2", 5 * S + i * 15_000);
    }
    for (int i = 0; i < 50; i++) {
      peaks.record("new connections", "unit-3", 50 * S);
    }
    peaks.record("votes", "relay-0", 4 * S);
    assertEquals(
        peaks.between(5 * S, 6 * S), List.of(new Peaks.Peak("new connections", "unit-2", 6)));
  }

  @Test
  public void aDaysTracesTellWhatWasServedInTimeAndSentAgain() throws Exception {
    StringBuilder text = new StringBuilder();
    long id = 0;
    for (long ms = 0; ms < 20_000; ms += 20) {
      boolean down = ms >= 8000 && ms < 9000;
      id++;
      line(text, ms, "client-0", '>', "CALL", "id: " + id + " method: 0 token: " + id);
      line(
          text,
          ms + 10,
          "client-0",
          '<',
          "ANSWER",
          "id: " + id + (down ? " ending: PUSHED_BACK" : " ending: OK"));
      if (!down) {
        continue;
      }
      line(text, ms + 1000, "client-0", '>', "CALL", "id: " + (id + 1) + " method: 0 token: " + id);
      line(
          text,
          ms + 1010,
          "client-0",
          '<',
          "ANSWER",
          "id: " + ++id + " ending: OK"); // late by then
    }
    line(text, 8000, "rehearsal", '!', "TROUBLE", "relay 1 killed for 1s");
    line(text, 8000, "rehearsal", '!', "TROUBLE", "relay 2 killed for 1s");
    line(text, 12_000, "rehearsal", '!', "TROUBLE", "relay 0 busy times 4 for 3s");
    line(text, 9050, "unit-4", '<', "HELLO", "");
    line(text, 9060, "unit-4", '<', "HELLO", "");
    RecoveryMeter meter = new RecoveryMeter(List.of(new RecoveryMeter.Method(500, 2)));
    for (Line one : Line.parse("t", text.toString())) {
      meter.accept(one);
    }
    assertEquals(meter.recoveries().size(), 1);
    RecoveryMeter.Recovery back = meter.recoveries().get(0);
    assertEquals(back.description(), "relay 1 killed for 1s; relay 2 killed for 1s");
    assertEquals(back.secondsToFullService().getAsDouble(), 1.0, 0.11);
    assertEquals(back.lostSeconds(), 1.0, 0.1);
    assertEquals(back.retries(), 50);
    assertEquals(back.peaks(), List.of(new Peaks.Peak("new connections", "unit-4", 2)));
    assertTrue(back.toString().startsWith("full service after "), back.toString());
  }

  private static void line(
      StringBuilder text, long ms, String place, char way, String kind, String head) {
    text.append(ms * 1000)
        .append('\t')
        .append(place)
        .append("\t1\t-\t")
        .append(way)
        .append('\t')
        .append(kind)
        .append("\t0:\t")
        .append(head)
        .append('\n');
  }
}
