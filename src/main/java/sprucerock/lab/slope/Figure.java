package sprucerock.lab.slope;

import java.util.Comparator;

/**
 * What a series is of: whose, which quantity, in which unit; such as controller, "cpu, busiest",
 * cores.
 */
public record Figure(String subject, String quantity, String unit) implements Comparable<Figure> {
  private static final Comparator<Figure> ORDER =
      Comparator.comparing(Figure::subject)
          .thenComparing(Figure::quantity)
          .thenComparing(Figure::unit);

  @Override
  public int compareTo(Figure other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return subject + ": " + quantity + (unit.isEmpty() ? "" : ", " + unit);
  }
}
