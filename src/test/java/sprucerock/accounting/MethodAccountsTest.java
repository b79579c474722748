package sprucerock.accounting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Tests that the audit finds and names an error in any account. */
public class MethodAccountsTest {
  private static MethodAccounts sample() {
    MethodAccounts accounts =
        new MethodAccounts(List.of("read", "pay"), new MethodAccounts.Capacity(2, 2, 2));
    accounts.row(accounts.endpoints, "u1");
    accounts.rpcArrived(1, 0);
    accounts.attemptSent(1, accounts.row(accounts.builds, "7"), 0, true);
    accounts.attemptWritten();
    accounts.attemptEnded(1, 0, 0, true, true, 1, TimeSpan.ofMs(3));
    accounts.rpcAnswered(1, 0, TimeSpan.ofMs(4), true, true);
    return accounts;
  }

  @Test
  public void errorInAnyAccountIsFoundAndNamed() {
    for (int index = 0; index < sample().size(); index++) {
      for (long by : new long[] {1, -1, 1L << 55}) {
        MethodAccounts accounts = sample();
        assertEquals(accounts.check(), List.of());
        accounts.corrupt(index, by);
        List<MethodAccounts.Imbalance> imbalances = accounts.check();
        assertTrue(!imbalances.isEmpty(), "account " + index);
        MetricsSheet corruptedSheet = null;
        for (MetricsSheet sheet : accounts.sheets()) {
          if (index >= sheet.firstAccount) {
            corruptedSheet = sheet;
          }
        }
        assertTrue(
            imbalances.get(0).equation().startsWith(corruptedSheet.name() + "{"),
            imbalances + " for " + corruptedSheet.name());
      }
    }
  }

  @Test
  public void imbalanceReportsTheLastPostingsToItsAccounts() {
    MethodAccounts accounts = sample();
    accounts.corrupt(accounts.rpcs.index(1, 2), 1);
    assertEquals(
        accounts.check().get(0).toString(),
        "rpcs{method=pay} taken = ok + pushed_back + aborted + left + lost + open: 1 is not 2; "
            + "last postings there: [rpcs{method=pay} taken to rpcs{method=pay} open, rpcs{method=pay} open to rpcs{method=pay} ok]");
  }

  @Test
  public void postingsThatDifferBetweenSheetsAreFound() {
    MethodAccounts accounts = sample();
    accounts.postNew(accounts.attempts, 0, 1);
    assertEquals(accounts.check().get(0).equation(), "picks sent = build_picks sent");
    accounts.postNew(accounts.builds, 0, 2);
    accounts.postNew(accounts.endpoints, 0, 1);
    assertEquals(
        accounts.check().stream().map(MethodAccounts.Imbalance::equation).toList(),
        List.of(
            "picks ok = build_picks ok",
            "picks error = build_picks error",
            "picks sent = pick_frames wanted",
            "pick_latency ok of method read = picks{method=read} ok"));
  }

  @Test
  public void latencyWithoutAnswerAndShadowWithoutAttemptAreFound() {
    MethodAccounts accounts = sample();
    accounts.postNew(accounts.latency, 0, 1 + HistogramBuckets.bucket(TimeSpan.ofMs(7)));
    accounts.postNew(accounts.shadowAttempts, 0, 2);
    assertEquals(
        accounts.check().stream().map(MethodAccounts.Imbalance::equation).toList(),
        List.of(
            "answers{method=read} answered = latency{method=read} answered",
            "copies{build=7} sent <= build_picks{build=7} sent",
            "copies{build=7} error <= build_picks{build=7} error"));
  }

  @Test
  public void namesBeyondTheCapacityCountAsOther() {
    MethodAccounts accounts = sample();
    assertEquals(accounts.row(accounts.endpoints, "u1"), 0);
    assertEquals(accounts.row(accounts.endpoints, "u2"), 1);
    assertEquals(accounts.row(accounts.endpoints, "u3"), 2);
    assertEquals(accounts.name(accounts.endpoints, 2), MetricsSheet.OTHER);
    assertEquals(accounts.row(accounts.endpoints, "u2"), 1);
  }

  @Test
  public void countersAreExactBeyondTheRangeOfDoubles() {
    MethodAccounts accounts = sample();
    accounts.carryOver(accounts.messages, MetricsSheet.ALL, 0, 1L << 54);
    accounts.carryOver(accounts.messages, MetricsSheet.ALL, 1, 1L << 54);
    accounts.postNew(accounts.messages, 0, 1);
    assertEquals(accounts.value(accounts.messages, 0, 0), (1L << 54) + 1);
    assertEquals(accounts.check(), List.of());
  }
}
