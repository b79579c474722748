package sprucerock.time;

/**
 * A point in time on the host's clock.
 *
 * @param ms milliseconds from an origin that nobody may rely on; only differences mean something
 */
public record Timestamp(double ms) implements Comparable<Timestamp> {
  /** The point that many milliseconds after the clock's origin. */
  public static Timestamp ofMs(double ms) {
    return new Timestamp(ms);
  }

  /** The point that much later. */
  public Timestamp plus(TimeSpan span) {
    return new Timestamp(ms + span.ms());
  }

  /** The point that much earlier. */
  public Timestamp minus(TimeSpan span) {
    return new Timestamp(ms - span.ms());
  }

  /** The time passed since {@code earlier}; negative where that is later than this. */
  public TimeSpan since(Timestamp earlier) {
    return TimeSpan.ofMs(ms - earlier.ms);
  }

  /** Whether this is strictly later. */
  public boolean after(Timestamp other) {
    return ms > other.ms;
  }

  /** The earlier one of both. */
  public Timestamp earlierOf(Timestamp other) {
    return ms <= other.ms ? this : other;
  }

  /** The later one of both. */
  public Timestamp laterOf(Timestamp other) {
    return ms >= other.ms ? this : other;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Double.compare(ms, other.ms);
  }
}
