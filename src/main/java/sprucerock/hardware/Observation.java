package sprucerock.hardware;

import java.util.Map;
import java.util.TreeMap;

/**
 * All tallies of the last windows, of all relays, as whoever fits was told them. Bounded by
 * windows, relays and cells.
 */
public final class Observation {
  /**
   * Windows that are kept: at ten seconds each ten minutes, in which hardware does not change but
   * for what is to be noticed.
   */
  public static final int WINDOWS = 60;

  public static final int MOST_RELAYS = 2000;

  private final TreeMap<Long, TreeMap<Integer, SampleSums>> windows = new TreeMap<>();

  /**
   * True where it says something new; one that holds less than what is known of its relay and
   * window came late or twice.
   */
  public boolean add(SampleSums tally) {
    if (!windows.isEmpty() && tally.window() <= windows.lastKey() - WINDOWS) {
      return false;
    }
    Map<Integer, SampleSums> window =
        windows.computeIfAbsent(tally.window(), any -> new TreeMap<>());
    SampleSums before = window.get(tally.relay());
    if (before != null ? before.count() >= tally.count() : window.size() >= MOST_RELAYS) {
      return false;
    }
    window.put(tally.relay(), tally);
    while (windows.firstKey() <= windows.lastKey() - WINDOWS) {
      windows.pollFirstEntry();
    }
    return true;
  }

  /** The same at this moment; a tally that was told is never changed. */
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
              for (SampleSums tally : relays.values()) {
                tally.cells().forEach((cell, one) -> sums.merge(cell, one, RunningMoments::plus));
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
