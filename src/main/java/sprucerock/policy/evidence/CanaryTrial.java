package sprucerock.policy.evidence;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What one relay knows of the build that the release desk offered last. */
public final class CanaryTrial {
  public final Build build;
  public int stage;
  public Timestamp since;

  /** Seen on trial by this relay, not only after its release. */
  public boolean tried;

  /** What this relay saw in the present stage. */
  public Evidence evidence;

  /** An error came back from the build. */
  public boolean erred;

  /**
   * What the release desk counted, by method: picks and failures at this build, and at earlier
   * ones.
   */
  public final double[][] freshCounts;

  public final double[][] earlierCounts;

  /** What peers said of their pairs, each its latest. */
  public final Map<Integer, byte[]> peers = new TreeMap<>();

  public Timestamp told;

  /**
   * Since when the units off trial are slow; when the copies stopped for it, and when they went on.
   */
  public Timestamp slowSince;

  public Timestamp pausedAt;
  public Timestamp resumedAt;
  public boolean excused;

  /** How often the units off trial were slow again soon after the copies went on. */
  public int blames;

  /** How much slower than the earlier build's its picks are, in logarithms. */
  public final DecayingMean excessLog = new DecayingMean(TimeSpan.ofMs(20000));

  /** Lost pace since the release, times the seconds that it lasted. */
  public double lost;

  public Timestamp lostAsOf;

  /** By how many failures this build led in its earlier stages. */
  public int carried;

  /** How far that may stray where both builds failed. */
  public double carriedStray;

  /**
   * Keys that the build has answered here, and the share of the traffic that these were seen to
   * have.
   */
  public final Map<Long, Build> pins = new HashMap<>();

  public double pinnedShare;

  /** Pairs, failures at this build and failures at the earlier one, as peers told of this stage. */
  private final int[] toldPairs = new int[3];

  /** The same, own and told by peers. */
  public int[] pooled() {
    return new int[] {
      evidence.pairs + toldPairs[0],
      evidence.freshFailed + toldPairs[1],
      evidence.earlierFailed + toldPairs[2]
    };
  }

  /** How many more failures this build showed than the earlier one, in this stage. */
  public int lead() {
    return pooled()[1] - pooled()[2];
  }

  /** A standard error of the lead, the larger the more the earlier build fails too. */
  public double stray() {
    int[] sum = pooled();
    return Math.sqrt(sum[1] + sum[2]) + Math.sqrt(2 * sum[2]);
  }

  /**
   * Begins a stage, or the time after the release, with evidence of its own; adds the one that ends
   * to those before.
   */
  public void enter(int newStage, Timestamp from, boolean released) {
    if (evidence != null) {
      carried += lead();
      carriedStray += Math.sqrt(4 * pooled()[2]);
    }
    stage = newStage;
    since = from;
    slowSince = null;
    evidence = new Evidence(freshCounts.length, 80);
    toldFailedAt = 0;
    java.util.Arrays.fill(toldPairs, 0);
    for (byte[] report : peers.values()) {
      count(report, 1);
    }
    for (int i = 0; released && i < freshCounts.length; i++) {
      freshCounts[i] = new double[2];
    }
    for (Endpoint endpoint : build.endpoints) {
      endpoint.excess = 0;
    }
  }

  private int toldFailedAt;

  /** How many units of this build failed copies in this stage, a few perhaps counted as one. */
  public int failingUnits() {
    return Integer.bitCount(evidence.failedAt | toldFailedAt);
  }

  /** A peer's latest report takes the place of its last one. */
  public void heard(int sender, byte[] report) {
    count(peers.put(sender, report), -1);
    count(report, 1);
  }

  private void count(byte[] report, int times) {
    boolean same = report != null && report[1] == (byte) build.number && report[2] == (byte) stage;
    if (same) {
      toldFailedAt |= report[6] & 0xff | (report[7] & 0xff) << 8;
    }
    for (int i = 0; same && i < 3; i++) {
      toldPairs[i] += times * (report[3 + i] & 0xff);
    }
  }

  public CanaryTrial(Build build, int methods) {
    this.build = build;
    freshCounts = new double[methods][2];
    earlierCounts = new double[methods][2];
  }

  /** For the log. */
  @Override
  public String toString() {
    return build.number
        + " at stage "
        + stage
        + ": pairs "
        + java.util.Arrays.toString(pooled())
        + ", carried "
        + carried
        + ", slower "
        + evidence.slower
        + ", counted "
        + evidence.counted
        + ", blames "
        + blames
        + ", errors "
        + evidence.errors;
  }
}
