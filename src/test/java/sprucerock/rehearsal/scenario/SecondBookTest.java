package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.time.TimeSpan;

/** Figures held against frames: what is equal holds, what differs is named. */
public class SecondBookTest {
  private static String line(long us, String way, String kind, String head) {
    return us + "\trelay-0\t1\tCLIENT-1\t" + way + "\t" + kind + "\t0:\t" + head + "\n";
  }

  private static List<String> differing(int posted, int left, String trace) throws Exception {
    Path folder = Files.createTempDirectory("book");
    MethodAccounts accounts = new MethodAccounts(List.of("read"), MethodAccounts.Capacity.NONE);
    MetricsFileWriter keeper =
        MetricsFileWriter.open(folder.resolve("relay-0.figures"), accounts, () -> {}, line -> {});
    for (int i = 0; i < posted; i++) {
      accounts.rpcArrived(0, 0);
      if (i < left) {
        accounts.rpcEnded(0, 0, 4);
      } else {
        accounts.rpcAnswered(0, 0, TimeSpan.ofMs(1), true, true);
      }
    }
    keeper.close();
    Files.writeString(folder.resolve("relay-0.1.trace"), trace);
    return TraceMetricsAudit.hold(folder, 0).stream()
        .filter(entry -> !entry.holds())
        .map(TraceMetricsAudit.Entry::toString)
        .toList();
  }

  @Test
  public void equalOnesHoldAndALeaveAfterTheAnswerLeavesNothing() throws Exception {
    String trace =
        line(10, "<", "CALL", "id: 1")
            + line(20, ">", "ANSWER", "id: 1 ending: OK")
            + line(21, "<", "LEAVE", "id: 1")
            + line(30, "<", "CALL", "id: 2")
            + line(40, "<", "LEAVE", "id: 2")
            + line(50, "<", "CALL", "id: 3")
            + line(60, "x", "CLOSED", "gone")
            + line(90, "!", "END", "in good order");
    assertEquals(differing(3, 2, trace), List.of());
    assertEquals(
        differing(3, 1, trace),
        List.of(
            "answered ok 2, crossed 1: DIFFERS",
            "RPCs whose clients left, by frame or with their links 1, crossed 2: DIFFERS"));
  }

  @Test
  public void whatAKillCutOffIsToldApartOnlyInTheLastTurnOfALifeThatWasCutOff() throws Exception {
    String frames =
        line(10, "<", "CALL", "id: 1")
            + line(20, ">", "ANSWER", "id: 1 ending: OK")
            + line(900_000, "<", "CALL", "id: 2");
    assertEquals(differing(1, 0, frames), List.of());
    assertEquals(
        differing(1, 0, frames + line(900_001, "!", "END", "in good order")),
        List.of("calls received 1, crossed 2: DIFFERS"));
    assertEquals(differing(2, 0, line(10, "<", "CALL", "id: 1")).size(), 2);
  }
}
