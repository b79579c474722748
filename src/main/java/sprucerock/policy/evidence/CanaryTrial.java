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

/** The trial of the build that the controller announced last, as one relay sees it. */
public final class CanaryTrial {
  private static final int MAX_TIMED_PAIRS = 80;
  private static final int REPORT_COUNTS = 3;

  // Layout of a report, one byte each: message type (3), build, stage, pairs, canary failures and
  // baseline failures; then two bytes with the bits of failing endpoints.
  private static final int BUILD_BYTE = 1;
  private static final int STAGE_BYTE = 2;
  private static final int COUNTS_BYTE = 3;
  private static final int FAILING_ENDPOINTS_BYTE = 6;

  public final Build build;

  /** State of the investigation of a baseline slowdown. */
  public final Slowdown slowdown = new Slowdown();

  /** Keys that stay with this build. */
  public final StickyKeys stickyKeys = new StickyKeys();

  /** Logarithm of the canary's latency minus the logarithm of the baseline's. */
  public final DecayingMean logLatencyExcess = new DecayingMean(TimeSpan.ofMs(20000));

  /** Slowdown of the fleet since the release, added up over time. */
  public final LostPace lostPace = new LostPace();

  private final AttemptCounts[] canaryCounts;
  private final AttemptCounts[] baselineCounts;
  private final Map<Integer, byte[]> peerReports = new TreeMap<>(); // latest report by relay
  private final int[] peerCounts = new int[REPORT_COUNTS]; // for this stage, in pooledCounts order
  private int peerFailingEndpointBits;
  private Timestamp lastReportSentAt;
  private int stage;
  private Timestamp stageStartedAt;
  private StageEvidence evidence;
  private boolean seenOnTrial;
  private boolean errorSeen;
  private int earlierStagesLead;
  private double earlierStagesDeviation;

  /** Creates a trial of the build, for {@code methods} methods. */
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

  /** Whether this relay saw the build on trial, not only after its release. */
  public boolean isSeenOnTrial() {
    return seenOnTrial;
  }

  /** Records that the controller reported the build as on trial. */
  public void markSeenOnTrial() {
    seenOnTrial = true;
  }

  /** Whether any endpoint of the build has answered this relay with an error. */
  public boolean isErrorSeen() {
    return errorSeen;
  }

  /** Records an attempt that ended at the build. */
  public void attemptEnded(Attempt attempt, boolean released) {
    errorSeen |= attempt.answeredWithError();
    if (released) {
      evidence.recordAttemptAfterRelease(attempt);
    }
  }

  /** The controller's counts for this build; reset at the build's release. */
  public AttemptCounts canaryCounts(int method) {
    return canaryCounts[method];
  }

  /** The controller's counts for earlier builds. */
  public AttemptCounts baselineCounts(int method) {
    return baselineCounts[method];
  }

  /** When this relay last reported its pairs to peers; null before the first report. */
  public Timestamp lastReportSentAt() {
    return lastReportSentAt;
  }

  /** Encodes the pair counts of this stage as a report, and records {@code now} as sent. */
  public byte[] encodeReport(Timestamp now) {
    lastReportSentAt = now;
    return evidence.encodeReport(build.number, stage);
  }

  /**
   * Sums of this relay's counts and those reported by peers: pairs, failures of this build only and
   * failures of the baseline only.
   */
  public int[] pooledCounts() {
    return new int[] {
      evidence.pairs + peerCounts[0],
      evidence.canaryFailures() + peerCounts[1],
      evidence.baselineFailures + peerCounts[2]
    };
  }

  /** The pairs of this stage, counted by this relay and its peers. */
  public int pooledPairs() {
    return pooledCounts()[0];
  }

  /** Failures of this build minus failures of the baseline in this stage. */
  public int failureLead() {
    return pooledCounts()[1] - pooledCounts()[2];
  }

  /** The standard error of the failure lead, increased for failures of the baseline. */
  public double leadDeviation() {
    int[] pooled = pooledCounts();
    return Math.sqrt(pooled[1] + pooled[2]) + Math.sqrt(2 * pooled[2]);
  }

  /** The sum of the failure leads of earlier stages. */
  public int earlierStagesLead() {
    return earlierStagesLead;
  }

  /** What chance may add to the earlier stages' lead, estimated from the baseline's failures. */
  public double earlierStagesDeviation() {
    return earlierStagesDeviation;
  }

  /**
   * Begins a stage, or the time after the release, with new evidence. Adds the failure lead of the
   * ending stage to that of earlier stages.
   */
  public void enterStage(int newStage, Timestamp startedAt, boolean released) {
    if (evidence != null) {
      earlierStagesLead += failureLead();
      earlierStagesDeviation += Math.sqrt(4 * pooledCounts()[2]);
    }
    stage = newStage;
    stageStartedAt = startedAt;
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

  /**
   * How many endpoints failed shadow requests in this stage. Endpoints that share a bit count as
   * one.
   */
  public int failingEndpoints() {
    return Integer.bitCount(evidence.failingEndpointBits() | peerFailingEndpointBits);
  }

  /** Stores a peer's report; its counts replace those of the peer's earlier report. */
  public void receiveReport(int sender, byte[] report) {
    addPeerCounts(peerReports.put(sender, report), -1);
    addPeerCounts(report, 1);
  }

  private void addPeerCounts(byte[] report, int sign) {
    boolean isThisStage =
        report != null
            && report[BUILD_BYTE] == (byte) build.number
            && report[STAGE_BYTE] == (byte) stage;
    if (!isThisStage) {
      return;
    }
    peerFailingEndpointBits |=
        report[FAILING_ENDPOINTS_BYTE] & 0xff | (report[FAILING_ENDPOINTS_BYTE + 1] & 0xff) << 8;
    for (int i = 0; i < REPORT_COUNTS; i++) {
      peerCounts[i] += sign * (report[COUNTS_BYTE + i] & 0xff);
    }
  }

  /** The text in the log line of a vote. */
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
