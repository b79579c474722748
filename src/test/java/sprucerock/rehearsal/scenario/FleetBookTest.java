package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.time.TimeSpan;

/**
 * A fleet of one relay: three RPCs, of which one never arrived and one answer was dropped on the
 * way back.
 */
public class FleetBookTest {
  private static final String STANDINS =
      """
        1\tclient-0\t1\tRELAY-0\t>\tCALL\t16:0a\tid: 1
        2\tclient-0\t1\tRELAY-0\t>\tCALL\t16:0b\tid: 2
        3\tclient-0\t1\tRELAY-0\t>\tCALL\t16:0c\tid: 3
        12\tunit-4\t2\tRELAY-0\t<\tWORK\t16:0a\tid: 1
        13\tunit-4\t2\tRELAY-0\t<\tWORK\t16:0b\tid: 2
        14\tunit-4\t2\tRELAY-0\t>\tDONE\t16:0a\tid: 1 result: DONE
        15\tunit-4\t2\tRELAY-0\t>\tDONE\t16:0b\tid: 2 result: DONE
        30\tclient-0\t1\tRELAY-0\t<\tANSWER\t16:0a\tid: 1 ending: OK
        """;
  private static final String RELAY =
      """
        4\trelay-0\t1\tCLIENT-0\t<\tCALL\t16:0a\tid: 1
        5\trelay-0\t1\tCLIENT-0\t<\tCALL\t16:0b\tid: 2
        10\trelay-0\t2\tUNIT-4\t>\tWORK\t16:0a\tid: 1
        11\trelay-0\t2\tUNIT-4\t>\tWORK\t16:0b\tid: 2
        20\trelay-0\t2\tUNIT-4\t<\tDONE\t16:0a\tid: 1 result: DONE
        21\trelay-0\t1\tCLIENT-0\t>\tANSWER\t16:0a\tid: 1 ending: OK
        22\trelay-0\t2\tUNIT-4\t<\tDONE\t16:0b\tid: 2 result: DONE
        23\trelay-0\t1\tCLIENT-0\t>\tANSWER\t16:0b\tid: 2 ending: OK
        90\trelay-0\t0\t-\t!\tEND\t0:\tin good order
        """;
  private static final String COUNTS =
      """
        client-0.sent=3
        client-0.answered_OK=1
        client-0.link_ended=2
        client-0.open=0
        unit-4.came=2
        unit-4.made_DONE=2
        unit-4.sent_DONE=2
        unit-4.held=0
        """;

  private static List<FleetMetricsAudit.Entry> hold(
      String standIns, String relay, String counts, int attempts) throws Exception {
    Path folder = Files.createTempDirectory("fleet");
    MethodAccounts accounts =
        new MethodAccounts(List.of("read"), new MethodAccounts.Capacity(1, 1, 1));
    MetricsFileWriter keeper =
        MetricsFileWriter.open(folder.resolve("relay-0.figures"), accounts, () -> {}, line -> {});
    int build = accounts.row(accounts.builds, "1");
    accounts.row(accounts.tenants, "0");
    accounts.row(accounts.endpoints, "4");
    for (int i = 0; i < attempts; i++) {
      accounts.rpcArrived(0, 0);
      accounts.attemptSent(0, build, 0, false);
      accounts.attemptWritten();
      accounts.attemptEnded(0, build, 0, false, true, 1, TimeSpan.ofMs(1));
      accounts.rpcAnswered(0, 0, TimeSpan.ofMs(1), true, true);
    }
    keeper.close();
    Files.writeString(folder.resolve("relay-0.xml"), "");
    Files.writeString(folder.resolve("standins.trace"), standIns);
    Files.writeString(folder.resolve("relay-0.1.trace"), relay);
    Files.writeString(folder.resolve(FleetMetricsAudit.COUNTS), counts);
    return FleetMetricsAudit.hold(folder);
  }

  @Test
  public void eachDifferenceIsTheSumOfItsClasses() throws Exception {
    List<FleetMetricsAudit.Entry> entries = hold(STANDINS, RELAY, COUNTS, 2);
    assertEquals(
        entries.stream().filter(entry -> entry.unexplained() != 0).toList(),
        List.of(),
        FleetMetricsAudit.table(entries));
    assertEquals(
        entries
            .get(0)
            .classes()
            .get("cut off on the way: the connection ended before the relay read them"),
        (Long) 1L);
    assertEquals(
        entries
            .get(2)
            .classes()
            .get("answer dropped: the connection ended before the client read it"),
        (Long) 1L);
  }

  @DataProvider
  public Object[][] wrong() {
    return new Object[][] {
      {
        STANDINS, RELAY, COUNTS.replace("sent=3", "sent=4"), 2
      }, // a client that counts what it never sent
      {STANDINS, RELAY, COUNTS.replace("link_ended=2", "link_ended=1"), 2},
      {STANDINS, RELAY, COUNTS.replace("came=2", "came=1"), 2},
      {STANDINS, RELAY, COUNTS.replace("made_DONE=2", "made_DONE=3"), 2},
      {STANDINS, RELAY, COUNTS, 3}, // a relay that posts what it never took
      {STANDINS, RELAY, COUNTS, 1},
      {STANDINS.replace("12\tunit-4\t2\tRELAY-0\t<\tWORK\t16:0a\tid: 1\n", ""), RELAY, COUNTS, 2},
      {STANDINS, RELAY.replace("5\trelay-0\t1\tCLIENT-0\t<\tCALL\t16:0b\tid: 2\n", ""), COUNTS, 2},
    };
  }

  @Test(dataProvider = "wrong")
  public void whatNoClassExplainsIsToldApart(
      String standIns, String relay, String counts, int attempts) throws Exception {
    List<FleetMetricsAudit.Entry> entries = hold(standIns, relay, counts, attempts);
    assertEquals(
        entries.stream().anyMatch(entry -> entry.unexplained() != 0),
        true,
        FleetMetricsAudit.table(entries));
  }
}
