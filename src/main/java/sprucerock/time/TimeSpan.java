package sprucerock.time;

/** A length of time, in milliseconds. */
public record TimeSpan(double ms) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  public static TimeSpan ofMs(double ms) {
    return new TimeSpan(ms);
  }

  /**
   * A number with its unit: us, ms, s or min.
   *
   * @throws IllegalArgumentException if it is not written so
   */
  public static TimeSpan parse(String text) {
    String endpoint = text.replaceFirst("^[0-9]+(\\.[0-9]+)?", "");
    double each =
        switch (endpoint) {
          case "us" -> 0.001;
          case "ms" -> 1;
          case "s" -> 1000;
          case "min" -> 60_000;
          default ->
              throw new IllegalArgumentException(
                  "\"" + text + "\" is no span such as 250ms, 1.5s or 2min");
        };
    return new TimeSpan(
        Double.parseDouble(text.substring(0, text.length() - endpoint.length())) * each);
  }

  public TimeSpan times(double factor) {
    return new TimeSpan(ms * factor);
  }

  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(ms + other.ms);
  }

  public TimeSpan minus(TimeSpan other) {
    return new TimeSpan(ms - other.ms);
  }

  public double per(TimeSpan other) {
    return ms / other.ms;
  }

  public boolean over(TimeSpan other) {
    return ms > other.ms;
  }

  public TimeSpan atLeast(TimeSpan other) {
    return ms >= other.ms ? this : other;
  }

  public TimeSpan atMost(TimeSpan other) {
    return ms <= other.ms ? this : other;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Double.compare(ms, other.ms);
  }
}
