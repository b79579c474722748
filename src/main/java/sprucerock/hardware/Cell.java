package sprucerock.hardware;

import java.util.Comparator;

/**
 * Picks that are alike: of one method and build, on units of one family that held about as many
 * others.
 *
 * @param depth 0: the unit held none; else 1 + the binary logarithm of how many
 */
public record Cell(int method, int family, int build, int depth) implements Comparable<Cell> {
  private static final int DEEPEST = 8;
  private static final Comparator<Cell> ORDER =
      Comparator.comparingInt(Cell::method)
          .thenComparingInt(Cell::family)
          .thenComparingInt(Cell::build)
          .thenComparingInt(Cell::depth);

  /** Of a pick that was sent to a unit that held so many. */
  public static Cell of(int method, int family, int build, int others) {
    int depth = others <= 0 ? 0 : 32 - Integer.numberOfLeadingZeros(others);
    return new Cell(method, family, build, Math.min(depth, DEEPEST));
  }

  /** About how many others the unit held: the middle of what falls into this depth. */
  static double others(int depth) {
    return depth == 0 ? 0 : 1.5 * (1 << depth - 1) - 0.5;
  }

  @Override
  public int compareTo(Cell other) {
    return ORDER.compare(this, other);
  }
}
