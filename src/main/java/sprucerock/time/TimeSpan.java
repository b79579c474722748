package sprucerock.time;

/**
 * A length of time.
 *
 * @param ms milliseconds; may be negative, as a difference of two timestamps
 */
public record TimeSpan(double ms) implements Comparable<TimeSpan> {
  /** A span of zero length. */
  public static final TimeSpan ZERO = new TimeSpan(0);

  /** Creates a span of {@code ms} milliseconds. */
  public static TimeSpan ofMs(double ms) {
    return new TimeSpan(ms);
  }

  /**
   * Parses a number followed by a unit: us, ms, s or min.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static TimeSpan parse(String text) {
    String unit = text.replaceFirst("^[0-9]+(\\.[0-9]+)?", "");
    double msPerUnit =
        switch (unit) {
          case "us" -> 0.001;
          case "ms" -> 1;
          case "s" -> 1000;
          case "min" -> 60_000;
          default ->
              throw new IllegalArgumentException(
                  "\""
                      + text
                      + "\" is not a time span; write a number and us, ms, s or min, such as 1.5s");
        };
    return new TimeSpan(
        Double.parseDouble(text.substring(0, text.length() - unit.length())) * msPerUnit);
  }

  /** Returns this span multiplied by {@code factor}. */
  public TimeSpan times(double factor) {
    return new TimeSpan(ms * factor);
  }

  /** Returns the sum of both spans. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(ms + other.ms);
  }

  /** Returns this span minus the other; negative if the other is longer. */
  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(ms - other.ms);
  }

  /** Returns the ratio of this span to the other. */
  public double dividedBy(TimeSpan other) {
    return ms / other.ms;
  }

  /** Whether this span is strictly longer than the other. */
  public boolean over(TimeSpan other) {
    return ms > other.ms;
  }

  /** Returns the longer of both spans. */
  public TimeSpan atLeast(TimeSpan other) {
    return ms >= other.ms ? this : other;
  }

  /** Returns the shorter of both spans. */
  public TimeSpan atMost(TimeSpan other) {
    return ms <= other.ms ? this : other;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Double.compare(ms, other.ms);
  }
}
