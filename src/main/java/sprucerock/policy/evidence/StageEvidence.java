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
import sprucerock.stats.Ks;

/** What one relay saw of the offered build in its present stage. */
public final class StageEvidence {
  public int pairs;
  public int canaryFailures;
  public int baselineFailures;

  /** Pairs of which both times are known, and those times. */
  public int timedPairs;

  private final double[] canaryTook;
  private final double[] baselineTook;
  public boolean slowerByTimes;
  public boolean worseByCounts;

  /** Picks ended at the build since its release, and those that failed. */
  public int attemptsAfterRelease;

  public int errorsAfterRelease;

  /** Units of the build that failed a pick since its release. */
  public int failingAfterRelease;

  private int reportedPairs;
  private int reportedFailures;

  /**
   * RPCs sent to the build alone, by method, and those whose like has not been sent to the earlier
   * build yet.
   */
  public final int[] sentAlone;

  public final List<Deque<ShadowPair>> awaitingBaseline = new ArrayList<>();

  /** Notes a pick that ended at the build after its release. */
  public void attemptEnded(Attempt attempt) {
    attemptsAfterRelease++;
    if (!attempt.erred()) {
      return;
    }
    errorsAfterRelease++;
    if (++attempt.endpoint.excess == 1) {
      failingAfterRelease++;
    }
  }

  /** Units that failed such a copy, as bits that several may share. */
  int failedAt;

  /** A copy failed beside a served primary. */
  public void canaryFailed(Endpoint endpoint) {
    canaryFailures++;
    failedAt |= 1 << (int) ((endpoint.id * 0x9E3779B1L >>> 16) & 15);
  }

  /** Each of a method's RPCs sent alone has its like at the earlier build. */
  public boolean isBalanced(Method method) {
    return awaitingBaseline.get(method.index).isEmpty();
  }

  /** Whether the peers know all of this. */
  public boolean isReported() {
    return reportedPairs == pairs && reportedFailures == canaryFailures + baselineFailures;
  }

  /** Notes the times of a pair; returns how many are known, 0 where no more are kept. */
  public int addTimes(double fresh, double earlier) {
    if (timedPairs == canaryTook.length) {
      return 0;
    }
    canaryTook[timedPairs] = fresh;
    baselineTook[timedPairs] = earlier;
    return ++timedPairs;
  }

  /** One-sided KS of the times so far. */
  public double slowerSide() {
    return Ks.slowerSide(
        Arrays.copyOf(canaryTook, timedPairs), Arrays.copyOf(baselineTook, timedPairs));
  }

  /** The counts of the pairs, to be told to peers. */
  public byte[] encodeReport(int build, int stage) {
    reportedPairs = pairs;
    reportedFailures = canaryFailures + baselineFailures;
    return new byte[] {
      3,
      (byte) build,
      (byte) stage,
      (byte) Math.min(pairs, 255),
      (byte) Math.min(canaryFailures, 255),
      (byte) Math.min(baselineFailures, 255),
      (byte) failedAt,
      (byte) (failedAt >> 8)
    };
  }

  public StageEvidence(int methods, int most) {
    canaryTook = new double[most];
    baselineTook = new double[most];
    sentAlone = new int[methods];
    for (int i = 0; i < methods; i++) {
      awaitingBaseline.add(new ArrayDeque<>());
    }
  }
}
