package sprucerock.accounting;

import java.util.List;

/**
 * The shape of one table of accounts, with a row for each method, endpoint or other key. In every
 * row the first column, the total, is the sum of the others at all times: a posting adds to the
 * total and to one of them, or moves from one to another. The last row stands for all keys that
 * found no row of their own. The values are in {@link MethodAccounts}.
 */
public final class MetricsSheet {
  /** The name of the row for keys beyond the capacity. */
  public static final String OTHER = "other";

  /** The name of a table's only row. */
  public static final String ALL = "all";

  private final String name;
  private final String rowKey;
  private final List<String> columns;
  private final int rowCount;
  private final int pendingColumn;
  private final int width;
  final int firstAccount;

  /** Its place among all tables. */
  final int sheetIndex;

  /**
   * The shape of a table.
   *
   * @param base the place of its first account among all
   * @param hasPending whether its last two columns are what a crash ended and what isn't over yet;
   *     else each posting is final at once
   */
  MetricsSheet(
      String name,
      String by,
      int rows,
      int base,
      int place,
      List<String> columns,
      boolean hasPending) {
    this.name = name;
    this.rowKey = by;
    this.rowCount = rows;
    this.firstAccount = base;
    this.sheetIndex = place;
    this.columns = columns;
    width = columns.size();
    pendingColumn = hasPending ? columns.size() - 1 : -1;
  }

  /** Whether its postings are pending at first; else it has neither pending nor lost. */
  public boolean hasPending() {
    return pendingColumn > 0;
  }

  /** Whether its columns are the buckets of a {@link HistogramBuckets}. */
  public boolean isHistogram() {
    return columns.size() == 1 + HistogramBuckets.BUCKET_COUNT;
  }

  /** The first column after those of how something ended. */
  public int endOfOutcomeColumns() {
    return hasPending() ? pendingColumn : columns.size();
  }

  /** The table's name, as stored and exported. */
  public String name() {
    return name;
  }

  /** The key that tells rows apart, such as method. */
  public String rowKey() {
    return rowKey;
  }

  /** Their names, the total first; with {@link #hasPending}, the last two are lost and pending. */
  public List<String> columns() {
    return columns;
  }

  /** How many rows it has, the one for all others among them. */
  public int rowCount() {
    return rowCount;
  }

  /** Where an account stands among all. */
  public int index(int row, int column) {
    return firstAccount + row * width + column;
  }

  int size() {
    return rowCount * columns.size();
  }

  /** The column of what isn't over yet; -1 where there is none. */
  public int pendingColumn() {
    return pendingColumn;
  }

  /** The column of what a crash of the relay ended; -1 where there is none. */
  public int lostColumn() {
    return hasPending() ? pendingColumn - 1 : -1;
  }
}
