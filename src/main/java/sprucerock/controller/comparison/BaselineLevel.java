package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Holds those that did not change against themselves before a stage began: harm that the changed
 * ones do to others (connections, votes, messages, cold units) is in no couple. What hits everybody
 * looks the same here, whatever its cause; so the answer is not who is to blame but whether it is a
 * time to go on. Only a loss that comes with the stage, and stays, counts.
 */
public final class BaselineLevel {
  // what a burst or a bad build of the units takes off for a while; a stage may wait that long, and
  // goes on once it is over
  private static final double MIN_LOSS = 0.03;
  private static final int MIN_LOW_WINDOWS = 5;

  private final double[] before;
  private int windowsRecorded;
  private double baseline = Double.NaN;
  private double latest = Double.NaN;
  private int windowsLow;

  /** {@code windows}: how many make up the level before. */
  public BaselineLevel(int windows) {
    before = new double[windows];
  }

  /** A window of all that did not change, together. */
  public void record(Window all) {
    if (all.weight() <= 0) {
      return;
    }
    latest = all.weightInTime() / all.weight();
    if (Double.isNaN(baseline)) {
      before[windowsRecorded++ % before.length] = latest;
    } else {
      windowsLow = latest < baseline - MIN_LOSS ? windowsLow + 1 : 0;
    }
  }

  /** A stage begins: from here on it is held against what was. */
  public void stageStarted() {
    int size = Math.min(windowsRecorded, before.length);
    if (size == 0) {
      return;
    }
    double[] sorted = Arrays.copyOf(before, size);
    Arrays.sort(sorted);
    if (Double.isNaN(baseline)) {
      baseline = sorted[size / 2];
    }
    windowsLow = 0;
  }

  /** Nothing is under way any more. */
  public void reset() {
    baseline = Double.NaN;
    windowsRecorded = 0;
    windowsLow = 0;
  }

  /**
   * So many windows in a row lie well below the level before; none is a reason to wait while there
   * are few.
   */
  public int windowsBelowBaseline() {
    return windowsLow < MIN_LOW_WINDOWS ? 0 : windowsLow;
  }

  /** For people. */
  public String explanation() {
    return String.format(
        java.util.Locale.ROOT,
        "those that did not change serve %.3f of the worth in time, %.3f before",
        latest,
        baseline);
  }
}
