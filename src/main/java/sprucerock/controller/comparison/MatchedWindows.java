package sprucerock.controller.comparison;

/**
 * Matches the windows of an updated relay and of its control: two relays alike in zone, load and
 * age, of which the control is restarted at the same time but not updated. Windows with few RPCs
 * are summed until there are enough on both sides, so that both sides are sampled equally finely: a
 * relay with two RPCs per window would look perfect in most windows and terrible in a few.
 */
public final class MatchedWindows {
  /**
   * The least RPCs on each side for one sample. With 25, a share of 0.97 differs by 0.05 between
   * two relays that are alike.
   */
  static final int MIN_RPCS = 25;

  private static final int MEASURE_COUNT = Measure.values().length;

  private final Comparison comparison;

  /**
   * By how much the updated relay was worse already before its update: the sums of the differences,
   * the sums of their squares and the numbers of samples, by measure.
   */
  private final double[] differencesBefore = new double[MEASURE_COUNT];

  private final double[] squaresBefore = new double[MEASURE_COUNT];
  private final int[] samplesBefore = new int[MEASURE_COUNT];
  private Window updatedSum = Window.NONE;
  private Window controlSum = Window.NONE;
  private Window firstUpdated;
  private Window firstControl;

  MatchedWindows(Comparison comparison) {
    this.comparison = comparison;
  }

  /**
   * Records a window before the update. Differences that the two relays have before the update are
   * not attributed to it.
   */
  public void recordBefore(Window updated, Window control) {
    if (!accumulate(updated, control)) {
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

  /** Records a window after the update. */
  public void recordAfter(Window updated, Window control) {
    if (firstUpdated == null) {
      startComparing();
    }
    if (!accumulate(updated, control)) {
      return;
    }
    if (firstUpdated == Window.NONE) {
      firstUpdated = updated;
      firstControl = controlSum;
    }
    for (Measure measure : Measure.values()) {
      double worse = updated.value(measure, firstUpdated) - controlSum.value(measure, firstControl);
      if (Double.isFinite(worse)) {
        comparison.record(measure, worse - usualDifference(measure), standardError(measure));
      }
    }
    updated = Window.NONE;
    controlSum = Window.NONE;
  }

  /** Starts the comparison; windows from before the update don't count after it. */
  private void startComparing() {
    updatedSum = Window.NONE;
    controlSum = Window.NONE;
    firstUpdated = Window.NONE;
    comparison.pairStarted();
  }

  private boolean accumulate(Window updated, Window control) {
    updatedSum = updatedSum.plus(updated);
    controlSum = controlSum.plus(control);
    return updatedSum.rpcs() >= MIN_RPCS && controlSum.rpcs() >= MIN_RPCS;
  }

  /**
   * Returns the mean difference before the update, shrunk towards zero by four samples without a
   * difference: what few samples show is mostly chance.
   */
  private double usualDifference(Measure measure) {
    int i = measure.ordinal();
    return differencesBefore[i] / (samplesBefore[i] + 4);
  }

  /**
   * Returns the standard error of the usual difference. Without samples it is an eighth of the
   * measure's maximal difference.
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
