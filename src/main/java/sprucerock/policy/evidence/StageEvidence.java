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

/** What one relay saw of the canary in the current stage. */
public final class StageEvidence {
  /** The first byte of a report to peers. */
  public static final byte REPORT_MESSAGE = 3;

  private static final int MAX_REPORTED_COUNT = 255;

  /** How many pairs were judged. */
  public int pairs;

  /**
   * Number of pairs that failed at the baseline only, plus wrong baseline answers that clients
   * reported.
   */
  public int baselineFailures;

  private final double[] canaryLatencies;
  private final double[] baselineLatencies;
  private final int[] canaryOnlyCounts;
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

  /**
   * Creates empty evidence for {@code methods} methods, with latencies of at most {@code
   * maxTimedPairs}.
   */
  public StageEvidence(int methods, int maxTimedPairs) {
    canaryLatencies = new double[maxTimedPairs];
    baselineLatencies = new double[maxTimedPairs];
    canaryOnlyCounts = new int[methods];
    for (int i = 0; i < methods; i++) {
      awaitingBaseline.add(new ArrayDeque<>());
    }
  }

  /**
   * Number of pairs that failed at the canary only, plus wrong canary answers that clients
   * reported.
   */
  public int canaryFailures() {
    return canaryFailures;
  }

  /**
   * Counts a failure at an endpoint of the canary: a shadow request that failed while the baseline
   * served the request, or a wrong answer that a client reported.
   */
  public void recordCanaryFailure(Endpoint endpoint) {
    canaryFailures++;
    failingEndpointBits |= 1 << (int) ((endpoint.id * 0x9E3779B1L >>> 16) & 15);
  }

  /** The endpoints that failed shadow requests, as 16 bits; several endpoints may share a bit. */
  int failingEndpointBits() {
    return failingEndpointBits;
  }

  /** How many pairs have both latencies recorded. */
  public int timedPairs() {
    return timedPairs;
  }

  /**
   * Records the latencies of a pair, each as a multiple of the expected latency.
   *
   * @return how many pairs have latencies now; 0 if no more are recorded
   */
  public int addLatencies(double canary, double baseline) {
    if (timedPairs == canaryLatencies.length) {
      return 0;
    }
    canaryLatencies[timedPairs] = canary;
    baselineLatencies[timedPairs] = baseline;
    return ++timedPairs;
  }

  /** The one-sided Kolmogorov-Smirnov distance of the latencies so far, from 0 to 1. */
  public double slownessDistance() {
    return KolmogorovSmirnov.oneSidedDistance(
        Arrays.copyOf(canaryLatencies, timedPairs), Arrays.copyOf(baselineLatencies, timedPairs));
  }

  /** Whether the latencies of the pairs showed the canary to be slower. */
  public boolean isSlowerByLatency() {
    return slowerByLatency;
  }

  /** Records that the latencies of the pairs showed the canary to be slower. */
  public void markSlowerByLatency() {
    slowerByLatency = true;
  }

  /** Whether the controller's counts showed the canary to fail more. */
  public boolean isWorseByCounts() {
    return worseByCounts;
  }

  /** Records that the controller's counts showed the canary to fail more. */
  public void markWorseByCounts() {
    worseByCounts = true;
  }

  /** Records an attempt that ended at the build after its release. */
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

  /** How many attempts ended at the build since its release. */
  public int attemptsAfterRelease() {
    return attemptsAfterRelease;
  }

  /** How many attempts since the release were answered with an error. */
  public int errorsAfterRelease() {
    return errorsAfterRelease;
  }

  /** How many endpoints of the build answered with an error since its release. */
  public int failingEndpointsAfterRelease() {
    return failingEndpointsAfterRelease;
  }

  /** Counts a request that was sent to the canary only; its pair awaits a baseline attempt. */
  public void recordCanaryOnly(Method method, ShadowPair pair) {
    awaitingBaseline.get(method.index).add(pair);
    canaryOnlyCounts[method.index]++;
  }

  /** How many requests of the method were sent to the canary only. */
  public int canaryOnlyCount(Method method) {
    return canaryOnlyCounts[method.index];
  }

  /** Removes the oldest pair that awaits a baseline attempt; returns null if there is none. */
  public ShadowPair pollAwaitingBaseline(Method method) {
    return awaitingBaseline.get(method.index).poll();
  }

  /** Whether all requests of the method that went to the canary only have a baseline attempt. */
  public boolean allHaveBaseline(Method method) {
    return awaitingBaseline.get(method.index).isEmpty();
  }

  /** Whether the last report to peers contains all counts. */
  public boolean isReportedToPeers() {
    return reportedPairs == pairs && reportedFailures == canaryFailures + baselineFailures;
  }

  /** Encodes the pair counts as a report to peers. */
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
