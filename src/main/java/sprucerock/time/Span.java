package sprucerock.time;

/** A length of time, in milliseconds. */
public record Span(double ms) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span ofMs(double ms) {
        return new Span(ms);
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
