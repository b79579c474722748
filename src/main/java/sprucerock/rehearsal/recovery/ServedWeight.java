package sprucerock.rehearsal.recovery;

import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * Priority weight served in time, in buckets of a tenth of a second, and how long it took to return
 * to its level after an event. Times are microseconds on one clock. What is measured is what was
 * served, not its share of what was requested: clients of a relay that is gone request nothing. Not
 * thread-safe.
 */
public final class ServedWeight {
  /** The period before an event over which the level is taken. */
  private static final double BASELINE_SECONDS = 5;

  /** The period over which full service must hold. */
  private static final double HOLD_SECONDS = 2;

  /** The share of the level that full service may lack. */
  private static final double TOLERANCE = 0.05;

  private static final long BUCKET_MICROS = 100_000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final TreeMap<Long, Double> buckets = new TreeMap<>();

  /**
   * Adds a request that was served in time.
   *
   * @param micros when its response came
   * @param weight its priority weight
   */
  public void record(long micros, double weight) {
    buckets.merge(Math.floorDiv(micros, BUCKET_MICROS), weight, Double::sum);
  }

  private double between(long from, long to) {
    return buckets.subMap(Math.min(from, to), to).values().stream()
        .mapToDouble(Double::doubleValue)
        .sum();
  }

  /** Weight a second in the five seconds before an event; 0 if nothing was served then. */
  public double levelBefore(long micros) {
    long at = Math.floorDiv(micros, BUCKET_MICROS);
    return between(at - buckets(BASELINE_SECONDS), at) / BASELINE_SECONDS;
  }

  private static long buckets(double seconds) {
    return Math.round(seconds * MICROS_PER_SECOND / BUCKET_MICROS);
  }

  /**
   * Seconds from an event until what is served is at 95% of its level before, in the mean of the
   * two seconds from then on; empty where that never came, or the record ends before two seconds of
   * it are over.
   */
  public OptionalDouble secondsToFullService(long micros) {
    double level = levelBefore(micros);
    if (buckets.isEmpty() || level == 0) {
      return OptionalDouble.empty();
    }
    long event = Math.floorDiv(micros, BUCKET_MICROS) + 1;
    long last = buckets.lastKey() + 1;
    for (long from = event; from + buckets(HOLD_SECONDS) <= last; from++) {
      if (between(from, from + buckets(HOLD_SECONDS)) < (1 - TOLERANCE) * level * HOLD_SECONDS) {
        continue;
      }
      // the window may begin in the trough and be carried by its end: its first half must do as
      // well
      if (between(from, from + buckets(HOLD_SECONDS / 2))
          < (1 - 2 * TOLERANCE) * level * HOLD_SECONDS / 2) {
        continue;
      }
      return OptionalDouble.of(Math.max(0, (from * BUCKET_MICROS - micros) / MICROS_PER_SECOND));
    }
    return OptionalDouble.empty();
  }

  /**
   * Weight that was not served from an event on, as seconds of the level before; at least 0.
   *
   * @param seconds the period after the event
   */
  public double lostSeconds(long micros, double seconds) {
    double level = levelBefore(micros);
    long from = Math.floorDiv(micros, BUCKET_MICROS) + 1;
    return level == 0 ? 0 : Math.max(0, seconds - between(from, from + buckets(seconds)) / level);
  }
}
