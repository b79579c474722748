package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one relay saw in one window, as it goes to whoever fits: bounded, and safe to be received
 * twice, as a later one of the same relay and window holds all of an earlier one and takes its
 * place.
 */
public final class SampleSums {
  /**
   * Cells of a window; a relay with more methods, families and builds than that leaves out the ones
   * it met last.
   */
  public static final int MAX_CELLS = 256;

  private final int relay;
  private final long window;
  private final TreeMap<Cell, RunningMoments> cells = new TreeMap<>();
  private long droppedSamples;

  /** {@code window}: the same number for the same stretch of time at all relays. */
  public SampleSums(int relay, long window) {
    this.relay = relay;
    this.window = window;
  }

  /**
   * A pick ended ok after so many milliseconds, on a unit that held so many others when it was
   * sent.
   */
  public void add(int method, int family, int build, int others, double ms) {
    Cell cell = Cell.of(method, family, build, others);
    if (cells.size() >= MAX_CELLS && !cells.containsKey(cell)) {
      droppedSamples++;
    } else {
      cells.merge(cell, RunningMoments.NONE.plus(ms), RunningMoments::plus);
    }
  }

  /** A cell as it was told. */
  public void put(Cell cell, RunningMoments sums) {
    if (cells.size() < MAX_CELLS) {
      cells.put(cell, sums);
    }
  }

  public int relay() {
    return relay;
  }

  public long window() {
    return window;
  }

  public Map<Cell, RunningMoments> cells() {
    return cells;
  }

  /** Picks in it. */
  double count() {
    return cells.values().stream().mapToDouble(RunningMoments::count).sum();
  }

  /** Picks that found no room. */
  public long droppedSamples() {
    return droppedSamples;
  }
}
