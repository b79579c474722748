package sprucerock.controller.comparison;

/**
 * Matches the windows of an updated relay and of its control: two relays alike in zone, load and
 * age, of which the control is restarted at the same time but not updated. Windows with few RPCs
 * are summed until there are enough on both sides: a relay with two RPCs per window would look
 * perfect in most windows and terrible in a few. A sample consists of the sums of both sides, which
 * are thus sampled equally finely.
 */
public final class MatchedWindows {
  /**
   * The minimum of RPCs on each side for one sample. With 25, the difference of a share of 0.97
   * between two relays that are alike has a standard deviation of 0.05.
   */
  static final int MIN_RPCS = 25;

  private static final int MEASURE_COUNT = Measure.values().length;

  private final Comparison comparison;

  /**
   * By how much the updated relay was worse than its control already before the update: the sum of
   * the differences by measure. The next two fields have the sums of their squares and their
   * number.
   */
  private final double[] differenceSumsBefore = new double[MEASURE_COUNT];

  private final double[] squareSumsBefore = new double[MEASURE_COUNT];
  private final int[] sampleCountsBefore = new int[MEASURE_COUNT];
  private Window updatedSum = Window.NONE;
  private Window controlSum = Window.NONE;

  /**
   * The updated relay's sum in the first sample after the update; null before the update, and
   * {@link Window#NONE} until that sample.
   */
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
      double difference =
          updatedSum.value(measure, updatedSum) - controlSum.value(measure, controlSum);
      if (!Double.isFinite(difference) || measure == Measure.GROWTH) {
        continue;
      }
      differenceSumsBefore[measure.ordinal()] += difference;
      squareSumsBefore[measure.ordinal()] += difference * difference;
      sampleCountsBefore[measure.ordinal()]++;
    }
    updatedSum = Window.NONE;
    controlSum = Window.NONE;
  }

  /**
   * Records a window after the update. A sample compares the sums of both sides' windows since the
   * previous sample.
   */
  public void recordAfter(Window updated, Window control) {
    if (firstUpdated == null) {
      startComparing();
    }
    if (!accumulate(updated, control)) {
      return;
    }
    if (firstUpdated == Window.NONE) {
      firstUpdated = updatedSum;
      firstControl = controlSum;
    }
    for (Measure measure : Measure.values()) {
      double difference =
          updatedSum.value(measure, firstUpdated) - controlSum.value(measure, firstControl);
      if (Double.isFinite(difference)) {
        comparison.record(measure, difference - usualDifference(measure), standardError(measure));
      }
    }
    updatedSum = Window.NONE;
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
   * Returns the mean difference before the update, with four samples of difference zero added: the
   * mean of few samples is mostly chance.
   */
  private double usualDifference(Measure measure) {
    int i = measure.ordinal();
    return differenceSumsBefore[i] / (sampleCountsBefore[i] + 4);
  }

  /**
   * Returns the standard error of the usual difference. Without samples it is an eighth of the
   * measure's maximal difference.
   */
  private double standardError(Measure measure) {
    int i = measure.ordinal();
    double priorError = measure.maxDifference / 8;
    double mean = differenceSumsBefore[i] / Math.max(sampleCountsBefore[i], 1);
    double variance =
        (Math.max(0, squareSumsBefore[i] - sampleCountsBefore[i] * mean * mean)
                + priorError * priorError)
            / (sampleCountsBefore[i] + 1);
    return Math.sqrt(variance / (sampleCountsBefore[i] + 1));
  }
}
