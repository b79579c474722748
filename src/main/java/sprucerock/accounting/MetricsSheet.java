package sprucerock.accounting;

import java.util.List;

/**
 * The shape of one sheet of accounts, with a row for each method, endpoint or other key. In every
 * row the first column, the total, is the sum of the other columns at all times: a posting adds to
 * the total and to one other column, or moves an amount between two other columns. The last row
 * counts all keys that have no row of their own. {@link MethodAccounts} has the values.
 */
public final class MetricsSheet {
  /** The name of the row for keys beyond the capacity. */
  public static final String OTHER = "other";

  /** The name of the row of a sheet that has only one row. */
  public static final String ALL = "all";

  private final String name;
  private final String rowKey;
  private final List<String> columns;
  private final int rowCount;
  private final int pendingColumn;
  private final int columnCount;
  final int firstAccount;

  /** The position of this sheet among all sheets. */
  final int sheetIndex;

  /**
   * Creates the shape of a sheet.
   *
   * @param rowKey what the rows stand for, such as method
   * @param firstAccount the index of the sheet's first account among all accounts
   * @param hasPending whether the last two columns count events that a crash ended and events that
   *     have not ended; if false, each posting is final immediately
   */
  MetricsSheet(
      String name,
      String rowKey,
      int rowCount,
      int firstAccount,
      int sheetIndex,
      List<String> columns,
      boolean hasPending) {
    this.name = name;
    this.rowKey = rowKey;
    this.rowCount = rowCount;
    this.firstAccount = firstAccount;
    this.sheetIndex = sheetIndex;
    this.columns = columns;
    columnCount = columns.size();
    pendingColumn = hasPending ? columns.size() - 1 : -1;
  }

  /** Returns whether the sheet has a pending and a lost column. */
  public boolean hasPending() {
    return pendingColumn > 0;
  }

  /** Returns whether the columns after the total are {@link HistogramBuckets}. */
  public boolean isHistogram() {
    return columns.size() == 1 + HistogramBuckets.BUCKET_COUNT;
  }

  /** Returns the first column after the columns of outcomes. */
  public int endOfOutcomeColumns() {
    return hasPending() ? pendingColumn : columns.size();
  }

  /** Returns the name under which the sheet is stored and exported. */
  public String name() {
    return name;
  }

  /** Returns what the rows stand for, such as method. */
  public String rowKey() {
    return rowKey;
  }

  /**
   * Returns the names of the columns. The total is first; with {@link #hasPending}, the last two
   * are lost and pending.
   */
  public List<String> columns() {
    return columns;
  }

  /** Returns the number of rows, including the row for all other keys. */
  public int rowCount() {
    return rowCount;
  }

  /** Returns the index of an account among all accounts. */
  public int index(int row, int column) {
    return firstAccount + row * columnCount + column;
  }

  int size() {
    return rowCount * columns.size();
  }

  /** Returns the column of events that have not ended; -1 if there is none. */
  public int pendingColumn() {
    return pendingColumn;
  }

  /** Returns the column of events that a crash of the relay ended; -1 if there is none. */
  public int lostColumn() {
    return hasPending() ? pendingColumn - 1 : -1;
  }
}
