package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one relay observed in one window, as it goes to the process that fits: bounded, and safe to
 * be received twice, as a later one of the same relay and window holds all of an earlier one and
 * takes its place. Not thread-safe.
 */
public final class SampleSums {
  /**
   * Cells of a window at most; a relay with more methods, families and builds than that leaves out
   * the ones it met last.
   */
  public static final int MAX_CELLS = 256;

  private final int relay;
  private final long window;
  private final TreeMap<Cell, RunningMoments> cells = new TreeMap<>();
  private long droppedSamples;

  /** An empty one; {@code window}: the same number for the same stretch of time at all relays. */
  public SampleSums(int relay, long window) {
    this.relay = relay;
    this.window = window;
  }

  /**
   * An attempt succeeded after so many milliseconds, on an endpoint that had so many others in
   * flight when it was sent.
   */
  public void add(int method, int family, int build, int others, double ms) {
    Cell cell = Cell.of(method, family, build, others);
    if (cells.size() >= MAX_CELLS && !cells.containsKey(cell)) {
      droppedSamples++;
    } else {
      cells.merge(cell, RunningMoments.EMPTY.plus(ms), RunningMoments::plus);
    }
  }

  /** A cell as it was received; dropped where there are {@link #MAX_CELLS} already. */
  public void put(Cell cell, RunningMoments sums) {
    if (cells.size() < MAX_CELLS) {
      cells.put(cell, sums);
    }
  }

  /** The relay's number. */
  public int relay() {
    return relay;
  }

  /** The window's number. */
  public long window() {
    return window;
  }

  /** By cell, in their order. */
  public Map<Cell, RunningMoments> cells() {
    return cells;
  }

  /** Attempts in it. */
  double count() {
    return cells.values().stream().mapToDouble(RunningMoments::count).sum();
  }

  /** Attempts that were left out, as there were {@link #MAX_CELLS} cells already. */
  public long droppedSamples() {
    return droppedSamples;
  }
}
