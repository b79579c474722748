package sprucerock.rehearsal.recovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many of each thing came to each place, and the most of them in any tenth of a second. Times
 * are microseconds on one clock.
 */
public final class Peaks {
  /** The fullest tenth of a second of a thing, where it was and how many came. */
  public record Peak(String activity, String place, int count) {}

  private static final long WINDOW_US = 100_000;

  private final Map<String, Map<String, List<Long>>> times = new TreeMap<>();

  public void record(String thing, String place, long us) {
    times
        .computeIfAbsent(thing, key -> new TreeMap<>())
        .computeIfAbsent(place, key -> new ArrayList<>())
        .add(us);
  }

  /**
   * Of each thing the place that was fullest from one time to another; nothing of what did not
   * come.
   */
  public List<Peak> between(long fromUs, long toUs) {
    List<Peak> found = new ArrayList<>();
    times.forEach(
        (thing, places) -> {
          Peak most = null;
          for (Map.Entry<String, List<Long>> place : places.entrySet()) {
            int many = most(place.getValue(), fromUs, toUs);
            if (many > 0 && (most == null || many > most.count)) {
              most = new Peak(thing, place.getKey(), many);
            }
          }
          if (most != null) {
            found.add(most);
          }
        });
    return found;
  }

  private static int most(List<Long> all, long fromUs, long toUs) {
    List<Long> in = new ArrayList<>();
    for (long one : all) {
      if (one >= fromUs && one < toUs) {
        in.add(one);
      }
    }
    Collections.sort(in); // several files tell of one place
    int most = 0;
    for (int first = 0, last = 0; last < in.size(); last++) {
      while (in.get(last) - in.get(first) >= WINDOW_US) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
