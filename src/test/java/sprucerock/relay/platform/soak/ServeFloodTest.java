package sprucerock.relay.platform.soak;

import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

/**
 * A relay as its own process with the deploy file's memory, and bad clients that send at full
 * speed. Each usual request gets an answer, however long it takes; how late is for the soak by
 * hand.
 */
public class ServeFloodTest {
  private static final int SECONDS = 6;
  private static final int FLOODS = 60;
  private static final long SEED = 6;

  private static void assertClean(BadClient kind) throws Exception {
    SoakPlan plan = SoakPlan.of(SEED, SECONDS).withBadClients(Set.of(kind), FLOODS);
    try (Soak soak = new Soak(plan, Soak.ANY_MACHINE_WAIT_MS)) {
      SoakReport report = soak.run(Soak.deployOptions());
      System.out.println(report);
      assertTrue(report.isClean(), report.toString());
    }
  }

  /** Guards against small answers that wait for their clients and fill the heap as objects. */
  @Test
  public void answersToBlankQueriesDoNotFillTheHeap() throws Exception {
    assertClean(BadClient.PADDED_BLANKS);
  }

  /** Guards against statements that can't be served and take all of the loop's time. */
  @Test
  public void statementsThatAreNotServedLeaveOthersAnswered() throws Exception {
    assertClean(BadClient.PADDED_STATEMENTS);
  }

  /** Guards against answers to requests for encryption that fill the heap. */
  @Test
  public void requestsForEncryptionDoNotFillTheHeap() throws Exception {
    assertClean(BadClient.ENCRYPTION_REQUESTS);
  }
}
