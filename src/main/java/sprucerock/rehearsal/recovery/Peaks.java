package sprucerock.rehearsal.recovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The times of each activity at each place, and the most of them in any tenth of a second. Times
 * are microseconds on one clock. Not thread-safe.
 */
public final class Peaks {
  /**
   * The fullest tenth of a second of an activity.
   *
   * @param activity what was counted
   * @param place where it was fullest
   * @param count how many there were, above 0
   */
  public record Peak(String activity, String place, int count) {}

  private static final long WINDOW_MICROS = 100_000;

  private final Map<String, Map<String, List<Long>>> timesByActivityAndPlace = new TreeMap<>();

  /** Adds one occurrence; they may come in any order. */
  public void record(String activity, String place, long micros) {
    timesByActivityAndPlace
        .computeIfAbsent(activity, key -> new TreeMap<>())
        .computeIfAbsent(place, key -> new ArrayList<>())
        .add(micros);
  }

  /**
   * The peak of each activity that occurred in a period, at the place where it was highest; the
   * first place by name if several are equal.
   *
   * @param fromMicros the period's beginning
   * @param toMicros the period's end, exclusive
   */
  public List<Peak> between(long fromMicros, long toMicros) {
    List<Peak> peaks = new ArrayList<>();
    timesByActivityAndPlace.forEach(
        (activity, places) -> {
          Peak highest = null;
          for (Map.Entry<String, List<Long>> place : places.entrySet()) {
            int count = maxInWindow(place.getValue(), fromMicros, toMicros);
            if (count > 0 && (highest == null || count > highest.count)) {
              highest = new Peak(activity, place.getKey(), count);
            }
          }
          if (highest != null) {
            peaks.add(highest);
          }
        });
    return peaks;
  }

  private static int maxInWindow(List<Long> times, long fromMicros, long toMicros) {
    List<Long> inPeriod = new ArrayList<>();
    for (long time : times) {
      if (time >= fromMicros && time < toMicros) {
        inPeriod.add(time);
      }
    }
    Collections.sort(inPeriod); // several files record one place
    int max = 0;
    for (int first = 0, last = 0; last < inPeriod.size(); last++) {
      while (inPeriod.get(last) - inPeriod.get(first) >= WINDOW_MICROS) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }
}
