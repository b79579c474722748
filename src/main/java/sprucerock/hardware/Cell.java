package sprucerock.hardware;

import java.util.Comparator;

/**
 * A class of similar attempts: of one method and build, on endpoints of one hardware family that
 * had about the same number of other attempts in flight.
 *
 * @param family the number of the hardware family
 * @param depth 0: the endpoint had no other attempt in flight; otherwise 1 + the binary logarithm
 *     of their number, rounded down, and 8 at most
 */
public record Cell(int method, int family, int build, int depth) implements Comparable<Cell> {
  private static final int MAX_DEPTH = 8;
  private static final Comparator<Cell> ORDER =
      Comparator.comparingInt(Cell::method)
          .thenComparingInt(Cell::family)
          .thenComparingInt(Cell::build)
          .thenComparingInt(Cell::depth);

  /**
   * Returns the cell of an attempt.
   *
   * @param others the number of other attempts that the endpoint had in flight
   */
  public static Cell of(int method, int family, int build, int others) {
    int depth = others <= 0 ? 0 : 32 - Integer.numberOfLeadingZeros(others);
    return new Cell(method, family, build, Math.min(depth, MAX_DEPTH));
  }

  /** Returns the middle of the range of numbers of other attempts in flight at a depth. */
  static double estimatedOthersInFlight(int depth) {
    return depth == 0 ? 0 : 1.5 * (1 << (depth - 1)) - 0.5;
  }

  @Override
  public int compareTo(Cell other) {
    return ORDER.compare(this, other);
  }
}
