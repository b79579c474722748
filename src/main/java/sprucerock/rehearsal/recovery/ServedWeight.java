package sprucerock.rehearsal.recovery;

import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * Worth served in time, in tenths of a second, and how long it took to come back after an event.
 * Times are microseconds on one clock. What is measured is what was served, not its share of what
 * was asked: clients of a relay that is gone ask nothing.
 */
public final class ServedWeight {
  static final double BEFORE_S = 5; // over which the level before an event is taken
  static final double STAYS_S = 2;
  static final double WITHIN = 0.05;
  private static final long BUCKET_US = 100_000;

  private final TreeMap<Long, Double> buckets = new TreeMap<>();

  public void record(long us, double worth) {
    buckets.merge(Math.floorDiv(us, BUCKET_US), worth, Double::sum);
  }

  private double between(long from, long to) {
    return buckets.subMap(Math.min(from, to), to).values().stream()
        .mapToDouble(Double::doubleValue)
        .sum();
  }

  /** Worth a second in the five seconds before; 0 where nothing was served then. */
  public double levelBefore(long us) {
    long at = Math.floorDiv(us, BUCKET_US);
    return between(at - buckets(BEFORE_S), at) / BEFORE_S;
  }

  private static long buckets(double seconds) {
    return Math.round(seconds * 1e6 / BUCKET_US);
  }

  /**
   * Seconds from an event until what is served is at 95% of its level before, in the mean of the
   * two seconds from then on; empty where that never came, or the record ends before two seconds of
   * it are over.
   */
  public OptionalDouble secondsToFullService(long us) {
    double level = levelBefore(us);
    if (buckets.isEmpty() || level == 0) {
      return OptionalDouble.empty();
    }
    long event = Math.floorDiv(us, BUCKET_US) + 1;
    long last = buckets.lastKey() + 1;
    for (long from = event; from + buckets(STAYS_S) <= last; from++) {
      if (between(from, from + buckets(STAYS_S)) < (1 - WITHIN) * level * STAYS_S) {
        continue;
      }
      // the window may begin in the trough and be carried by its end: its first half must do as
      // well
      if (between(from, from + buckets(STAYS_S / 2)) < (1 - 2 * WITHIN) * level * STAYS_S / 2) {
        continue;
      }
      return OptionalDouble.of(Math.max(0, (from * BUCKET_US - us) / 1e6));
    }
    return OptionalDouble.empty();
  }

  /** Worth that was not served, in seconds of the level before, from the event for so long. */
  public double lostSeconds(long us, double seconds) {
    double level = levelBefore(us);
    long from = Math.floorDiv(us, BUCKET_US) + 1;
    return level == 0 ? 0 : Math.max(0, seconds - between(from, from + buckets(seconds)) / level);
  }
}
