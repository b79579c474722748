package sprucerock.policy;

import java.util.Random;
import sprucerock.model.RolloutState;
import sprucerock.model.Verdict;

/**
 * Studies the vote BACK alone: how often the policy rolls back a good or a bad build when relays
 * add up their shadow pairs and evaluate them after each pair. There are 60 endpoints. Some
 * machines are faulty and fail part of their requests, with the new build as with the baseline,
 * during the whole trial. In the simulator, faults last 5 to 30 s, so good builds fare better
 * there. A bad build also fails a share of all RPCs. The pairs per stage are those of the
 * simulator's scenario "herd".
 */
final class VoteStudy {
  private static final int[] ENDPOINTS_BY_STAGE = {5, 30, 60};
  private static final int[] PAIRS_BY_STAGE = {45, 60, 200};
  private static final int SENDERS = 4;

  // The middle of the simulator's range of 0.3 to 1.
  private static final double FAULTY_ENDPOINT_FAILURE_SHARE = 0.65;

  private VoteStudy() {}

  /** Returns the share of canary trials that end in a rollback in some stage. */
  static double shareRolledBack(int trials, double badShare, double faultyShare, long seed) {
    Random random = new Random(seed);
    int rollbacks = 0;
    for (int i = 0; i < trials; i++) {
      rollbacks += isRolledBack(random, badShare, faultyShare) ? 1 : 0;
    }
    return (double) rollbacks / trials;
  }

  private static boolean isRolledBack(Random random, double badShare, double faultyShare) {
    FakeRelayActions relay =
        new FakeRelayActions("balancers=" + (SENDERS + 1)).withBaseline(4).withCanary(5, 0, 0.1);
    for (int stage = 0; stage < PAIRS_BY_STAGE.length; stage++) {
      if (stage > 0) {
        relay.tracker.rolloutChanged(2, stage, RolloutState.ON_TRIAL, 0.4, relay.now());
      }
      boolean[] faulty = new boolean[ENDPOINTS_BY_STAGE[stage]];
      for (int i = 0; i < faulty.length; i++) {
        faulty[i] = random.nextDouble() < faultyShare;
      }
      byte[][] lastReports = new byte[SENDERS][];
      for (int i = 0; i < SENDERS; i++) {
        lastReports[i] = new byte[] {3, 2, (byte) stage, 0, 0, 0, 0, 0};
      }
      for (int pair = 0; pair < PAIRS_BY_STAGE[stage]; pair++) {
        int endpoint = random.nextInt(faulty.length);
        boolean faultyFails =
            faulty[endpoint] && random.nextDouble() < FAULTY_ENDPOINT_FAILURE_SHARE;
        boolean canaryFails = faultyFails || random.nextDouble() < badShare;
        boolean baselineFails =
            random.nextDouble() < faultyShare
                && random.nextDouble() < FAULTY_ENDPOINT_FAILURE_SHARE;
        // The policy keeps a reference to the last report, so each report is a new array.
        // CanaryTrial documents the layout.
        byte[] report = lastReports[pair % SENDERS].clone();
        report[3]++;
        if (canaryFails && !baselineFails) {
          report[4]++;
          // The same hash as in StageEvidence.
          int endpointBit = (int) (endpoint * 0x9E3779B1L >>> 16) & 15;
          report[6 + endpointBit / 8] |= (byte) (1 << endpointBit % 8);
        }
        if (baselineFails && !canaryFails) {
          report[5]++;
        }
        lastReports[pair % SENDERS] = report;
        relay.policy.peerMessageReceived(1 + pair % SENDERS, report);
        if (relay.votes.contains(Verdict.BACK)) {
          return true;
        }
      }
    }
    return false;
  }

  public static void main(String[] args) {
    System.out.println("| ill machines | good | bad 3% | bad 6% | bad 10% | bad 20% |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (double faulty : new double[] {0, 0.05, 0.12, 0.2}) {
      StringBuilder row = new StringBuilder("| " + Math.round(100 * faulty) + "% |");
      for (double badShare : new double[] {0, 0.03, 0.06, 0.1, 0.2}) {
        row.append(" ").append(shareRolledBack(1000, badShare, faulty, 20261202)).append(" |");
      }
      System.out.println(row);
    }
  }
}
