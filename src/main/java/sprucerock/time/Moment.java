package sprucerock.time;

/** A point in time on the host's clock, in milliseconds from an origin that nobody may rely on. */
public record Moment(double ms) implements Comparable<Moment> {
  public static Moment ofMs(double ms) {
    return new Moment(ms);
  }

  public Moment plus(Span span) {
    return new Moment(ms + span.ms());
  }

  public Moment minus(Span span) {
    return new Moment(ms - span.ms());
  }

  public Span since(Moment earlier) {
    return Span.ofMs(ms - earlier.ms);
  }

  public boolean after(Moment other) {
    return ms > other.ms;
  }

  public Moment earlier(Moment other) {
    return ms <= other.ms ? this : other;
  }

  public Moment later(Moment other) {
    return ms >= other.ms ? this : other;
  }

  @Override
  public int compareTo(Moment other) {
    return Double.compare(ms, other.ms);
  }
}
