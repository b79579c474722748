package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Compares a new version with the old one as data come; its result may be read as often as one
 * likes. Each sample of a {@link MatchedWindows} is a bet a measure that the updated relay is worse
 * by more than the margin; beside it run bets that it is not worse by a stated harm. What it can't
 * see is harm that both sides suffer alike, which is the {@link BaselineLevel}'s to find.
 */
public final class Comparison {
  /** What the evidence so far says of the new version. */
  public enum Result {
    WORSE,
    NO_WORSE,
    NOT_SURE
  }

  private static final Measure[] MEASURES = Measure.values();
  private static final double MISSED_HARM_PROBABILITY = 0.05; // the chance to take harm for none
  // of what pairs differ by anyhow, over all of them: else one unlike pair would look guilty in
  // time
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
   * {@code falseAlarm}: the chance, over the whole life, to call worse what is none; it is shared
   * among the measures. {@code harms}: losses of worth that {@link #answer} can be asked to rule
   * out, each from 0 to 1.
   */
  public Comparison(double falseAlarm, double... harms) {
    if (!(falseAlarm > 0 && falseAlarm < 1)) {
      throw new IllegalArgumentException(
          "a chance of a false alarm lies between 0 and 1, not at " + falseAlarm);
    }
    this.falseAlarmProbability = falseAlarm;
    this.maxLosses = harms.clone();
    Arrays.setAll(worseTests, i -> new BettingTest());
    noWorseTests = new BettingTest[harms.length];
    Arrays.setAll(noWorseTests, i -> new BettingTest());
  }

  /** Another pair of relays to be compared. */
  public MatchedWindows newPair() {
    return new MatchedWindows(this);
  }

  void pairStarted() {
    pairs++;
  }

  void record(Measure measure, double difference, double stray) {
    int i = measure.ordinal();
    samples[i]++;
    differences[i] += difference;
    squaredErrors[i] += stray * stray;
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
   * What can be said now.
   *
   * @param harm the index of the harm that is to be ruled out
   */
  public Result result(int harm) {
    if (worstMeasure() != null) {
      return Result.WORSE;
    }
    return noWorseTests[harm].everExceeded(MISSED_HARM_PROBABILITY)
        ? Result.NO_WORSE
        : Result.NOT_SURE;
  }

  private Measure worstMeasure() {
    Measure found = null;
    for (Measure kind : MEASURES) {
      boolean sure =
          worseTests[kind.ordinal()].everExceeded(falseAlarmProbability / MEASURES.length);
      if (sure
          && (found == null
              || worseTests[kind.ordinal()].logWealth()
                  > worseTests[found.ordinal()].logWealth())) {
        found = kind;
      }
    }
    return found;
  }

  /** The reason of the result in one line, for people. */
  public String explanation() {
    Measure worst = worstMeasure();
    Measure told = worst == null ? Measure.UNSERVED : worst;
    int i = told.ordinal();
    if (samples[i] == 0) {
      return "nothing was seen side by side yet";
    }
    double mean = differences[i] / samples[i];
    boolean share = told.ordinal() <= Measure.LOST.ordinal();
    String by =
        share
            ? String.format(java.util.Locale.ROOT, "%+.4f", mean)
            : String.format(java.util.Locale.ROOT, "%+.0f%%", 100 * Math.expm1(mean));
    return told.name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + by
        + " beside "
        + pairs
        + " that did not change, in "
        + samples[i]
        + " looks"
        + (worst == null ? "" : ": worse than a margin of " + told.margin);
  }
}
