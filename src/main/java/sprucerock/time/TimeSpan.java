package sprucerock.time;

/**
 * A length of time.
 *
 * @param ms milliseconds; may be negative, as a difference of two timestamps
 */
public record TimeSpan(double ms) implements Comparable<TimeSpan> {
  /** No time at all. */
  public static final TimeSpan ZERO = new TimeSpan(0);

  /** A span of so many milliseconds. */
  public static TimeSpan ofMs(double ms) {
    return new TimeSpan(ms);
  }

  /**
   * Reads a number followed by its unit: us, ms, s or min.
   *
   * @throws IllegalArgumentException if it is not written so
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
                  "\"" + text + "\" is no span such as 250ms, 1.5s or 2min");
        };
    return new TimeSpan(
        Double.parseDouble(text.substring(0, text.length() - unit.length())) * msPerUnit);
  }

  /** This span, {@code factor} times as long. */
  public TimeSpan times(double factor) {
    return new TimeSpan(ms * factor);
  }

  /** Both spans added. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(ms + other.ms);
  }

  /** This span less the other; negative where that is longer. */
  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(ms - other.ms);
  }

  /** How many times the other span fits into this one. */
  public double dividedBy(TimeSpan other) {
    return ms / other.ms;
  }

  /** Whether this is strictly longer. */
  public boolean over(TimeSpan other) {
    return ms > other.ms;
  }

  /** This span, or the other if that is longer. */
  public TimeSpan atLeast(TimeSpan other) {
    return ms >= other.ms ? this : other;
  }

  /** This span, or the other if that is shorter. */
  public TimeSpan atMost(TimeSpan other) {
    return ms <= other.ms ? this : other;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Double.compare(ms, other.ms);
  }
}
