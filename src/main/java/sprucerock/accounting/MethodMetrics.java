package sprucerock.accounting;

import java.util.List;

/**
 * Accounts of one kind, a row for each method, unit or whatever they are told apart by. In every
 * row the first column, the total, is the sum of the others at all times: a posting adds to the
 * total and to one of them, or moves from one to another. The last row stands for all that found no
 * row of their own.
 */
public final class MethodMetrics {
  /** A row's name where more were wanted than there is room for. */
  public static final String OTHER = "other";

  /** The name of an only row. */
  public static final String ALL = "all";

  private final String name;
  private final String by;
  private final List<String> columns;
  private final int rows;
  private final int pending;
  private final int width;
  final int base;

  /** Its place among all sheets. */
  final int position;

  /**
   * {@code settles}: its last two columns are what a crash ended and what is not over yet; else all
   * of it is over at once.
   */
  MethodMetrics(
      String name,
      String by,
      int rows,
      int base,
      int place,
      List<String> columns,
      boolean settles) {
    this.name = name;
    this.by = by;
    this.rows = rows;
    this.base = base;
    this.position = place;
    this.columns = columns;
    width = columns.size();
    pending = settles ? columns.size() - 1 : -1;
  }

  /** Whether its postings are pending at first; else it has neither pending nor lost. */
  public boolean hasPending() {
    return pending > 0;
  }

  /** Whether its columns are the buckets of a {@link HistogramBuckets}. */
  public boolean isHistogram() {
    return columns.size() == 1 + HistogramBuckets.BUCKETS;
  }

  /** The first column after those of how something ended. */
  public int endsBefore() {
    return hasPending() ? pending : columns.size();
  }

  public String name() {
    return name;
  }

  /** What rows are told apart by, such as method. */
  public String by() {
    return by;
  }

  /** Their names, the total first; where it settles, the last two are lost and what is pending. */
  public List<String> columns() {
    return columns;
  }

  public int rows() {
    return rows;
  }

  /** Where an account stands among all. */
  public int index(int row, int column) {
    return base + row * width + column;
  }

  int size() {
    return rows * columns.size();
  }

  /** The column of what is not over yet; -1 where there is none. */
  public int pending() {
    return pending;
  }

  /** The column of what a crash of the relay ended. */
  public int lost() {
    return hasPending() ? pending - 1 : -1;
  }
}
