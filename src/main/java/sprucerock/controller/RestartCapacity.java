package sprucerock.controller;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many relays of each zone the rest can do without, by the work that the fleet has now; and
 * whether more has come than usual, in which case nobody is to be restarted. A relay out means its
 * work for others of its zone, whose processors are then used more.
 */
final class RestartCapacity {
  private static final double MAX_UTILISATION =
      0.7; // of the processors: above that queues grow quickly (at 0.7, M/M/1 waits twice its work)
  private static final double SURGE_FACTOR =
      1.5; // times the usual: less than a relay out in three would be
  private static final int HISTORY_WINDOWS = 30; // windows
  private static final int MIN_HISTORY_WINDOWS = 5;

  private final TreeMap<Integer, double[]> loadByZone = new TreeMap<>();
  private final Deque<Double> recentRpcs = new ArrayDeque<>();
  private double windowRpcs;
  private boolean surge;
  private double usualRpcs;
  private double lastWindowRpcs;

  /** A relay's window: the share of its processors' time that it used, and what came. */
  void record(int zone, double use, double rpcs) {
    double[] sum = loadByZone.computeIfAbsent(zone, any -> new double[2]);
    sum[0] += use;
    sum[1]++;
    windowRpcs += rpcs;
  }

  /** The window is over; returns by zone how many may be out. */
  Map<Integer, Integer> closeWindow() {
    TreeMap<Integer, Integer> found = new TreeMap<>();
    loadByZone.forEach(
        (zone, sum) ->
            found.put(
                zone,
                (int)
                    Math.max(
                        0, Math.floor(sum[1] * (1 - sum[0] / sum[1] / MAX_UTILISATION) + 1e-9))));
    double[] sorted = recentRpcs.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    usualRpcs = sorted.length == 0 ? windowRpcs : sorted[sorted.length / 2];
    surge = sorted.length >= MIN_HISTORY_WINDOWS && windowRpcs > SURGE_FACTOR * usualRpcs;
    recentRpcs.addLast(
        windowRpcs); // one that lasts is none any more once it makes up half of what is known
    if (recentRpcs.size() > HISTORY_WINDOWS) {
      recentRpcs.removeFirst();
    }
    loadByZone.clear();
    lastWindowRpcs = windowRpcs;
    windowRpcs = 0;
    return found;
  }

  /** Why nobody is to be restarted; empty where nothing speaks against it. */
  String blockedReason() {
    return surge
        ? String.format(
            java.util.Locale.ROOT,
            "a surge: %.0f RPCs came in a window, usually %.0f",
            lastWindowRpcs,
            usualRpcs)
        : "";
  }
}
