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

  private static final int KINDS = Measure.values().length;

  private final Comparison comparison;

  /**
   * By how much the one that changes was worse already before it did: sums, their squares, looks.
   */
  private final double[] differencesBefore = new double[KINDS];

  private final double[] squaresBefore = new double[KINDS];
  private final int[] samplesBefore = new int[KINDS];
  private Window changed = Window.NONE;
  private Window control = Window.NONE;
  private Window firstChanged;
  private Window firstControl;

  MatchedWindows(Comparison all) {
    this.comparison = all;
  }

  /** A window before the change: what they differ in by themselves is not blamed on it. */
  public void recordBefore(Window changes, Window stays) {
    if (!accumulate(changes, stays)) {
      return;
    }
    for (Measure measure : Measure.values()) {
      double worse = changed.value(measure, changed) - control.value(measure, control);
      if (!Double.isFinite(worse) || measure == Measure.GROWTH) {
        continue;
      }
      differencesBefore[measure.ordinal()] += worse;
      squaresBefore[measure.ordinal()] += worse * worse;
      samplesBefore[measure.ordinal()]++;
    }
    changed = Window.NONE;
    control = Window.NONE;
  }

  /** A window after it. */
  public void recordAfter(Window changed, Window stayed) {
    if (firstChanged == null) {
      startComparing();
    }
    if (!accumulate(changed, stayed)) {
      return;
    }
    if (firstChanged == Window.NONE) {
      firstChanged = changed;
      firstControl = control;
    }
    for (Measure measure : Measure.values()) {
      double worse = changed.value(measure, firstChanged) - control.value(measure, firstControl);
      if (Double.isFinite(worse)) {
        comparison.record(measure, worse - usualDifference(measure), standardError(measure));
      }
    }
    changed = Window.NONE;
    control = Window.NONE;
  }

  private void startComparing() { // nothing of before counts as after
    changed = Window.NONE;
    control = Window.NONE;
    firstChanged = Window.NONE;
    comparison.pairStarted();
  }

  private boolean accumulate(Window one, Window other) {
    changed = changed.plus(one);
    control = control.plus(other);
    return changed.rpcs() >= MIN_RPCS && control.rpcs() >= MIN_RPCS;
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
