package sprucerock.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.model.Verdict;

/** Tests how much evidence from shadow pairs a relay needs before it votes on a stage. */
public class CanaryVoteTest {
  /** Delivers the reports of two peers, each with half of the stage's pairs and no failures. */
  private static void reportPeerPairs(FakeRelayActions relay, int stage, int pairs) {
    for (int sender = 1; sender <= 2; sender++) {
      relay.policy.peerMessageReceived(
          sender, new byte[] {3, 2, (byte) stage, (byte) (pairs / 2), 0, 0, 0, 0});
    }
  }

  @Test
  public void stageAdvancesOnceItsEndpointsAreListed() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(12).withCanary(6, 2, 1.0);
    relay.advance(1500);
    reportPeerPairs(relay, 2, 200);
    relay.advance(500);
    relay.listEndpoint(relay.canary, relay.now().minus(sprucerock.time.TimeSpan.ofMs(500)));
    relay.advance(150);
    assertEquals(relay.votes, java.util.List.of(Verdict.ON));
  }

  @Test
  public void stageWhoseEndpointsAreNeverListedAdvancesWithinEightSeconds() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(12).withCanary(6, 2, 1.0);
    reportPeerPairs(relay, 2, 200);
    relay.advance(8150);
    assertTrue(relay.votes.contains(Verdict.ON));
  }

  @Test
  public void firstStageCountsPairsOfItsOwnEndpoints() {
    FakeRelayActions relay = new FakeRelayActions().withBaseline(12).withCanary(3, 0, 0.1);
    reportPeerPairs(relay, 0, 40);
    assertTrue(relay.votes.contains(Verdict.ON));
  }

  @Test
  public void goodBuildOnHealthyMachinesIsNeverRolledBackAndABadOneNearlyAlways() {
    assertEquals(VoteStudy.shareRolledBack(100, 0, 0, 11), 0.0);
    assertTrue(VoteStudy.shareRolledBack(100, 0.1, 0, 11) >= 0.98);
    assertTrue(
        VoteStudy.shareRolledBack(100, 0.2, 0.05, 11) >= 0.95,
        "a bad build is rolled back despite a few faulty machines");
  }
}
