package sprucerock.time;

/**
 * A point in time on the host's clock.
 *
 * @param ms milliseconds from an unspecified origin; only differences are meaningful
 */
public record Timestamp(double ms) implements Comparable<Timestamp> {
  /** Creates the timestamp {@code ms} milliseconds after the clock's origin. */
  public static Timestamp ofMs(double ms) {
    return new Timestamp(ms);
  }

  /** Returns the timestamp later than this one by the span. */
  public Timestamp plus(TimeSpan span) {
    return new Timestamp(ms + span.ms());
  }

  /** Returns the timestamp earlier than this one by the span. */
  public Timestamp minus(TimeSpan span) {
    return new Timestamp(ms - span.ms());
  }

  /** Returns the time since {@code earlier}; negative if that is later than this timestamp. */
  public TimeSpan since(Timestamp earlier) {
    return TimeSpan.ofMs(ms - earlier.ms);
  }

  /** Whether this timestamp is strictly later than the other. */
  public boolean after(Timestamp other) {
    return ms > other.ms;
  }

  /** Returns the earlier of both timestamps. */
  public Timestamp earlierOf(Timestamp other) {
    return ms <= other.ms ? this : other;
  }

  /** Returns the later of both timestamps. */
  public Timestamp laterOf(Timestamp other) {
    return ms >= other.ms ? this : other;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Double.compare(ms, other.ms);
  }
}
