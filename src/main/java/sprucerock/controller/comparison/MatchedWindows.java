package sprucerock.controller.comparison;

/**
 * Two relays alike in zone, load and age, of which one changes and the other, restarted with it,
 * does not. Their windows come together; those with little in them are put together until there is
 * enough, so that neither is seen more finely than the other: a relay with two RPCs in a window
 * would look perfect in most of them and terrible in a few.
 */
public final class MatchedWindows {
  /**
   * RPCs on each side for one look. With 25, a share of 0.97 strays by 0.05 between two that are
   * alike.
   */
  static final int MIN_RPCS = 25;

  private static final int MEASURE_COUNT = Measure.values().length;

  private final Comparison comparison;

  /**
   * By how much the one that changes was worse already before it did: sums, their squares, looks.
   */
  private final double[] differencesBefore = new double[MEASURE_COUNT];

  private final double[] squaresBefore = new double[MEASURE_COUNT];
  private final int[] samplesBefore = new int[MEASURE_COUNT];
  private Window updatedSum = Window.NONE;
  private Window controlSum = Window.NONE;
  private Window firstUpdated;
  private Window firstControl;

  MatchedWindows(Comparison all) {
    this.comparison = all;
  }

  /** A window before the update: what the two differ in by themselves is not blamed on it. */
  public void recordBefore(Window changes, Window stays) {
    if (!accumulate(changes, stays)) {
      return;
    }
    for (Measure measure : Measure.values()) {
      double worse = updatedSum.value(measure, updatedSum) - controlSum.value(measure, controlSum);
      if (!Double.isFinite(worse) || measure == Measure.GROWTH) {
        continue;
      }
      differencesBefore[measure.ordinal()] += worse;
      squaresBefore[measure.ordinal()] += worse * worse;
      samplesBefore[measure.ordinal()]++;
    }
    updatedSum = Window.NONE;
    controlSum = Window.NONE;
  }

  /** A window after the update. */
  public void recordAfter(Window changed, Window stayed) {
    if (firstUpdated == null) {
      startComparing();
    }
    if (!accumulate(changed, stayed)) {
      return;
    }
    if (firstUpdated == Window.NONE) {
      firstUpdated = changed;
      firstControl = controlSum;
    }
    for (Measure measure : Measure.values()) {
      double worse = changed.value(measure, firstUpdated) - controlSum.value(measure, firstControl);
      if (Double.isFinite(worse)) {
        comparison.record(measure, worse - usualDifference(measure), standardError(measure));
      }
    }
    changed = Window.NONE;
    controlSum = Window.NONE;
  }

  private void startComparing() { // nothing of before counts as after
    updatedSum = Window.NONE;
    controlSum = Window.NONE;
    firstUpdated = Window.NONE;
    comparison.pairStarted();
  }

  private boolean accumulate(Window one, Window other) {
    updatedSum = updatedSum.plus(one);
    controlSum = controlSum.plus(other);
    return updatedSum.rpcs() >= MIN_RPCS && controlSum.rpcs() >= MIN_RPCS;
  }

  /** Drawn towards no difference by four looks: what few looks show is mostly chance. */
  private double usualDifference(Measure measure) {
    int i = measure.ordinal();
    return differencesBefore[i] / (samplesBefore[i] + 4);
  }

  /**
   * A standard error of the usual difference; that of a difference nobody looked at is the reach's
   * eighth.
   */
  private double standardError(Measure measure) {
    int i = measure.ordinal();
    double unknown = measure.maxDifference / 8;
    double mean = differencesBefore[i] / Math.max(samplesBefore[i], 1);
    double variance =
        (Math.max(0, squaresBefore[i] - samplesBefore[i] * mean * mean) + unknown * unknown)
            / (samplesBefore[i] + 1);
    return Math.sqrt(variance / (samplesBefore[i] + 1));
  }
}
