package sprucerock.policy.evidence;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What one relay knows of the build that the controller offered last. */
public final class CanaryTrial {
  private static final int MAX_TIMED_PAIRS = 80;
  private static final int REPORT_COUNTS = 3;

  // a report: [3, build, stage, pairs, canary's failures, baseline's, failed at, 2 bytes]
  private static final int BUILD_BYTE = 1;
  private static final int STAGE_BYTE = 2;
  private static final int COUNTS_BYTE = 3;
  private static final int FAILING_ENDPOINTS_BYTE = 6;

  public final Build build;

  /** How a slowdown of the baseline is looked into. */
  public final Slowdown slowdown = new Slowdown();

  /** Keys that stay with this build. */
  public final StickyKeys stickyKeys = new StickyKeys();

  /** How much slower its attempts are than the baseline's, in logarithms. */
  public final DecayingMean logLatencyExcess = new DecayingMean(TimeSpan.ofMs(20000));

  /** Pace lost since the release. */
  public final LostPace lostPace = new LostPace();

  private final AttemptCounts[] canaryCounts;
  private final AttemptCounts[] baselineCounts;
  private final Map<Integer, byte[]> peerReports = new TreeMap<>(); // by relay, each its latest
  private final int[] peerCounts = new int[REPORT_COUNTS]; // as in pooledCounts, of this stage
  private int peerFailingEndpointBits;
  private Timestamp lastReportSentAt;
  private int stage;
  private Timestamp stageStartedAt;
  private StageEvidence evidence;
  private boolean seenOnTrial;
  private boolean errorSeen;
  private int earlierStagesLead;
  private double earlierStagesDeviation;

  /** Of this build, where relays serve so many methods. */
  public CanaryTrial(Build build, int methods) {
    this.build = build;
    canaryCounts = newCounts(methods);
    baselineCounts = newCounts(methods);
  }

  private static AttemptCounts[] newCounts(int methods) {
    AttemptCounts[] counts = new AttemptCounts[methods];
    Arrays.setAll(counts, method -> new AttemptCounts());
    return counts;
  }

  /** The stage's number, from 0. */
  public int stage() {
    return stage;
  }

  /** When the stage, or the time after the release, began. */
  public Timestamp stageStartedAt() {
    return stageStartedAt;
  }

  /** What this relay saw in the present stage; null before the first. */
  public StageEvidence evidence() {
    return evidence;
  }

  /** Seen on trial by this relay, not only after its release. */
  public boolean isSeenOnTrial() {
    return seenOnTrial;
  }

  /** Notes that the news named it as on trial. */
  public void markSeenOnTrial() {
    seenOnTrial = true;
  }

  /** Whether an error came back from the build. */
  public boolean isErrorSeen() {
    return errorSeen;
  }

  /** Notes an attempt that ended at the build, before or after its release. */
  public void attemptEnded(Attempt attempt, boolean released) {
    errorSeen |= attempt.answeredWithError();
    if (released) {
      evidence.recordAttemptAfterRelease(attempt);
    }
  }

  /** What the controller counted at this build; since the release, once there was one. */
  public AttemptCounts canaryCounts(int method) {
    return canaryCounts[method];
  }

  /** What the controller counted at earlier builds. */
  public AttemptCounts baselineCounts(int method) {
    return baselineCounts[method];
  }

  /** When peers were told of the pairs last; null before the first time. */
  public Timestamp lastReportSentAt() {
    return lastReportSentAt;
  }

  /** Encodes the counts of this stage's pairs, to be sent to peers now. */
  public byte[] encodeReport(Timestamp now) {
    lastReportSentAt = now;
    return evidence.encodeReport(build.number, stage);
  }

  /** Pairs, failures at this build and failures at the baseline, own and reported by peers. */
  public int[] pooledCounts() {
    return new int[] {
      evidence.pairs + peerCounts[0],
      evidence.canaryFailures() + peerCounts[1],
      evidence.baselineFailures + peerCounts[2]
    };
  }

  /** The pairs of this stage, own and reported by peers. */
  public int pooledPairs() {
    return pooledCounts()[0];
  }

  /** How many more failures this build showed than the baseline, in this stage. */
  public int failureLead() {
    return pooledCounts()[1] - pooledCounts()[2];
  }

  /** A standard error of the lead, the larger the more the baseline fails too. */
  public double leadDeviation() {
    int[] sum = pooledCounts();
    return Math.sqrt(sum[1] + sum[2]) + Math.sqrt(2 * sum[2]);
  }

  /** By how many failures this build led in its earlier stages. */
  public int earlierStagesLead() {
    return earlierStagesLead;
  }

  /** How far that may stray where both builds failed. */
  public double earlierStagesDeviation() {
    return earlierStagesDeviation;
  }

  /**
   * Begins a stage, or the time after the release, with evidence of its own; adds the one that ends
   * to those before.
   */
  public void enterStage(int newStage, Timestamp from, boolean released) {
    if (evidence != null) {
      earlierStagesLead += failureLead();
      earlierStagesDeviation += Math.sqrt(4 * pooledCounts()[2]);
    }
    stage = newStage;
    stageStartedAt = from;
    slowdown.enterStage();
    evidence = new StageEvidence(canaryCounts.length, MAX_TIMED_PAIRS);
    peerFailingEndpointBits = 0;
    Arrays.fill(peerCounts, 0);
    for (byte[] report : peerReports.values()) {
      addPeerCounts(report, 1);
    }
    if (released) {
      Arrays.setAll(canaryCounts, method -> new AttemptCounts());
    }
    for (Endpoint endpoint : build.endpoints) {
      endpoint.trialFailures = 0;
    }
  }

  /** How many endpoints failed shadow requests in this stage, a few perhaps counted as one. */
  public int failingEndpoints() {
    return Integer.bitCount(evidence.failingEndpointBits() | peerFailingEndpointBits);
  }

  /** A peer's latest report takes the place of its last one. */
  public void receiveReport(int sender, byte[] report) {
    addPeerCounts(peerReports.put(sender, report), -1);
    addPeerCounts(report, 1);
  }

  private void addPeerCounts(byte[] report, int times) {
    boolean same =
        report != null
            && report[BUILD_BYTE] == (byte) build.number
            && report[STAGE_BYTE] == (byte) stage;
    if (!same) {
      return;
    }
    peerFailingEndpointBits |=
        report[FAILING_ENDPOINTS_BYTE] & 0xff | (report[FAILING_ENDPOINTS_BYTE + 1] & 0xff) << 8;
    for (int i = 0; i < REPORT_COUNTS; i++) {
      peerCounts[i] += times * (report[COUNTS_BYTE + i] & 0xff);
    }
  }

  /** For the log. */
  @Override
  public String toString() {
    return build.number
        + " at stage "
        + stage
        + ": pairs "
        + Arrays.toString(pooledCounts())
        + ", carried "
        + earlierStagesLead
        + ", slower "
        + evidence.isSlowerByLatency()
        + ", counted "
        + evidence.isWorseByCounts()
        + ", blames "
        + slowdown.blameCount()
        + ", errors "
        + evidence.errorsAfterRelease();
  }
}
