package sprucerock.time;

/** A point in time on the host's clock, in milliseconds from an origin that nobody may rely on. */
public record Timestamp(double ms) implements Comparable<Timestamp> {
  public static Timestamp ofMs(double ms) {
    return new Timestamp(ms);
  }

  public Timestamp plus(TimeSpan span) {
    return new Timestamp(ms + span.ms());
  }

  public Timestamp minus(TimeSpan span) {
    return new Timestamp(ms - span.ms());
  }

  public TimeSpan since(Timestamp earlier) {
    return TimeSpan.ofMs(ms - earlier.ms);
  }

  public boolean after(Timestamp other) {
    return ms > other.ms;
  }

  public Timestamp earlier(Timestamp other) {
    return ms <= other.ms ? this : other;
  }

  public Timestamp later(Timestamp other) {
    return ms >= other.ms ? this : other;
  }

  @Override
  public int compareTo(Timestamp other) {
    return Double.compare(ms, other.ms);
  }
}
