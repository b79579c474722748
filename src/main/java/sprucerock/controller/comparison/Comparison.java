package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Compares a new version with the old one as windows arrive; the result may be read after any
 * window. For each measure, each sample of a {@link MatchedWindows} is a bet that the updated relay
 * is worse by more than the margin. Further bets say that it is not worse by a given loss. A
 * comparison can't detect harm that both sides suffer alike; {@link BaselineLevel} does.
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
   * Widens the margin by the error of the pairs' usual differences. Without it one unlike pair
   * would look worse in the long run.
   */
  private static final double MARGIN_STANDARD_ERRORS = 2;

  private final double falseAlarmProbability;
  private final double[] maxLosses;
  private final BettingTest[] worseTests = new BettingTest[MEASURES.length];
  private final BettingTest[] noWorseTests;
  private final double[] differences = new double[MEASURES.length];
  private final double[] squaredErrors = new double[MEASURES.length];
  private final int[] samples = new int[MEASURES.length];
  private int pairs;

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
    pairs++;
  }

  void record(Measure measure, double difference, double standardError) {
    int i = measure.ordinal();
    samples[i]++;
    differences[i] += difference;
    squaredErrors[i] += standardError * standardError;
    double margin =
        measure.margin
            + MARGIN_STANDARD_ERRORS
                * Math.sqrt(squaredErrors[i] / samples[i] / Math.max(pairs, 1));
    worseTests[i].add((difference - margin) / measure.maxDifference);
    for (int h = 0; measure == Measure.UNSERVED && h < maxLosses.length; h++) {
      noWorseTests[h].add((maxLosses[h] - difference) / measure.maxDifference);
    }
  }

  /**
   * Returns the result on the evidence so far.
   *
   * @param maxLoss the index of the loss that is to be ruled out
   */
  public Result result(int maxLoss) {
    if (worstMeasure() != null) {
      return Result.WORSE;
    }
    return noWorseTests[maxLoss].everExceeded(MISSED_HARM_PROBABILITY)
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
    if (samples[i] == 0) {
      return "no windows were compared yet";
    }
    double mean = differences[i] / samples[i];
    boolean share = explained.ordinal() <= Measure.LOST.ordinal();
    String amount =
        share
            ? String.format(java.util.Locale.ROOT, "%+.4f", mean)
            : String.format(java.util.Locale.ROOT, "%+.0f%%", 100 * Math.expm1(mean));
    return explained.name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + amount
        + " compared with "
        + pairs
        + " control relays, in "
        + samples[i]
        + " samples"
        + (worst == null ? "" : ": worse than the margin of " + explained.margin);
  }
}
