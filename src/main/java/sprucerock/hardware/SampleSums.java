package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * The times that one relay observed in one window, in the form that it sends to the process that
 * fits the model. Bounded. Safe to receive twice: later sums of the same relay and window contain
 * the earlier ones and replace them. Not thread-safe.
 */
public final class SampleSums {
  /**
   * The largest number of cells in a window. A relay with more methods, families and builds leaves
   * out the cells that it observed last.
   */
  public static final int MAX_CELLS = 256;

  private final int relay;
  private final long window;
  private final TreeMap<Cell, RunningMoments> cells = new TreeMap<>();
  private long droppedSamples;

  /**
   * Creates empty sums.
   *
   * @param window the number of the window, which is the same at all relays for the same time
   */
  public SampleSums(int relay, long window) {
    this.relay = relay;
    this.window = window;
  }

  /**
   * Adds a successful attempt.
   *
   * @param others the number of other attempts that the endpoint had in flight when this attempt
   *     was sent
   * @param ms the duration of the attempt
   */
  public void add(int method, int family, int build, int others, double ms) {
    Cell cell = Cell.of(method, family, build, others);
    if (cells.size() >= MAX_CELLS && !cells.containsKey(cell)) {
      droppedSamples++;
    } else {
      cells.merge(cell, RunningMoments.EMPTY.plus(ms), RunningMoments::plus);
    }
  }

  /** Adds a received cell, or drops it if there are {@link #MAX_CELLS} cells. */
  public void put(Cell cell, RunningMoments sums) {
    if (cells.size() < MAX_CELLS) {
      cells.put(cell, sums);
    }
  }

  /** Returns the relay's number. */
  public int relay() {
    return relay;
  }

  /** Returns the window's number. */
  public long window() {
    return window;
  }

  /** Returns the sums by cell, in the order of the cells. */
  public Map<Cell, RunningMoments> cells() {
    return cells;
  }

  /** Returns the number of attempts in all cells. */
  double count() {
    return cells.values().stream().mapToDouble(RunningMoments::count).sum();
  }

  /** Returns the number of attempts left out because there were {@link #MAX_CELLS} cells. */
  public long droppedSamples() {
    return droppedSamples;
  }
}
