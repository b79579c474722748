package sprucerock.time;

/** A length of time, in milliseconds. */
public record Span(double ms) implements Comparable<Span> {
  public static final Span ZERO = new Span(0);

  public static Span ofMs(double ms) {
    return new Span(ms);
  }

  /**
   * A number with its unit: us, ms, s or min.
   *
   * @throws IllegalArgumentException if it is not written so
   */
  public static Span parse(String text) {
    String unit = text.replaceFirst("^[0-9]+(\\.[0-9]+)?", "");
    double each =
        switch (unit) {
          case "us" -> 0.001;
          case "ms" -> 1;
          case "s" -> 1000;
          case "min" -> 60_000;
          default ->
              throw new IllegalArgumentException(
                  "\"" + text + "\" is no span such as 250ms, 1.5s or 2min");
        };
    return new Span(Double.parseDouble(text.substring(0, text.length() - unit.length())) * each);
  }

  public Span times(double factor) {
    return new Span(ms * factor);
  }

  public Span plus(Span other) {
    return new Span(ms + other.ms);
  }

  public Span minus(Span other) {
    return new Span(ms - other.ms);
  }

  public double per(Span other) {
    return ms / other.ms;
  }

  public boolean over(Span other) {
    return ms > other.ms;
  }

  public Span atLeast(Span other) {
    return ms >= other.ms ? this : other;
  }

  public Span atMost(Span other) {
    return ms <= other.ms ? this : other;
  }

  @Override
  public int compareTo(Span other) {
    return Double.compare(ms, other.ms);
  }
}
