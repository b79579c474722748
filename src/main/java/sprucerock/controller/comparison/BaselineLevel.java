package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Compares the relays that were not updated with themselves before a stage began: harm that the
 * updated ones do to others (connections, votes, messages, cold endpoints) is in no pair. What hits
 * everybody looks the same here, whatever its cause; so the answer is not who is to blame but
 * whether it is a time to go on. Only a loss that comes with the stage, and stays, counts.
 */
public final class BaselineLevel {
  // what a burst or a bad build of the units takes off for a while; a stage may wait that long, and
  // goes on once it is over
  private static final double MIN_LOSS = 0.03;
  private static final int MIN_LOW_WINDOWS = 5;

  private final double[] baselineSamples;
  private int windowsRecorded;
  private double baseline = Double.NaN;
  private double latest = Double.NaN;
  private int windowsLow;

  /** The baseline is the median of the last so many windows. */
  public BaselineLevel(int windows) {
    baselineSamples = new double[windows];
  }

  /** A window of all relays that were not updated, together. */
  public void record(Window all) {
    if (all.weight() <= 0) {
      return;
    }
    latest = all.weightInTime() / all.weight();
    if (Double.isNaN(baseline)) {
      baselineSamples[windowsRecorded++ % baselineSamples.length] = latest;
    } else {
      windowsLow = latest < baseline - MIN_LOSS ? windowsLow + 1 : 0;
    }
  }

  /** A stage begins: later windows are compared with the baseline before the first one. */
  public void stageStarted() {
    int size = Math.min(windowsRecorded, baselineSamples.length);
    if (size == 0) {
      return;
    }
    double[] sorted = Arrays.copyOf(baselineSamples, size);
    Arrays.sort(sorted);
    if (Double.isNaN(baseline)) {
      baseline = sorted[size / 2];
    }
    windowsLow = 0;
  }

  /** No deployment is active any more. */
  public void reset() {
    baseline = Double.NaN;
    windowsRecorded = 0;
    windowsLow = 0;
  }

  /**
   * How many windows in a row lie well below the baseline; 0 while there are too few to wait for.
   */
  public int windowsBelowBaseline() {
    return windowsLow < MIN_LOW_WINDOWS ? 0 : windowsLow;
  }

  /** The last window and the baseline in one line, for people. */
  public String explanation() {
    return String.format(
        java.util.Locale.ROOT,
        "those that did not change serve %.3f of the worth in time, %.3f before",
        latest,
        baseline);
  }
}
