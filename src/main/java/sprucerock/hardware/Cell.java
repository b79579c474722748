package sprucerock.hardware;

import java.util.Comparator;

/**
 * Attempts that are alike: of one method and build, on endpoints of one family that had about as
 * many others in flight.
 *
 * @param depth 0: the endpoint had none; else 1 + the binary logarithm of how many, 8 at most
 */
public record Cell(int method, int family, int build, int depth) implements Comparable<Cell> {
  private static final int MAX_DEPTH = 8;
  private static final Comparator<Cell> ORDER =
      Comparator.comparingInt(Cell::method)
          .thenComparingInt(Cell::family)
          .thenComparingInt(Cell::build)
          .thenComparingInt(Cell::depth);

  /** Of an attempt that was sent to an endpoint that had so many others in flight. */
  public static Cell of(int method, int family, int build, int others) {
    int depth = others <= 0 ? 0 : 32 - Integer.numberOfLeadingZeros(others);
    return new Cell(method, family, build, Math.min(depth, MAX_DEPTH));
  }

  /** About how many others the endpoint had: the middle of what falls into this depth. */
  static double estimatedInFlight(int depth) {
    return depth == 0 ? 0 : 1.5 * (1 << (depth - 1)) - 0.5;
  }

  @Override
  public int compareTo(Cell other) {
    return ORDER.compare(this, other);
  }
}
