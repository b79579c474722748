package sprucerock.policy.evidence;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.ShadowPair;
import sprucerock.stats.KolmogorovSmirnov;

/** What one relay saw of the canary in its present stage. */
public final class StageEvidence {
  /** The first byte of a report to peers. */
  public static final byte REPORT_MESSAGE = 3;

  private static final int MAX_REPORTED_COUNT = 255;

  /** Pairs judged, and pairs of which only the baseline's attempt failed. */
  public int pairs;

  public int baselineFailures;

  private final double[] canaryLatencies;
  private final double[] baselineLatencies;
  private final int[] sentAlone;
  private final List<Deque<ShadowPair>> awaitingBaseline = new ArrayList<>();
  private int timedPairs;
  private int canaryFailures;
  private int failingEndpointBits;
  private boolean slowerByLatency;
  private boolean worseByCounts;
  private int attemptsAfterRelease;
  private int errorsAfterRelease;
  private int failingEndpointsAfterRelease;
  private int reportedPairs;
  private int reportedFailures;

  /** For so many methods; keeps the times of {@code maxTimedPairs} pairs. */
  public StageEvidence(int methods, int maxTimedPairs) {
    canaryLatencies = new double[maxTimedPairs];
    baselineLatencies = new double[maxTimedPairs];
    sentAlone = new int[methods];
    for (int i = 0; i < methods; i++) {
      awaitingBaseline.add(new ArrayDeque<>());
    }
  }

  /** Shadow requests that failed beside a served attempt at the baseline. */
  public int canaryFailures() {
    return canaryFailures;
  }

  /** A shadow request failed at this endpoint beside a served attempt at the baseline. */
  public void recordCanaryFailure(Endpoint endpoint) {
    canaryFailures++;
    failingEndpointBits |= 1 << (int) ((endpoint.id * 0x9E3779B1L >>> 16) & 15);
  }

  /** Endpoints that failed such a request, as 16 bits that several may share. */
  int failingEndpointBits() {
    return failingEndpointBits;
  }

  /** How many pairs have both their times known; at most as many as are kept. */
  public int timedPairs() {
    return timedPairs;
  }

  /** Notes the times of a pair; returns how many are known, 0 where no more are kept. */
  public int addLatencies(double canary, double baseline) {
    if (timedPairs == canaryLatencies.length) {
      return 0;
    }
    canaryLatencies[timedPairs] = canary;
    baselineLatencies[timedPairs] = baseline;
    return ++timedPairs;
  }

  /** One-sided Kolmogorov-Smirnov distance of the times so far, 0 to 1. */
  public double slownessDistance() {
    return KolmogorovSmirnov.oneSidedDistance(
        Arrays.copyOf(canaryLatencies, timedPairs), Arrays.copyOf(baselineLatencies, timedPairs));
  }

  /** Whether the pairs' times showed the canary to be slower. */
  public boolean isSlowerByLatency() {
    return slowerByLatency;
  }

  /** Notes that the times of the pairs showed it. */
  public void markSlowerByLatency() {
    slowerByLatency = true;
  }

  /** Whether the controller's counts showed the canary to fail more. */
  public boolean isWorseByCounts() {
    return worseByCounts;
  }

  /** Notes that the counts showed it. */
  public void markWorseByCounts() {
    worseByCounts = true;
  }

  /** Notes an attempt that ended at the build after its release. */
  public void recordAttemptAfterRelease(Attempt attempt) {
    attemptsAfterRelease++;
    if (!attempt.answeredWithError()) {
      return;
    }
    errorsAfterRelease++;
    if (++attempt.endpoint.trialFailures == 1) {
      failingEndpointsAfterRelease++;
    }
  }

  /** Attempts that ended at the build since its release. */
  public int attemptsAfterRelease() {
    return attemptsAfterRelease;
  }

  /** Those of them that were answered with an error. */
  public int errorsAfterRelease() {
    return errorsAfterRelease;
  }

  /** Endpoints of the build that answered with an error since its release. */
  public int failingEndpointsAfterRelease() {
    return failingEndpointsAfterRelease;
  }

  /** A request of the method was sent to the canary alone; its like at the baseline is due. */
  public void sentAlone(Method method, ShadowPair pair) {
    awaitingBaseline.get(method.index).add(pair);
    sentAlone[method.index]++;
  }

  /** How many requests of the method were sent to the canary alone. */
  public int sentAlone(Method method) {
    return sentAlone[method.index];
  }

  /** Takes the oldest pair that awaits its attempt at the baseline; null where none does. */
  public ShadowPair pollAwaitingBaseline(Method method) {
    return awaitingBaseline.get(method.index).poll();
  }

  /** Each of a method's requests sent alone has its like at the baseline. */
  public boolean hasBaselineForEach(Method method) {
    return awaitingBaseline.get(method.index).isEmpty();
  }

  /** Whether the peers know all of this. */
  public boolean isReportedToPeers() {
    return reportedPairs == pairs && reportedFailures == canaryFailures + baselineFailures;
  }

  /** The counts of the pairs, to be told to peers. */
  public byte[] encodeReport(int build, int stage) {
    reportedPairs = pairs;
    reportedFailures = canaryFailures + baselineFailures;
    return new byte[] {
      REPORT_MESSAGE,
      (byte) build,
      (byte) stage,
      (byte) Math.min(pairs, MAX_REPORTED_COUNT),
      (byte) Math.min(canaryFailures, MAX_REPORTED_COUNT),
      (byte) Math.min(baselineFailures, MAX_REPORTED_COUNT),
      (byte) failingEndpointBits,
      (byte) (failingEndpointBits >> 8)
    };
  }
}
