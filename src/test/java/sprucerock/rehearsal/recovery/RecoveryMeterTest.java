package sprucerock.rehearsal.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.rehearsal.trace.Line;

/** Recoveries that are known, and what the meter reads from their traces. */
public class RecoveryMeterTest {
  private static final long SECOND_MICROS = 1_000_000;

  private static ServedWeight served(double[][] spans) {
    ServedWeight service = new ServedWeight();
    for (double[] span : spans) {
      for (long us = (long) (span[0] * SECOND_MICROS); us < span[1] * SECOND_MICROS; us += 10_000) {
        service.record(us, span[2]);
      }
    }
    return service;
  }

  @Test
  public void fullServiceIsWhereTheLevelBeforeHoldsForTwoSeconds() {
    ServedWeight service =
        served(
            new double[][] {
              {0, 10, 1}, {10, 13, 0.3}, {13, 13.5, 1}, {13.5, 15, 0.3}, {15, 30, 0.97}
            });
    assertEquals(service.levelBefore(10 * SECOND_MICROS), 100, 1);
    assertEquals(service.secondsToFullService(10 * SECOND_MICROS).getAsDouble(), 5.0, 0.21);
    assertEquals(
        service.lostSeconds(10 * SECOND_MICROS, 10),
        3.3,
        0.1); // 4.5 s at 0.7 less, 5 s at 0.03 less
  }

  @Test
  public void nineTenthsOfTheLevelOrTooShortATimeAreNoFullService() {
    assertFalse(
        served(new double[][] {{0, 10, 1}, {12, 40, 0.9}})
            .secondsToFullService(10 * SECOND_MICROS)
            .isPresent());
    assertFalse(
        served(new double[][] {{0, 10, 1}, {12, 13.5, 1}})
            .secondsToFullService(10 * SECOND_MICROS)
            .isPresent());
    assertFalse(new ServedWeight().secondsToFullService(0).isPresent());
  }

  @Test
  public void recoveryTakesNoTimeIfNothingWasLost() {
    assertEquals(
        served(new double[][] {{0, 20, 1}}).secondsToFullService(10 * SECOND_MICROS).getAsDouble(),
        0.1,
        0.1);
  }

  @Test
  public void findsTheHighestPeakOfEachActivity() {
    Peaks peaks = new Peaks();
    for (int i = 0; i < 7; i++) {
      peaks.record("new connections", "unit-1", 5 * SECOND_MICROS + i * 20_000);
    }
    for (int i = 0; i < 6; i++) {
      peaks.record("new connections", "unit-2", 5 * SECOND_MICROS + i * 15_000);
    }
    for (int i = 0; i < 50; i++) {
      peaks.record("new connections", "unit-3", 50 * SECOND_MICROS);
    }
    peaks.record("votes", "relay-0", 4 * SECOND_MICROS);
    assertEquals(
        peaks.between(5 * SECOND_MICROS, 6 * SECOND_MICROS),
        List.of(new Peaks.Peak("new connections", "unit-2", 6)));
  }

  @Test
  public void countsServiceInTimeAndRetriesFromTraces() throws Exception {
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
    RecoveryMeter.Recovery recovery = meter.recoveries().get(0);
    assertEquals(recovery.description(), "relay 1 killed for 1s; relay 2 killed for 1s");
    assertEquals(recovery.secondsToFullService().getAsDouble(), 1.0, 0.11);
    assertEquals(recovery.lostSeconds(), 1.0, 0.1);
    assertEquals(recovery.retries(), 50);
    assertEquals(recovery.peaks(), List.of(new Peaks.Peak("new connections", "unit-4", 2)));
    assertTrue(recovery.toString().startsWith("full service after "), recovery.toString());
  }

  private static void line(
      StringBuilder text, long ms, String place, char direction, String kind, String head) {
    text.append(ms * 1000)
        .append('\t')
        .append(place)
        .append("\t1\t-\t")
        .append(direction)
        .append('\t')
        .append(kind)
        .append("\t0:\t")
        .append(head)
        .append('\n');
  }
}
