package sprucerock.policy;

import java.util.Random;
import sprucerock.model.RolloutState;
import sprucerock.model.Verdict;

/**
 * The vote BACK by itself: how often the policy takes back a good build, and a bad one, when relays
 * add up their pairs and look after each. Sixty places; some machines are faulty and fail part of
 * what they get, under the new build as under the baseline, all through the trial (the bench's last
 * 5 to 30 s, so that its good builds fare better). A bad build fails a share of all RPCs besides.
 * Pairs a stage are those of a herd day.
 */
final class VoteStudy {
  private static final int[] ENDPOINTS_BY_STAGE = {5, 30, 60};
  private static final int[] PAIRS_BY_STAGE = {45, 60, 200};
  private static final int SENDERS = 4;
  private static final double FAULTY_ENDPOINT_FAILURE_SHARE = 0.65;

  // the middle of the bench's 0.3 to 1

  private VoteStudy() {}

  /** Of so many trials the share taken back in some stage. */
  static double shareRolledBack(int trials, double badShare, double illShare, long seed) {
    Random random = new Random(seed);
    int back = 0;
    for (int i = 0; i < trials; i++) {
      back += isRolledBack(random, badShare, illShare) ? 1 : 0;
    }
    return (double) back / trials;
  }

  private static boolean isRolledBack(Random random, double badShare, double illShare) {
    FakeRelayActions relay =
        new FakeRelayActions("balancers=" + (SENDERS + 1)).withBaseline(4).withCanary(5, 0, 0.1);
    for (int stage = 0; stage < PAIRS_BY_STAGE.length; stage++) {
      if (stage > 0) {
        relay.tracker.rolloutChanged(2, stage, RolloutState.ON_TRIAL, 0.4, relay.now());
      }
      boolean[] ill = new boolean[ENDPOINTS_BY_STAGE[stage]];
      for (int i = 0; i < ill.length; i++) {
        ill[i] = random.nextDouble() < illShare;
      }
      byte[][] told = new byte[SENDERS][];
      for (int i = 0; i < SENDERS; i++) {
        told[i] = new byte[] {3, 2, (byte) stage, 0, 0, 0, 0, 0};
      }
      for (int pair = 0; pair < PAIRS_BY_STAGE[stage]; pair++) {
        int endpoint = random.nextInt(ill.length);
        boolean illFails = ill[endpoint] && random.nextDouble() < FAULTY_ENDPOINT_FAILURE_SHARE;
        boolean fresh = illFails || random.nextDouble() < badShare;
        boolean earlier =
            random.nextDouble() < illShare && random.nextDouble() < FAULTY_ENDPOINT_FAILURE_SHARE;
        byte[] report = told[pair % SENDERS].clone();
        // the policy keeps the last report
        report[3]++;
        if (fresh && !earlier) {
          report[4]++;
          int mark = (int) (endpoint * 0x9E3779B1L >>> 16) & 15;
          report[6 + mark / 8] |= (byte) (1 << mark % 8);
        }
        if (earlier && !fresh) {
          report[5]++;
        }
        told[pair % SENDERS] = report;
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
    for (double ill : new double[] {0, 0.05, 0.12, 0.2}) {
      StringBuilder row = new StringBuilder("| " + Math.round(100 * ill) + "% |");
      for (double bad : new double[] {0, 0.03, 0.06, 0.1, 0.2}) {
        row.append(" ").append(shareRolledBack(1000, bad, ill, 20261202)).append(" |");
      }
      System.out.println(row);
    }
  }
}
