package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Old and new side by side, answered as data come and looked at as often as one likes. Each look at
 * a {@link MatchedWindows} is one bet a measure that what has changed is worse by more than the
 * margin; beside it run bets that it is not worse by a stated harm. It knows neither relays nor
 * versions by name, and no clock. What it can't see: harm that both sides suffer alike, which is
 * the {@link BaselineLevel}'s to find.
 */
public final class Comparison {
  public enum Result {
    WORSE,
    NO_WORSE,
    NOT_SURE
  }

  private static final Measure[] MEASURES = Measure.values();
  private static final double MISSED_HARM =
      0.05; // the chance to take harm for none; the one stated error on that side
  // two standard errors of what couples differ by anyhow, over all of them: else one pair that is
  // unlike would look guilty in time
  private static final double MARGIN_STANDARD_ERRORS = 2;

  private final double falseAlarm;
  private final double[] harms;
  private final BettingTest[] worse = new BettingTest[MEASURES.length];
  private final BettingTest[] noWorse;
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
    this.falseAlarm = falseAlarm;
    this.harms = harms.clone();
    Arrays.setAll(worse, i -> new BettingTest());
    noWorse = new BettingTest[harms.length];
    Arrays.setAll(noWorse, i -> new BettingTest());
  }

  /** Two more that are compared. */
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
    worse[i].add((difference - margin) / measure.maxDifference);
    for (int h = 0; measure == Measure.UNSERVED && h < harms.length; h++) {
      noWorse[h].add((harms[h] - difference) / measure.maxDifference);
    }
  }

  /**
   * What can be said now; {@code harm}: the place of one of the harms, which no more than that is
   * to be ruled out.
   */
  public Result result(int harm) {
    if (worst() != null) {
      return Result.WORSE;
    }
    return noWorse[harm].everExceeded(MISSED_HARM) ? Result.NO_WORSE : Result.NOT_SURE;
  }

  private Measure worst() {
    Measure found = null;
    for (Measure kind : MEASURES) {
      boolean sure = worse[kind.ordinal()].everExceeded(falseAlarm / MEASURES.length);
      if (sure
          && (found == null
              || worse[kind.ordinal()].logWealth() > worse[found.ordinal()].logWealth())) {
        found = kind;
      }
    }
    return found;
  }

  /** For people: the answer's reason, in one line. */
  public String explanation() {
    Measure worst = worst();
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
