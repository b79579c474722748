package sprucerock.controller;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates from the fleet's current load how many relays of each zone may restart at once, and
 * detects traffic surges, during which no relay is to be restarted. The work of a restarting relay
 * moves to the other relays of its zone, whose processors are then used more.
 */
final class RestartCapacity {
  /**
   * The share of processor time above which queues grow quickly: at 0.7 a request in an M/M/1 queue
   * waits for about twice its processing time.
   */
  private static final double MAX_UTILISATION = 0.7;

  /**
   * The multiple of the usual RPCs above which there is a surge. It is the load that the other
   * relays get when one relay in three is out; a smaller increase blocks no restart.
   */
  private static final double SURGE_FACTOR = 1.5;

  private static final int HISTORY_WINDOWS = 30;
  private static final int MIN_HISTORY_WINDOWS = 5;

  /** The sum of the utilisations of a zone's relays in this window, and their number. */
  private final TreeMap<Integer, double[]> loadByZone = new TreeMap<>();

  private final Deque<Double> recentRpcs = new ArrayDeque<>();
  private double windowRpcs;
  private boolean surge;
  private double usualRpcs;
  private double lastWindowRpcs;

  /** Records a relay's window: the share of its processor time that it used, and its RPCs. */
  void record(int zone, double utilisation, double rpcs) {
    double[] sum = loadByZone.computeIfAbsent(zone, key -> new double[2]);
    sum[0] += utilisation;
    sum[1]++;
    windowRpcs += rpcs;
  }

  /**
   * Closes the window, and returns how many relays of each zone may restart at once: as many as
   * leave the mean utilisation of the others at or below {@link #MAX_UTILISATION}.
   */
  Map<Integer, Integer> closeWindow() {
    TreeMap<Integer, Integer> restartable = new TreeMap<>();
    loadByZone.forEach(
        (zone, sum) ->
            restartable.put(
                zone,
                (int)
                    Math.max(
                        0, Math.floor(sum[1] * (1 - sum[0] / sum[1] / MAX_UTILISATION) + 1e-9))));
    double[] sorted = recentRpcs.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    usualRpcs = sorted.length == 0 ? windowRpcs : sorted[sorted.length / 2];
    surge = sorted.length >= MIN_HISTORY_WINDOWS && windowRpcs > SURGE_FACTOR * usualRpcs;
    // A surge that lasts becomes the usual rate once it makes up half of the history.
    recentRpcs.addLast(windowRpcs);
    if (recentRpcs.size() > HISTORY_WINDOWS) {
      recentRpcs.removeFirst();
    }
    loadByZone.clear();
    lastWindowRpcs = windowRpcs;
    windowRpcs = 0;
    return restartable;
  }

  /** Returns why no relay is to be restarted; empty if restarts may go on. */
  String blockedReason() {
    return surge
        ? String.format(
            java.util.Locale.ROOT,
            "traffic surge: %.0f RPCs in a window, usually %.0f",
            lastWindowRpcs,
            usualRpcs)
        : "";
  }
}
