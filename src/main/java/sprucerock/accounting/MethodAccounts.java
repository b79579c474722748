package sprucerock.accounting;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The double-entry accounts of one relay: tables of counters, and one method for each thing that is
 * counted. A posting adds to a row's total and to one of its parts, or moves from one part to
 * another, so that each row's sum holds at all times.
 *
 * <p>One thread posts; a posting is a few additions. What was posted in a turn reaches the {@link
 * MetricsStore} together at {@link #commit}, so that no reader, nor a crash, ever sees half of one.
 */
public final class MethodAccounts {
  private static final int TOTAL = 0;

  // columns of the calls' table
  private static final int CALLS_TAKEN = 1;

  // columns that several tables have in common
  private static final int OK = 1;
  private static final int ENDPOINT_NOT_OK = 2;
  private static final int TENANT_ENDED = 1;

  // columns of the answers' table
  private static final int ANSWER_IN_TIME = 1;
  private static final int ANSWER_LATE = 2;
  private static final int ANSWER_TOO_LATE = 3;

  // columns of the frames' table
  private static final int FRAME_WRITTEN = 1;
  private static final int FRAME_UNWRITTEN = 2;

  /**
   * How many named rows the tables have; names beyond these count in the row {@link
   * MethodMetrics#OTHER}.
   */
  public record Capacity(int builds, int endpoints, int tenants) {
    /** No named rows, for hosts whose counters nobody reads by these. */
    public static final Capacity NONE = new Capacity(0, 0, 0);
  }

  /**
   * An equation that doesn't hold: its text, its two sides, and the last postings to the accounts
   * in it.
   */
  public record Imbalance(String equation, long left, long right, List<String> lastPostings) {
    @Override
    public String toString() {
      return equation + ": " + left + " is not " + right + "; last postings there: " + lastPostings;
    }
  }

  /** Requests as they reach the relay, before it decides whether to take them. */
  public final MetricsSheet calls;

  /** RPCs taken, by method, and how they ended. */
  public final MetricsSheet rpcs;

  /** RPCs taken, by tenant. */
  public final MetricsSheet tenants;

  /** Attempts, by method, and how they ended. */
  public final MetricsSheet attempts;

  /** Attempts, by build. */
  public final MetricsSheet builds;

  /** Attempts, by endpoint. */
  public final MetricsSheet endpoints;

  /** Shadow requests to a canary, by build; each is among the attempts, too. */
  public final MetricsSheet shadowAttempts;

  /** RPCs that ended ok, by the deadlines they were in time for. */
  public final MetricsSheet answers;

  /** How long these took, from their arrival here. */
  public final MetricsSheet latency;

  /** How long attempts took that ended ok, by build and method; see {@link #attemptLatencyRow}. */
  public final MetricsSheet attemptLatency;

  /** Attempts on their way to a connection: written as a frame, or ended before. */
  public final MetricsSheet frames;

  /** Results of attempts that had ended before, such as one that timed out. */
  public final MetricsSheet lateResults;

  /** TLS handshakes, begun or accepted here, by how they ended. */
  public final MetricsSheet handshakes;

  /** Changes of the TLS files, taken or refused. */
  public final MetricsSheet tlsFiles;

  /** Votes cast on a canary, by the controller's reply. */
  public final MetricsSheet votes;

  /** Gossip messages to other relays. */
  public final MetricsSheet messages;

  /** The relay's own starts: how each ended. */
  public final MetricsSheet starts;

  /** What each start found of the metrics kept before. */
  public final MetricsSheet metricsFiles;

  private final List<MetricsSheet> sheets = new ArrayList<>();
  private final RowNames names;
  private final CounterValues values;
  private final PostingHistory history = new PostingHistory();
  private MetricsStore store = MetricsStore.NONE;
  private boolean disabled;

  /**
   * Accounts that are all zero.
   *
   * @param methods the methods' names, in the order of their numbers
   * @param capacity how many named rows other tables have
   */
  public MethodAccounts(List<String> methods, Capacity capacity) {
    int byMethod = methods.size() + 1;
    final int byBuild = capacity.builds + 1;
    final List<String> ends = SheetColumns.ATTEMPTS;
    final List<String> answered = HistogramBuckets.columns("answered");
    final List<String> ok = HistogramBuckets.columns("ok");
    calls = settling("calls", "relay", 1, SheetColumns.CALLS);
    rpcs = settling("rpcs", "method", byMethod, SheetColumns.RPCS);
    tenants = settling("customer_rpcs", "customer", capacity.tenants + 1, SheetColumns.TENANTS);
    attempts = settling("picks", "method", byMethod, ends);
    builds = settling("build_picks", "build", byBuild, ends);
    endpoints = settling("unit_picks", "unit", capacity.endpoints + 1, SheetColumns.ENDPOINTS);
    shadowAttempts = settling("copies", "build", byBuild, ends);
    answers = immediate("answers", "method", byMethod, SheetColumns.ANSWERS);
    latency = immediate("latency", "method", byMethod, answered);
    attemptLatency = immediate("pick_latency", "build_and_method", byBuild * byMethod, ok);
    frames = settling("pick_frames", "relay", 1, SheetColumns.FRAMES);
    lateResults = immediate("late_results", "relay", 1, SheetColumns.LATE_RESULTS);
    handshakes = settling("handshakes", "relay", 1, SheetColumns.HANDSHAKES);
    tlsFiles = immediate("tls_files", "relay", 1, SheetColumns.TLS_FILES);
    votes = settling("votes", "relay", 1, SheetColumns.VOTES);
    messages = settling("messages", "relay", 1, SheetColumns.MESSAGES);
    starts = settling("starts", "relay", 1, SheetColumns.STARTS);
    metricsFiles = settling("files", "relay", 1, SheetColumns.FILES);
    names = new RowNames(sheets);
    values = new CounterValues(endOfTables());
    nameFixedRows(methods);
  }

  /** Adds a table whose postings are pending at first. */
  private MetricsSheet settling(String name, String by, int rows, List<String> columns) {
    return table(name, by, rows, columns, true);
  }

  /** Adds a table whose postings are final at once. */
  private MetricsSheet immediate(String name, String by, int rows, List<String> columns) {
    return table(name, by, rows, columns, false);
  }

  private MetricsSheet table(
      String name, String by, int rows, List<String> columns, boolean hasPending) {
    MetricsSheet made =
        new MetricsSheet(name, by, rows, endOfTables(), sheets.size(), columns, hasPending);
    sheets.add(made);
    return made;
  }

  private int endOfTables() {
    if (sheets.isEmpty()) {
      return 0;
    }
    MetricsSheet last = sheets.get(sheets.size() - 1);
    return last.firstAccount + last.size();
  }

  private void nameFixedRows(List<String> methods) {
    for (MetricsSheet table : sheets) {
      if (table != attemptLatency) {
        String name = table.rowCount() == 1 ? MetricsSheet.ALL : MetricsSheet.OTHER;
        nameRow(table, table.rowCount() - 1, name);
      }
    }
    for (String method : methods) {
      for (MetricsSheet table : List.of(rpcs, attempts, answers, latency)) {
        row(table, method);
      }
    }
  }

  /** All tables, in the order in which they are stored. */
  public List<MetricsSheet> sheets() {
    return Collections.unmodifiableList(sheets);
  }

  /** How many accounts there are: cells of all tables. */
  public int size() {
    return values.size();
  }

  /** How many rows all tables have. */
  public int rowCount() {
    return names.count();
  }

  /** A row's name; null where it isn't in use. */
  public String name(MetricsSheet table, int row) {
    return names.name(table, row);
  }

  /**
   * One line a table: its name, its key, how many rows, the columns. Where this text is the same,
   * so are the places of all accounts.
   */
  public String layout() {
    StringBuilder text = new StringBuilder();
    for (MetricsSheet table : sheets) {
      text.append(table.name())
          .append(' ')
          .append(table.rowKey())
          .append(' ')
          .append(table.rowCount())
          .append(' ')
          .append(String.join(",", table.columns()))
          .append('\n');
    }
    return text.toString();
  }

  /**
   * The row of a name, assigned if there is one left; else the row for all others. Shadow requests
   * have the rows of builds.
   */
  public int row(MetricsSheet table, String name) {
    Integer row = names.find(table, name);
    if (row != null) {
      return row;
    }
    int used = names.used(table);
    if (used >= table.rowCount()) {
      return table.rowCount() - 1;
    }
    int assigned = used - 1;
    nameRow(table, assigned, name);
    if (table == builds) {
      nameRow(shadowAttempts, assigned, name);
    }
    return assigned;
  }

  /**
   * The row of a build's attempt latencies for a method, named at its first use.
   *
   * @param build row in {@link #builds}
   * @param method row in {@link #attempts}
   */
  public int attemptLatencyRow(int build, int method) {
    int row = build * attempts.rowCount() + method;
    if (names.name(attemptLatency, row) == null) {
      nameRow(attemptLatency, row, name(builds, build) + "/" + name(attempts, method));
    }
    return row;
  }

  /** Names a row, as a file of another relay has it. */
  public void nameRow(MetricsSheet table, int row, String name) {
    int rowOfAll = names.assign(table, row, name);
    store.nameRow(rowOfAll, name);
  }

  /**
   * Keeps everything in a store from now on; what was posted so far goes there first.
   *
   * @param onFirstPostingOfTurn run at the first posting of each turn; whoever runs the turns then
   *     has to {@link #commit} at the turn's end
   */
  public void persistTo(MetricsStore newStore, Runnable onFirstPostingOfTurn) {
    store = newStore;
    for (int row = 0; row < names.count(); row++) {
      if (names.name(row) != null) {
        store.nameRow(row, names.name(row));
      }
    }
    values.persistTo(newStore, onFirstPostingOfTurn);
  }

  /**
   * Adds what an earlier incarnation of the relay counted; what was pending then counts as lost.
   *
   * @param name the row's name there
   */
  public void carryOver(MetricsSheet table, String name, int column, long value) {
    int row;
    if (table == attemptLatency) {
      int slash = name.indexOf('/');
      int build = row(builds, name.substring(0, slash));
      row = attemptLatencyRow(build, row(attempts, name.substring(slash + 1)));
    } else {
      row = row(table == shadowAttempts ? builds : table, name);
    }
    values.add(
        table.index(row, column == table.pendingColumn() ? table.lostColumn() : column), value);
  }

  /**
   * From now on nothing is posted, to measure what postings cost. Called before the first of them.
   */
  public void disablePostings() {
    disabled = true;
  }

  /** Whether postings are disabled. */
  public boolean postingsDisabled() {
    return disabled;
  }

  /** Counts something new, in a column. */
  public void postNew(MetricsSheet table, int row, int column) {
    post(table.index(row, TOTAL), 1, table.index(row, column));
  }

  /** Moves one from a column to another. */
  public void postTransfer(MetricsSheet table, int row, int from, int to) {
    post(table.index(row, from), -1, table.index(row, to));
  }

  private void post(int from, long amount, int to) {
    if (disabled) {
      return;
    }
    values.add(from, amount);
    values.add(to, 1);
    history.record(from, to);
  }

  // What happens to RPCs and attempts, each one posting over all tables that it touches. Methods,
  // tenants, builds and endpoints are given by their rows.

  /** An RPC was taken. */
  public void rpcArrived(int method, int tenant) {
    postNew(calls, 0, CALLS_TAKEN);
    postNew(rpcs, method, rpcs.pendingColumn());
    postNew(tenants, tenant, tenants.pendingColumn());
  }

  /** An RPC ended; {@code how} is a column of the RPCs' table. */
  public void rpcEnded(int method, int tenant, int how) {
    postTransfer(rpcs, method, rpcs.pendingColumn(), how);
    postTransfer(tenants, tenant, tenants.pendingColumn(), TENANT_ENDED);
  }

  /**
   * An RPC ended ok.
   *
   * @param after since its arrival
   * @param inTime whether it met its latency objective
   * @param byDeadline whether it met its deadline
   */
  public void rpcAnswered(
      int method, int tenant, TimeSpan after, boolean inTime, boolean byDeadline) {
    int column = inTime ? ANSWER_IN_TIME : byDeadline ? ANSWER_LATE : ANSWER_TOO_LATE;
    postNew(answers, method, column);
    postNew(latency, method, 1 + HistogramBuckets.bucket(after));
    rpcEnded(method, tenant, OK);
  }

  /** An attempt was started. */
  public void attemptSent(int method, int build, int endpoint, boolean shadow) {
    postNew(attempts, method, attempts.pendingColumn());
    postNew(builds, build, builds.pendingColumn());
    postNew(endpoints, endpoint, endpoints.pendingColumn());
    postNew(frames, 0, frames.pendingColumn());
    if (shadow) {
      postNew(shadowAttempts, build, shadowAttempts.pendingColumn());
    }
  }

  /** An attempt was put on a connection. */
  public void attemptWritten() {
    postTransfer(frames, 0, frames.pendingColumn(), FRAME_WRITTEN);
  }

  /** An attempt ended; {@code how} is a column of the attempts' table, of which the first is ok. */
  public void attemptEnded(
      int method,
      int build,
      int endpoint,
      boolean shadow,
      boolean written,
      int how,
      TimeSpan after) {
    if (!written) {
      postTransfer(frames, 0, frames.pendingColumn(), FRAME_UNWRITTEN);
    }
    postTransfer(attempts, method, attempts.pendingColumn(), how);
    postTransfer(builds, build, builds.pendingColumn(), how);
    postTransfer(endpoints, endpoint, endpoints.pendingColumn(), how == OK ? OK : ENDPOINT_NOT_OK);
    if (shadow) {
      postTransfer(shadowAttempts, build, shadowAttempts.pendingColumn(), how);
    }
    if (how == OK) {
      int row = attemptLatencyRow(build, method);
      postNew(attemptLatency, row, 1 + HistogramBuckets.bucket(after));
    }
  }

  /** At a turn's end: what was posted in it counts. */
  public void commit() {
    values.commit();
  }

  /** An account's value. */
  public long value(MetricsSheet table, int row, int column) {
    return values.get(table.index(row, column));
  }

  /** A column's sum over all rows. */
  public long sum(MetricsSheet table, int column) {
    return AccountAudit.sum(values.all(), table, column);
  }

  /** The equations that don't hold for the present values. Empty: all hold. */
  public List<Imbalance> check() {
    return check(values.all());
  }

  /** The same for values read elsewhere, such as from a file. */
  public List<Imbalance> check(long[] other) {
    return new AccountAudit(this, other, history).run();
  }

  /** Corrupts one account, so that tests can show that it is found. */
  void corrupt(int index, long by) {
    values.corrupt(index, by);
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
