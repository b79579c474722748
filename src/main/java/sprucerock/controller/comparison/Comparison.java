package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Compares a new version with the old one as windows arrive; the result may be read after any
 * window. For each measure a {@link BettingTest} over the samples of all {@link MatchedWindows}
 * bets that the updated relays are worse by more than the margin. Further tests bet that the
 * updated relays' loss of weight served in time is below a given limit. A comparison can't detect
 * harm that both sides suffer alike; {@link BaselineLevel} does.
 */
public final class Comparison {
  /** The evidence so far on the new version. */
  public enum Result {
    WORSE,
    NO_WORSE,
    NOT_SURE
  }

  private static final Measure[] MEASURES = Measure.values();

  /** The probability of calling a harmful version no worse. */
  private static final double MISSED_HARM_PROBABILITY = 0.05;

  /**
   * The number of standard errors of the pairs' usual differences by which the margin is widened.
   * Otherwise a single pair of unlike relays would look worse in the long run.
   */
  private static final double MARGIN_STANDARD_ERRORS = 2;

  private final double falseAlarmProbability;
  private final double[] maxLosses;
  private final BettingTest[] worseTests = new BettingTest[MEASURES.length];
  private final BettingTest[] noWorseTests;
  // Sums over all samples, and their counts, by measure.
  private final double[] differenceSums = new double[MEASURES.length];
  private final double[] squaredErrorSums = new double[MEASURES.length];
  private final int[] sampleCounts = new int[MEASURES.length];
  private int pairCount;

  /**
   * Creates a comparison without pairs.
   *
   * @param falseAlarmProbability the probability, over the whole comparison, of calling a harmless
   *     version worse; it is divided among the measures
   * @param maxLosses losses of weight, each from 0 to 1, that {@link #result} can rule out
   */
  public Comparison(double falseAlarmProbability, double... maxLosses) {
    if (!(falseAlarmProbability > 0 && falseAlarmProbability < 1)) {
      throw new IllegalArgumentException(
          "the probability of a false alarm must be above 0 and below 1, but is "
              + falseAlarmProbability);
    }
    this.falseAlarmProbability = falseAlarmProbability;
    this.maxLosses = maxLosses.clone();
    Arrays.setAll(worseTests, i -> new BettingTest());
    noWorseTests = new BettingTest[maxLosses.length];
    Arrays.setAll(noWorseTests, i -> new BettingTest());
  }

  /** Adds a pair of relays to be compared. */
  public MatchedWindows newPair() {
    return new MatchedWindows(this);
  }

  void pairStarted() {
    pairCount++;
  }

  void record(Measure measure, double difference, double standardError) {
    int i = measure.ordinal();
    sampleCounts[i]++;
    differenceSums[i] += difference;
    squaredErrorSums[i] += standardError * standardError;
    double margin =
        measure.margin
            + MARGIN_STANDARD_ERRORS
                * Math.sqrt(squaredErrorSums[i] / sampleCounts[i] / Math.max(pairCount, 1));
    worseTests[i].add((difference - margin) / measure.maxDifference);
    for (int loss = 0; measure == Measure.UNSERVED && loss < maxLosses.length; loss++) {
      noWorseTests[loss].add((maxLosses[loss] - difference) / measure.maxDifference);
    }
  }

  /**
   * Returns the result on the evidence so far.
   *
   * @param lossIndex the index in {@code maxLosses} of the loss that is to be ruled out
   */
  public Result result(int lossIndex) {
    if (worstMeasure() != null) {
      return Result.WORSE;
    }
    return noWorseTests[lossIndex].everExceeded(MISSED_HARM_PROBABILITY)
        ? Result.NO_WORSE
        : Result.NOT_SURE;
  }

  private Measure worstMeasure() {
    Measure worst = null;
    for (Measure measure : MEASURES) {
      boolean sure =
          worseTests[measure.ordinal()].everExceeded(falseAlarmProbability / MEASURES.length);
      if (sure
          && (worst == null
              || worseTests[measure.ordinal()].logWealth()
                  > worseTests[worst.ordinal()].logWealth())) {
        worst = measure;
      }
    }
    return worst;
  }

  /** Returns the reason for the result in one line, for people. */
  public String explanation() {
    Measure worst = worstMeasure();
    Measure explained = worst == null ? Measure.UNSERVED : worst;
    int i = explained.ordinal();
    if (sampleCounts[i] == 0) {
      return "no windows were compared yet";
    }
    double mean = differenceSums[i] / sampleCounts[i];
    boolean isShare = explained.ordinal() <= Measure.LOST.ordinal();
    String amount =
        isShare
            ? String.format(java.util.Locale.ROOT, "%+.4f", mean)
            : String.format(java.util.Locale.ROOT, "%+.0f%%", 100 * Math.expm1(mean));
    return explained.name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + amount
        + " compared with "
        + pairCount
        + " control relays, in "
        + sampleCounts[i]
        + " samples"
        + (worst == null ? "" : ": worse than the margin of " + explained.margin);
  }
}
