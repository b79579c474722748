package sprucerock.accounting;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The double-entry accounts of one relay: sheets of counters, and one method for each kind of event
 * that is counted. A posting adds to a row's total and to one of its parts, or moves an amount from
 * one part to another, so that each row's total is the sum of its parts at all times.
 *
 * <p>A single thread posts; a posting is a few additions. All postings of one loop iteration reach
 * the {@link MetricsStore} together at {@link #commit}, so that neither a reader nor a restart
 * after a crash sees a part of them.
 */
public final class MethodAccounts {
  private static final int TOTAL = 0;

  // Columns of the sheet of calls.
  private static final int CALLS_TAKEN = 1;

  // Columns that several sheets have in common.
  private static final int OK = 1;
  private static final int ENDPOINT_NOT_OK = 2;
  private static final int TENANT_ENDED = 1;

  // Columns of the sheet of answers.
  private static final int ANSWER_IN_TIME = 1;
  private static final int ANSWER_LATE = 2;
  private static final int ANSWER_TOO_LATE = 3;

  // Columns of the sheet of frames.
  private static final int FRAME_WRITTEN = 1;
  private static final int FRAME_UNWRITTEN = 2;

  /**
   * How many named rows the sheets by build, endpoint and tenant have. Further names count in the
   * row {@link MetricsSheet#OTHER}.
   */
  public record Capacity(int builds, int endpoints, int tenants) {
    /** No named rows, for hosts whose counters nobody reads by build, endpoint or tenant. */
    public static final Capacity NONE = new Capacity(0, 0, 0);
  }

  /**
   * An equation between accounts that does not hold, with the values of its two sides and the last
   * postings to its accounts.
   */
  public record Imbalance(String equation, long left, long right, List<String> lastPostings) {
    @Override
    public String toString() {
      return equation + ": " + left + " is not " + right + "; last postings there: " + lastPostings;
    }
  }

  /** Requests that reached the relay, before it decides whether to admit them. */
  public final MetricsSheet calls;

  /** Admitted RPCs by method, and how they ended. */
  public final MetricsSheet rpcs;

  /** Admitted RPCs by tenant. */
  public final MetricsSheet tenants;

  /** Attempts by method, and how they ended. */
  public final MetricsSheet attempts;

  /** Attempts by build, and how they ended. */
  public final MetricsSheet builds;

  /** Attempts by endpoint, and whether they ended ok. */
  public final MetricsSheet endpoints;

  /** Shadow requests to a canary by build; each is also counted as an attempt. */
  public final MetricsSheet shadowAttempts;

  /** RPCs that ended ok, by whether they met the latency objective and the deadline. */
  public final MetricsSheet answers;

  /** Latency of RPCs that ended ok, from their arrival at this relay. */
  public final MetricsSheet latency;

  /** Latency of attempts that ended ok, by build and method; see {@link #attemptLatencyRow}. */
  public final MetricsSheet attemptLatency;

  /** Frames of attempts: written to a connection, or not written because the attempt ended. */
  public final MetricsSheet frames;

  /** Results that arrived after their attempt had ended, for example by a timeout. */
  public final MetricsSheet lateResults;

  /** TLS handshakes that this relay began or accepted, by how they ended. */
  public final MetricsSheet handshakes;

  /** Changes of the TLS files, by whether they were applied or rejected. */
  public final MetricsSheet tlsFiles;

  /** Votes on a canary, by the controller's reply. */
  public final MetricsSheet votes;

  /** Gossip messages to other relays. */
  public final MetricsSheet messages;

  /** Starts of this relay, by how each run ended. */
  public final MetricsSheet starts;

  /** The state in which each start found the metrics file. */
  public final MetricsSheet metricsFiles;

  private final List<MetricsSheet> sheets = new ArrayList<>();
  private final RowNames rowNames;
  private final CounterValues values;
  private final PostingHistory history = new PostingHistory();
  private MetricsStore store = MetricsStore.NONE;
  private boolean postingsDisabled;

  /**
   * Creates accounts that are all zero.
   *
   * @param methods the names of the methods by their index
   * @param capacity how many named rows the sheets by build, endpoint and tenant have
   */
  public MethodAccounts(List<String> methods, Capacity capacity) {
    int methodRows = methods.size() + 1;
    final int buildRows = capacity.builds + 1;
    final List<String> attemptColumns = SheetColumns.ATTEMPTS;
    final List<String> latencyColumns = HistogramBuckets.columns("answered");
    final List<String> attemptLatencyColumns = HistogramBuckets.columns("ok");
    calls = addSheetWithPending("calls", "relay", 1, SheetColumns.CALLS);
    rpcs = addSheetWithPending("rpcs", "method", methodRows, SheetColumns.RPCS);
    tenants =
        addSheetWithPending(
            "customer_rpcs", "customer", capacity.tenants + 1, SheetColumns.TENANTS);
    attempts = addSheetWithPending("picks", "method", methodRows, attemptColumns);
    builds = addSheetWithPending("build_picks", "build", buildRows, attemptColumns);
    endpoints =
        addSheetWithPending("unit_picks", "unit", capacity.endpoints + 1, SheetColumns.ENDPOINTS);
    shadowAttempts = addSheetWithPending("copies", "build", buildRows, attemptColumns);
    answers = addSheetWithoutPending("answers", "method", methodRows, SheetColumns.ANSWERS);
    latency = addSheetWithoutPending("latency", "method", methodRows, latencyColumns);
    attemptLatency =
        addSheetWithoutPending(
            "pick_latency", "build_and_method", buildRows * methodRows, attemptLatencyColumns);
    frames = addSheetWithPending("pick_frames", "relay", 1, SheetColumns.FRAMES);
    lateResults = addSheetWithoutPending("late_results", "relay", 1, SheetColumns.LATE_RESULTS);
    handshakes = addSheetWithPending("handshakes", "relay", 1, SheetColumns.HANDSHAKES);
    tlsFiles = addSheetWithoutPending("tls_files", "relay", 1, SheetColumns.TLS_FILES);
    votes = addSheetWithPending("votes", "relay", 1, SheetColumns.VOTES);
    messages = addSheetWithPending("messages", "relay", 1, SheetColumns.MESSAGES);
    starts = addSheetWithPending("starts", "relay", 1, SheetColumns.STARTS);
    metricsFiles = addSheetWithPending("files", "relay", 1, SheetColumns.FILES);
    rowNames = new RowNames(sheets);
    values = new CounterValues(endOfSheets());
    nameFixedRows(methods);
  }

  /** Adds a sheet whose postings are pending until the counted event has ended. */
  private MetricsSheet addSheetWithPending(
      String name, String rowKey, int rows, List<String> columns) {
    return addSheet(name, rowKey, rows, columns, true);
  }

  /** Adds a sheet whose postings are final immediately. */
  private MetricsSheet addSheetWithoutPending(
      String name, String rowKey, int rows, List<String> columns) {
    return addSheet(name, rowKey, rows, columns, false);
  }

  private MetricsSheet addSheet(
      String name, String rowKey, int rows, List<String> columns, boolean hasPending) {
    MetricsSheet sheet =
        new MetricsSheet(name, rowKey, rows, endOfSheets(), sheets.size(), columns, hasPending);
    sheets.add(sheet);
    return sheet;
  }

  private int endOfSheets() {
    if (sheets.isEmpty()) {
      return 0;
    }
    MetricsSheet last = sheets.get(sheets.size() - 1);
    return last.firstAccount + last.size();
  }

  private void nameFixedRows(List<String> methods) {
    for (MetricsSheet sheet : sheets) {
      if (sheet != attemptLatency) {
        String name = sheet.rowCount() == 1 ? MetricsSheet.ALL : MetricsSheet.OTHER;
        nameRow(sheet, sheet.rowCount() - 1, name);
      }
    }
    for (String method : methods) {
      for (MetricsSheet sheet : List.of(rpcs, attempts, answers, latency)) {
        row(sheet, method);
      }
    }
  }

  /** Returns all sheets, in the order in which they are stored. */
  public List<MetricsSheet> sheets() {
    return Collections.unmodifiableList(sheets);
  }

  /** Returns the number of accounts, which is the number of cells of all sheets. */
  public int size() {
    return values.size();
  }

  /** Returns the number of rows of all sheets. */
  public int rowCount() {
    return rowNames.rowCount();
  }

  /** Returns a row's name; null if the row is not in use. */
  public String name(MetricsSheet sheet, int row) {
    return rowNames.name(sheet, row);
  }

  /**
   * Returns one line for each sheet: its name, its row key, its number of rows and its columns. Two
   * sets of accounts with the same layout have all accounts at the same index.
   */
  public String layout() {
    StringBuilder text = new StringBuilder();
    for (MetricsSheet sheet : sheets) {
      text.append(sheet.name())
          .append(' ')
          .append(sheet.rowKey())
          .append(' ')
          .append(sheet.rowCount())
          .append(' ')
          .append(String.join(",", sheet.columns()))
          .append('\n');
    }
    return text.toString();
  }

  /**
   * Returns the row with a name. Assigns a free row to a new name; without a free row, returns the
   * row for all other names. The sheet of shadow requests uses the same rows as the sheet of
   * builds.
   */
  public int row(MetricsSheet sheet, String name) {
    Integer row = rowNames.findRow(sheet, name);
    if (row != null) {
      return row;
    }
    int usedRows = rowNames.usedRowCount(sheet);
    if (usedRows >= sheet.rowCount()) {
      return sheet.rowCount() - 1;
    }
    int assigned = usedRows - 1;
    nameRow(sheet, assigned, name);
    if (sheet == builds) {
      nameRow(shadowAttempts, assigned, name);
    }
    return assigned;
  }

  /**
   * Returns the row of a build's attempt latencies for a method, which is named at its first use.
   *
   * @param build row in {@link #builds}
   * @param method row in {@link #attempts}
   */
  public int attemptLatencyRow(int build, int method) {
    int row = build * attempts.rowCount() + method;
    if (rowNames.name(attemptLatency, row) == null) {
      nameRow(attemptLatency, row, name(builds, build) + "/" + name(attempts, method));
    }
    return row;
  }

  /** Sets the name of a row, for example to that of the same row in a metrics file. */
  public void nameRow(MetricsSheet sheet, int row, String name) {
    int globalRow = rowNames.nameRow(sheet, row, name);
    store.nameRow(globalRow, name);
  }

  /**
   * Writes all present names and values to a store, and from now on every new name at once and
   * every changed value at {@link #commit}.
   *
   * @param onFirstPostingOfIteration runs at the first posting of each loop iteration; the host
   *     must then call {@link #commit} at the end of the iteration
   */
  public void persistTo(MetricsStore newStore, Runnable onFirstPostingOfIteration) {
    store = newStore;
    for (int row = 0; row < rowNames.rowCount(); row++) {
      if (rowNames.name(row) != null) {
        store.nameRow(row, rowNames.name(row));
      }
    }
    values.persistTo(newStore, onFirstPostingOfIteration);
  }

  /**
   * Adds a value that an earlier incarnation of the relay counted. A value that was pending then is
   * counted as lost.
   *
   * @param name the row's name in the earlier incarnation
   */
  public void carryOver(MetricsSheet sheet, String name, int column, long value) {
    int row;
    if (sheet == attemptLatency) {
      int slash = name.indexOf('/');
      int build = row(builds, name.substring(0, slash));
      row = attemptLatencyRow(build, row(attempts, name.substring(slash + 1)));
    } else {
      row = row(sheet == shadowAttempts ? builds : sheet, name);
    }
    values.add(
        sheet.index(row, column == sheet.pendingColumn() ? sheet.lostColumn() : column), value);
  }

  /**
   * Disables all postings, to measure the cost of postings. Must be called before the first one.
   */
  public void disablePostings() {
    postingsDisabled = true;
  }

  /** Returns whether postings are disabled. */
  public boolean postingsDisabled() {
    return postingsDisabled;
  }

  /** Counts a new event in a row's total and in one of its columns. */
  public void postNew(MetricsSheet sheet, int row, int column) {
    post(sheet.index(row, TOTAL), 1, sheet.index(row, column));
  }

  /** Moves one event from a column to another. */
  public void postTransfer(MetricsSheet sheet, int row, int from, int to) {
    post(sheet.index(row, from), -1, sheet.index(row, to));
  }

  /**
   * Adds {@code amount} to one account and 1 to another: 1 to the total for a new event, or -1 to
   * the column that an event leaves.
   */
  private void post(int from, long amount, int to) {
    if (postingsDisabled) {
      return;
    }
    values.add(from, amount);
    values.add(to, 1);
    history.record(from, to);
  }

  // Events of RPCs and attempts, each posted to all sheets that it concerns. The parameters
  // method, tenant, build and endpoint are rows.

  /** Counts an admitted RPC. */
  public void rpcArrived(int method, int tenant) {
    postNew(calls, 0, CALLS_TAKEN);
    postNew(rpcs, method, rpcs.pendingColumn());
    postNew(tenants, tenant, tenants.pendingColumn());
  }

  /** Counts the end of an RPC; {@code column} is the outcome's column of {@link #rpcs}. */
  public void rpcEnded(int method, int tenant, int column) {
    postTransfer(rpcs, method, rpcs.pendingColumn(), column);
    postTransfer(tenants, tenant, tenants.pendingColumn(), TENANT_ENDED);
  }

  /**
   * Counts an RPC that ended ok.
   *
   * @param sinceArrival the time since the RPC arrived
   * @param metObjective whether the answer met the latency objective
   * @param metDeadline whether the answer met the deadline
   */
  public void rpcAnswered(
      int method, int tenant, TimeSpan sinceArrival, boolean metObjective, boolean metDeadline) {
    int column = metObjective ? ANSWER_IN_TIME : metDeadline ? ANSWER_LATE : ANSWER_TOO_LATE;
    postNew(answers, method, column);
    postNew(latency, method, 1 + HistogramBuckets.bucket(sinceArrival));
    rpcEnded(method, tenant, OK);
  }

  /** Counts a started attempt. */
  public void attemptSent(int method, int build, int endpoint, boolean shadow) {
    postNew(attempts, method, attempts.pendingColumn());
    postNew(builds, build, builds.pendingColumn());
    postNew(endpoints, endpoint, endpoints.pendingColumn());
    postNew(frames, 0, frames.pendingColumn());
    if (shadow) {
      postNew(shadowAttempts, build, shadowAttempts.pendingColumn());
    }
  }

  /** Counts an attempt that was written to a connection. */
  public void attemptWritten() {
    postTransfer(frames, 0, frames.pendingColumn(), FRAME_WRITTEN);
  }

  /**
   * Counts the end of an attempt.
   *
   * @param written whether the attempt was written to a connection
   * @param column the outcome's column of {@link #attempts}; the first column after the total is ok
   * @param sinceSent the time since the attempt was sent
   */
  public void attemptEnded(
      int method,
      int build,
      int endpoint,
      boolean shadow,
      boolean written,
      int column,
      TimeSpan sinceSent) {
    if (!written) {
      postTransfer(frames, 0, frames.pendingColumn(), FRAME_UNWRITTEN);
    }
    postTransfer(attempts, method, attempts.pendingColumn(), column);
    postTransfer(builds, build, builds.pendingColumn(), column);
    postTransfer(
        endpoints, endpoint, endpoints.pendingColumn(), column == OK ? OK : ENDPOINT_NOT_OK);
    if (shadow) {
      postTransfer(shadowAttempts, build, shadowAttempts.pendingColumn(), column);
    }
    if (column == OK) {
      int row = attemptLatencyRow(build, method);
      postNew(attemptLatency, row, 1 + HistogramBuckets.bucket(sinceSent));
    }
  }

  /** Writes all postings since the last commit to the store; called once per loop iteration. */
  public void commit() {
    values.commit();
  }

  /** Returns an account's value. */
  public long value(MetricsSheet sheet, int row, int column) {
    return values.get(sheet.index(row, column));
  }

  /** Returns a column's sum over all rows. */
  public long sum(MetricsSheet sheet, int column) {
    return AccountAudit.columnSum(values.liveValues(), sheet, column);
  }

  /** Returns the equations that do not hold for the present values; empty if all hold. */
  public List<Imbalance> check() {
    return check(values.liveValues());
  }

  /** Returns the equations that do not hold for other values, such as those of a file. */
  public List<Imbalance> check(long[] otherValues) {
    return new AccountAudit(this, otherValues, history).run();
  }

  /** Corrupts one account, so that a test can show that {@link #check} finds it. */
  void corrupt(int index, long by) {
    values.corrupt(index, by);
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
