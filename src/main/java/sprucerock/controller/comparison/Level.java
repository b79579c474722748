package sprucerock.controller.comparison;

import java.util.Arrays;

/**
 * Holds those that did not change against themselves before a stage began: harm that the changed
 * ones do to others (connections, votes, messages, cold units) is in no couple. What hits everybody
 * looks the same here, whatever its cause; so the answer is not who is to blame but whether it is a
 * time to go on. Only a loss that comes with the stage, and stays, counts.
 */
public final class Level {
  // what a burst or a bad build of the units takes off for a while; a stage may wait that long, and
  // goes on once it is over
  private static final double LOSS = 0.03;
  private static final int FEW = 5;

  private final double[] before;
  private int known;
  private double mark = Double.NaN;
  private double now = Double.NaN;
  private int low;

  /** {@code windows}: how many make up the level before. */
  public Level(int windows) {
    before = new double[windows];
  }

  /** A window of all that did not change, together. */
  public void seen(Window all) {
    if (all.worth() <= 0) {
      return;
    }
    now = all.inTime() / all.worth();
    if (Double.isNaN(mark)) {
      before[known++ % before.length] = now;
    } else {
      low = now < mark - LOSS ? low + 1 : 0;
    }
  }

  /** A stage begins: from here on it is held against what was. */
  public void stage() {
    int size = Math.min(known, before.length);
    if (size == 0) {
      return;
    }
    double[] sorted = Arrays.copyOf(before, size);
    Arrays.sort(sorted);
    if (Double.isNaN(mark)) {
      mark = sorted[size / 2];
    }
    low = 0;
  }

  /** Nothing is under way any more. */
  public void over() {
    mark = Double.NaN;
    known = 0;
    low = 0;
  }

  /**
   * So many windows in a row lie well below the level before; none is a reason to wait while there
   * are few.
   */
  public int lowFor() {
    return low < FEW ? 0 : low;
  }

  /** For people. */
  public String why() {
    return String.format(
        java.util.Locale.ROOT,
        "those that did not change serve %.3f of the worth in time, %.3f before",
        now,
        mark);
  }
}
