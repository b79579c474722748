package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Old and new side by side, answered as data come and looked at as often as one likes. Each look at
 * a {@link MatchedWindows} is one bet a measure that what has changed is worse by more than the
 * margin; beside it run bets that it is not worse by a stated harm. It knows neither relays nor
 * versions by name, and no clock. What it can't see: harm that both sides suffer alike, which is
 * the {@link Level}'s to find.
 */
public final class Comparison {
  public enum Answer {
    WORSE,
    NO_WORSE,
    NOT_SURE
  }

  private static final Measure[] KINDS = Measure.values();
  private static final double UNSEEN =
      0.05; // the chance to take harm for none; the one stated error on that side
  // two standard errors of what couples differ by anyhow, over all of them: else one pair that is
  // unlike would look guilty in time
  private static final double ERRORS = 2;

  private final double falseAlarm;
  private final double[] harms;
  private final BettingTest[] worse = new BettingTest[KINDS.length];
  private final BettingTest[] fine;
  private final double[] sums = new double[KINDS.length];
  private final double[] strays = new double[KINDS.length];
  private final int[] looks = new int[KINDS.length];
  private int couples;

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
    fine = new BettingTest[harms.length];
    Arrays.setAll(fine, i -> new BettingTest());
  }

  /** Two more that are compared. */
  public MatchedWindows couple() {
    return new MatchedWindows(this);
  }

  void joined() {
    couples++;
  }

  void seen(Measure measure, double difference, double stray) {
    int i = measure.ordinal();
    looks[i]++;
    sums[i] += difference;
    strays[i] += stray * stray;
    double margin =
        measure.margin + ERRORS * Math.sqrt(strays[i] / looks[i] / Math.max(couples, 1));
    worse[i].add((difference - margin) / measure.reach);
    for (int h = 0; measure == Measure.UNSERVED && h < harms.length; h++) {
      fine[h].add((harms[h] - difference) / measure.reach);
    }
  }

  /**
   * What can be said now; {@code harm}: the place of one of the harms, which no more than that is
   * to be ruled out.
   */
  public Answer answer(int harm) {
    if (worst() != null) {
      return Answer.WORSE;
    }
    return fine[harm].passed(UNSEEN) ? Answer.NO_WORSE : Answer.NOT_SURE;
  }

  private Measure worst() {
    Measure found = null;
    for (Measure kind : KINDS) {
      boolean sure = worse[kind.ordinal()].passed(falseAlarm / KINDS.length);
      if (sure && (found == null || worse[kind.ordinal()].log() > worse[found.ordinal()].log())) {
        found = kind;
      }
    }
    return found;
  }

  /** For people: the answer's reason, in one line. */
  public String why() {
    Measure worst = worst();
    Measure told = worst == null ? Measure.UNSERVED : worst;
    int i = told.ordinal();
    if (looks[i] == 0) {
      return "nothing was seen side by side yet";
    }
    double mean = sums[i] / looks[i];
    boolean share = told.ordinal() <= Measure.LOST.ordinal();
    String by =
        share
            ? String.format(java.util.Locale.ROOT, "%+.4f", mean)
            : String.format(java.util.Locale.ROOT, "%+.0f%%", 100 * Math.expm1(mean));
    return told.name().toLowerCase(java.util.Locale.ROOT)
        + " "
        + by
        + " beside "
        + couples
        + " that did not change, in "
        + looks[i]
        + " looks"
        + (worst == null ? "" : ": worse than a margin of " + told.margin);
  }
}
