package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * The samples of the last windows of all relays, as the process that fits received them. Bounded by
 * windows, relays and cells. Not thread-safe; {@link #copy} may go to another thread.
 */
public final class Observation {
  /**
   * Windows that are kept: ten minutes at ten seconds each, in which hardware does not change but
   * for what is to be noticed.
   */
  public static final int MAX_WINDOWS = 60;

  /** Relays that are kept of a window. */
  public static final int MAX_RELAYS = 2000;

  private final TreeMap<Long, TreeMap<Integer, SampleSums>> windows = new TreeMap<>();

  /**
   * Adds a relay's sums.
   *
   * @return true where they say something new; sums that hold less than what is known of their
   *     relay and window came late or twice
   */
  public boolean add(SampleSums sample) {
    if (!windows.isEmpty() && sample.window() <= windows.lastKey() - MAX_WINDOWS) {
      return false;
    }
    Map<Integer, SampleSums> window =
        windows.computeIfAbsent(sample.window(), any -> new TreeMap<>());
    SampleSums before = window.get(sample.relay());
    if (before != null ? before.count() >= sample.count() : window.size() >= MAX_RELAYS) {
      return false;
    }
    window.put(sample.relay(), sample);
    while (windows.firstKey() <= windows.lastKey() - MAX_WINDOWS) {
      windows.pollFirstEntry();
    }
    return true;
  }

  /** The same at this moment; sums that were received are never changed. */
  public Observation copy() {
    Observation made = new Observation();
    windows.forEach((window, relays) -> made.windows.put(window, new TreeMap<>(relays)));
    return made;
  }

  /** All relays' cells of each window from one on, added up. */
  Map<Long, Map<Cell, RunningMoments>> since(long first) {
    Map<Long, Map<Cell, RunningMoments>> all = new TreeMap<>();
    windows
        .tailMap(first)
        .forEach(
            (window, relays) -> {
              Map<Cell, RunningMoments> sums = new TreeMap<>();
              for (SampleSums sample : relays.values()) {
                sample.cells().forEach((cell, one) -> sums.merge(cell, one, RunningMoments::plus));
              }
              all.put(window, sums);
            });
    return all;
  }

  /** The newest window; 0: there is none. */
  public long newestWindow() {
    return windows.isEmpty() ? 0 : windows.lastKey();
  }
}
