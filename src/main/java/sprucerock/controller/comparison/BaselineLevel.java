package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Compares the relays that were not updated with their own baseline before the deployment. Harm
 * that updated relays do to other relays (by connections, votes, messages or cold endpoints) is not
 * visible in any pair. A loss of the whole fleet looks the same here whatever its cause, so the
 * result only says whether the deployment should wait. A loss counts once it has lasted for several
 * windows of the stage.
 */
public final class BaselineLevel {
  /**
   * The smallest loss that counts. A burst of traffic or a bad build of the endpoints may cause
   * such a loss too; the stage then waits, and continues once the loss is over.
   */
  private static final double MIN_LOSS = 0.03;

  private static final int MIN_LOW_WINDOWS = 5;

  private final double[] baselineSamples;
  private int windowsRecorded;
  private double baseline = Double.NaN;
  private double latest = Double.NaN;
  private int windowsLow;

  /**
   * Creates a level without a baseline.
   *
   * @param windows the number of last windows whose median is the baseline
   */
  public BaselineLevel(int windows) {
    baselineSamples = new double[windows];
  }

  /** Records the sum of the windows of all relays that were not updated. */
  public void record(Window total) {
    if (total.weight() <= 0) {
      return;
    }
    latest = total.weightInTime() / total.weight();
    if (Double.isNaN(baseline)) {
      baselineSamples[windowsRecorded++ % baselineSamples.length] = latest;
    } else {
      windowsLow = latest < baseline - MIN_LOSS ? windowsLow + 1 : 0;
    }
  }

  /**
   * Begins a stage. Its windows are compared with the baseline from before the first stage, and the
   * count of low windows starts again.
   */
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

  /** Drops the baseline; to be called once no deployment is active. */
  public void reset() {
    baseline = Double.NaN;
    windowsRecorded = 0;
    windowsLow = 0;
  }

  /**
   * Returns how many windows in a row lie well below the baseline, or 0 while there are too few to
   * make a stage wait.
   */
  public int windowsBelowBaseline() {
    return windowsLow < MIN_LOW_WINDOWS ? 0 : windowsLow;
  }

  /** Describes the last window and the baseline in one line, for people. */
  public String explanation() {
    return String.format(
        java.util.Locale.ROOT,
        "relays that were not updated serve %.3f of the weight in time, %.3f before the deployment",
        latest,
        baseline);
  }
}
