package sprucerock.accounting;

import java.util.List;

/**
 * The shape of one table of accounts, with a row for each method, endpoint or other key. In every
 * row the first column, the total, is the sum of the others at all times: a posting adds to the
 * total and to one of them, or moves from one to another. The last row stands for all keys that
 * found no row of their own. The values are in {@link MethodAccounts}.
 */
public final class MethodMetrics {
  /** The name of the row for keys beyond the capacity. */
  public static final String OTHER = "other";

  /** The name of a table's only row. */
  public static final String ALL = "all";

  private final String name;
  private final String by;
  private final List<String> columns;
  private final int rows;
  private final int pending;
  private final int width;
  final int base;

  /** Its place among all tables. */
  final int position;

  /**
   * The shape of a table.
   *
   * @param base the place of its first account among all
   * @param hasPending whether its last two columns are what a crash ended and what isn't over yet;
   *     else each posting is final at once
   */
  MethodMetrics(
      String name,
      String by,
      int rows,
      int base,
      int place,
      List<String> columns,
      boolean hasPending) {
    this.name = name;
    this.by = by;
    this.rows = rows;
    this.base = base;
    this.position = place;
    this.columns = columns;
    width = columns.size();
    pending = hasPending ? columns.size() - 1 : -1;
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

  /** The table's name, as stored and exported. */
  public String name() {
    return name;
  }

  /** The key that tells rows apart, such as method. */
  public String by() {
    return by;
  }

  /** Their names, the total first; with {@link #hasPending}, the last two are lost and pending. */
  public List<String> columns() {
    return columns;
  }

  /** How many rows it has, the one for all others among them. */
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

  /** The column of what isn't over yet; -1 where there is none. */
  public int pending() {
    return pending;
  }

  /** The column of what a crash of the relay ended; -1 where there is none. */
  public int lost() {
    return hasPending() ? pending - 1 : -1;
  }
}
