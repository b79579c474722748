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

/** What one relay saw of the offered build in its present stage. */
public final class Evidence {
  public int pairs;
  public int freshFailed;
  public int earlierFailed;

  /** Pairs of which both times are known, and those times. */
  public int timed;

  private final double[] freshTook;
  private final double[] earlierTook;
  public boolean slower;
  public boolean counted;

  /** Picks ended at the build since its release, and those that failed. */
  public int ended;

  public int errors;

  /** Units of the build that failed a pick since its release. */
  public int erring;

  private int toldPairs;
  private int toldFailed;

  /**
   * RPCs sent to the build alone, by method, and those whose like has not been sent to the earlier
   * build yet.
   */
  public final int[] singles;

  public final List<Deque<ShadowPair>> waiting = new ArrayList<>();

  /** Notes a pick that ended at the build after its release. */
  public void ended(Attempt attempt) {
    ended++;
    if (!attempt.answeredWithError()) {
      return;
    }
    errors++;
    if (++attempt.endpoint.excess == 1) {
      erring++;
    }
  }

  /** Units that failed such a copy, as bits that several may share. */
  int failedAt;

  /** A copy failed beside a served primary. */
  public void freshFails(Endpoint endpoint) {
    freshFailed++;
    failedAt |= 1 << (int) ((endpoint.id * 0x9E3779B1L >>> 16) & 15);
  }

  /** Each of a method's RPCs sent alone has its like at the earlier build. */
  public boolean even(Method method) {
    return waiting.get(method.index).isEmpty();
  }

  /** Whether the peers know all of this. */
  public boolean told() {
    return toldPairs == pairs && toldFailed == freshFailed + earlierFailed;
  }

  /** Notes the times of a pair; returns how many are known, 0 where no more are kept. */
  public int time(double fresh, double earlier) {
    if (timed == freshTook.length) {
      return 0;
    }
    freshTook[timed] = fresh;
    earlierTook[timed] = earlier;
    return ++timed;
  }

  /** One-sided KS of the times so far. */
  public double slowerSide() {
    return KolmogorovSmirnov.slowerSide(
        Arrays.copyOf(freshTook, timed), Arrays.copyOf(earlierTook, timed));
  }

  /** The counts of the pairs, to be told to peers. */
  public byte[] report(int build, int stage) {
    toldPairs = pairs;
    toldFailed = freshFailed + earlierFailed;
    return new byte[] {
      3,
      (byte) build,
      (byte) stage,
      (byte) Math.min(pairs, 255),
      (byte) Math.min(freshFailed, 255),
      (byte) Math.min(earlierFailed, 255),
      (byte) failedAt,
      (byte) (failedAt >> 8)
    };
  }

  public Evidence(int methods, int most) {
    freshTook = new double[most];
    earlierTook = new double[most];
    singles = new int[methods];
    for (int i = 0; i < methods; i++) {
      waiting.add(new ArrayDeque<>());
    }
  }
}
