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
  public boolean seenOnTrial;

  /** What this relay saw in the present stage. */
  public StageEvidence evidence;

  /** An error came back from the build. */
  public boolean errorSeen;

  /**
   * What the release desk counted, by method: picks and failures at this build, and at earlier
   * ones.
   */
  public final double[][] canaryCounts;

  public final double[][] baselineCounts;

  /** What peers said of their pairs, each its latest. */
  public final Map<Integer, byte[]> peerReports = new TreeMap<>();

  public Timestamp reportSentAt;

  /**
   * Since when the units off trial are slow; when the copies stopped for it, and when they went on.
   */
  public Timestamp slowSince;

  public Timestamp pausedAt;
  public Timestamp resumedAt;
  public boolean slowdownExcused;

  /** How often the units off trial were slow again soon after the copies went on. */
  public int slowdownsBlamed;

  /** How much slower than the earlier build's its picks are, in logarithms. */
  public final DecayingMean logExcess = new DecayingMean(TimeSpan.ofMs(20000));

  /** Lost pace since the release, times the seconds that it lasted. */
  public double lostPaceSeconds;

  public Timestamp lostPaceAsOf;

  /** By how many failures this build led in its earlier stages. */
  public int carriedLead;

  /** How far that may stray where both builds failed. */
  public double carriedDeviation;

  /**
   * Keys that the build has answered here, and the share of the traffic that these were seen to
   * have.
   */
  public final Map<Long, Build> stickyKeys = new HashMap<>();

  public double stickyShare;

  /** Pairs, failures at this build and failures at the earlier one, as peers told of this stage. */
  private final int[] peerCounts = new int[3];

  /** The same, own and told by peers. */
  public int[] pooledCounts() {
    return new int[] {
      evidence.pairs + peerCounts[0],
      evidence.canaryFailures + peerCounts[1],
      evidence.baselineFailures + peerCounts[2]
    };
  }

  /** How many more failures this build showed than the earlier one, in this stage. */
  public int failureLead() {
    return pooledCounts()[1] - pooledCounts()[2];
  }

  /** A standard error of the lead, the larger the more the earlier build fails too. */
  public double leadDeviation() {
    int[] sum = pooledCounts();
    return Math.sqrt(sum[1] + sum[2]) + Math.sqrt(2 * sum[2]);
  }

  /**
   * Begins a stage, or the time after the release, with evidence of its own; adds the one that ends
   * to those before.
   */
  public void enterStage(int newStage, Timestamp from, boolean released) {
    if (evidence != null) {
      carriedLead += failureLead();
      carriedDeviation += Math.sqrt(4 * pooledCounts()[2]);
    }
    stage = newStage;
    since = from;
    slowSince = null;
    evidence = new StageEvidence(canaryCounts.length, 80);
    peerFailedAt = 0;
    java.util.Arrays.fill(peerCounts, 0);
    for (byte[] report : peerReports.values()) {
      count(report, 1);
    }
    for (int i = 0; released && i < canaryCounts.length; i++) {
      canaryCounts[i] = new double[2];
    }
    for (Endpoint endpoint : build.endpoints) {
      endpoint.excess = 0;
    }
  }

  private int peerFailedAt;

  /** How many units of this build failed copies in this stage, a few perhaps counted as one. */
  public int failingEndpoints() {
    return Integer.bitCount(evidence.failedAt | peerFailedAt);
  }

  /** A peer's latest report takes the place of its last one. */
  public void receiveReport(int sender, byte[] report) {
    count(peerReports.put(sender, report), -1);
    count(report, 1);
  }

  private void count(byte[] report, int times) {
    boolean same = report != null && report[1] == (byte) build.number && report[2] == (byte) stage;
    if (same) {
      peerFailedAt |= report[6] & 0xff | (report[7] & 0xff) << 8;
    }
    for (int i = 0; same && i < 3; i++) {
      peerCounts[i] += times * (report[3 + i] & 0xff);
    }
  }

  public CanaryTrial(Build build, int methods) {
    this.build = build;
    canaryCounts = new double[methods][2];
    baselineCounts = new double[methods][2];
  }

  /** For the log. */
  @Override
  public String toString() {
    return build.number
        + " at stage "
        + stage
        + ": pairs "
        + java.util.Arrays.toString(pooledCounts())
        + ", carried "
        + carriedLead
        + ", slower "
        + evidence.slowerByTimes
        + ", counted "
        + evidence.worseByCounts
        + ", blames "
        + slowdownsBlamed
        + ", errors "
        + evidence.errorsAfterRelease;
  }
}
