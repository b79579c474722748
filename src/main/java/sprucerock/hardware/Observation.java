package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * The samples of the last windows of all relays, as received by the process that fits the model.
 * Bounded in windows, relays and cells. Not thread-safe; another thread may use a {@link #copy}.
 */
public final class Observation {
  /**
   * The largest number of windows: ten minutes in windows of ten seconds. The hardware of a family
   * seldom changes within that time, and such a change should be detected.
   */
  public static final int MAX_WINDOWS = 60;

  /** The largest number of relays in a window. */
  public static final int MAX_RELAYS = 2000;

  private final TreeMap<Long, TreeMap<Integer, SampleSums>> windows = new TreeMap<>();

  /**
   * Adds a relay's sums for one window.
   *
   * @return true if the sums are new; sums with no more samples than the known ones of the same
   *     relay and window arrived late or twice and are ignored
   */
  public boolean add(SampleSums sums) {
    if (!windows.isEmpty() && sums.window() <= windows.lastKey() - MAX_WINDOWS) {
      return false;
    }
    Map<Integer, SampleSums> window =
        windows.computeIfAbsent(sums.window(), absent -> new TreeMap<>());
    SampleSums before = window.get(sums.relay());
    if (before != null ? before.count() >= sums.count() : window.size() >= MAX_RELAYS) {
      return false;
    }
    window.put(sums.relay(), sums);
    while (windows.firstKey() <= windows.lastKey() - MAX_WINDOWS) {
      windows.pollFirstEntry();
    }
    return true;
  }

  /** Returns a copy. It shares the received sums, which are never changed. */
  public Observation copy() {
    Observation copy = new Observation();
    windows.forEach((window, relays) -> copy.windows.put(window, new TreeMap<>(relays)));
    return copy;
  }

  /** Returns the cells of each window from {@code first} on, summed over all relays. */
  Map<Long, Map<Cell, RunningMoments>> since(long first) {
    Map<Long, Map<Cell, RunningMoments>> all = new TreeMap<>();
    windows
        .tailMap(first)
        .forEach(
            (window, relays) -> {
              Map<Cell, RunningMoments> sums = new TreeMap<>();
              for (SampleSums relaySums : relays.values()) {
                relaySums
                    .cells()
                    .forEach((cell, moments) -> sums.merge(cell, moments, RunningMoments::plus));
              }
              all.put(window, sums);
            });
    return all;
  }

  /** Returns the newest window; 0: there is none. */
  public long newestWindow() {
    return windows.isEmpty() ? 0 : windows.lastKey();
  }
}
