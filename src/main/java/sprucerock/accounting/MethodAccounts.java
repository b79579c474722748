package sprucerock.accounting;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucerock.time.TimeSpan;

/**
 * The double-entry accounts of one relay. One thread posts; a posting is a few additions. What was
 * posted in a turn goes into the book together at its end, so that nobody, nor a crash, ever sees
 * half of one.
 */
public final class MethodAccounts {
  private static final int LAST = 64; // postings that a drift can name; some turns' worth

  /** How many rows there may be; further ones count as other. */
  public record Capacity(int builds, int endpoints, int tenants) {
    /** For hosts whose figures nobody reads by these. */
    public static final Capacity NONE = new Capacity(0, 0, 0);
  }

  /** An equation that does not hold: what it says, its two sides, and the last postings to it. */
  public record Imbalance(String equation, long left, long right, List<String> lastPostings) {
    @Override
    public String toString() {
      return equation + ": " + left + " is not " + right + "; last postings there: " + lastPostings;
    }
  }

  static final List<String> PICK_ENDS =
      List.of(
          "sent",
          "ok",
          "error",
          "full",
          "timed_out",
          "not_connected",
          "broken",
          "cancelled",
          "moot",
          "lost",
          "out");

  public final MethodMetrics calls;
  public final MethodMetrics rpcs;
  public final MethodMetrics tenants;
  public final MethodMetrics attempts;
  public final MethodMetrics builds;
  public final MethodMetrics endpoints;

  /** Copies to a build on trial, by build; each is among the picks, too. */
  public final MethodMetrics shadowAttempts;

  /** RPCs that ended ok, by the deadlines they were in time for. */
  public final MethodMetrics answers;

  /** How long these took, from their arrival here. */
  public final MethodMetrics latency;

  /** How long picks took that ended ok, by build and method; see {@link #tookRow}. */
  public final MethodMetrics attemptLatency;

  /** Picks on their way to a connection: written as a frame, or ended before. */
  public final MethodMetrics frames;

  /** Results of picks that had ended before, as of one that was out of time. */
  public final MethodMetrics lateResults;

  /** TLS handshakes, begun from here or taken, by how they ended. */
  public final MethodMetrics handshakes;

  /** Changes of the TLS files, taken or refused. */
  public final MethodMetrics tlsFiles;

  public final MethodMetrics votes;
  public final MethodMetrics messages;

  /** The relay's own starts: how each ended. */
  public final MethodMetrics starts;

  /** What each start found of the figures kept before. */
  public final MethodMetrics files;

  private final List<MethodMetrics> tables = new ArrayList<>();
  private final long[] values;
  private final String[] names;
  private final int[] firstRow;
  private final List<Map<String, Integer>> rowsByName = new ArrayList<>();
  private final int[] dirty;
  private final boolean[] isDirty;
  private int dirtyCount;
  private final int[] lastFrom = new int[LAST];
  private final int[] lastTo = new int[LAST];
  private long posted;
  private MetricsStore book = MetricsStore.NONE;
  private boolean disablePostings;
  private final int firstTook;
  private Runnable firstOfTurn = () -> {};

  public MethodAccounts(List<String> methods, Capacity room) {
    calls =
        sheet(
            "calls",
            "relay",
            1,
            List.of("received", "taken", "turned_away", "refused", "lost", "at_door"));
    rpcs =
        sheet(
            "rpcs",
            "method",
            methods.size() + 1,
            List.of("taken", "ok", "pushed_back", "aborted", "left", "lost", "open"));
    tenants =
        sheet(
            "customer_rpcs",
            "customer",
            room.tenants + 1,
            List.of("taken", "ended", "lost", "open"));
    attempts = sheet("picks", "method", methods.size() + 1, PICK_ENDS);
    builds = sheet("build_picks", "build", room.builds + 1, PICK_ENDS);
    endpoints =
        sheet(
            "unit_picks",
            "unit",
            room.endpoints + 1,
            List.of("sent", "ok", "not_ok", "lost", "out"));
    shadowAttempts = sheet("copies", "build", room.builds + 1, PICK_ENDS);
    answers =
        sheet(
            "answers",
            "method",
            methods.size() + 1,
            List.of("answered", "in_time", "late", "too_late"),
            false);
    latency =
        sheet("latency", "method", methods.size() + 1, HistogramBuckets.columns("answered"), false);
    attemptLatency =
        sheet(
            "pick_latency",
            "build_and_method",
            (room.builds + 1) * (methods.size() + 1),
            HistogramBuckets.columns("ok"),
            false);
    frames =
        sheet(
            "pick_frames",
            "relay",
            1,
            List.of("wanted", "written", "unwritten", "lost", "waiting"));
    lateResults = sheet("late_results", "relay", 1, List.of("came", "ok", "error", "full"), false);
    handshakes =
        sheet(
            "handshakes",
            "relay",
            1,
            List.of(
                "begun",
                "full",
                "resumed",
                "wrong_name",
                "expired",
                "not_yet_valid",
                "wrong_use",
                "unknown_issuer",
                "weak",
                "chain_too_long",
                "revoked",
                "no_certificate",
                "malformed",
                "no_protocol",
                "not_tls",
                "peer_refused",
                "timed_out",
                "ended",
                "too_many",
                "failed",
                "lost",
                "under_way"));
    tlsFiles = sheet("tls_files", "relay", 1, List.of("changes", "taken", "refused"), false);
    votes =
        sheet(
            "votes",
            "relay",
            1,
            List.of(
                "cast", "counts", "moot", "too_many", "error", "unanswered", "lost", "waiting"));
    messages = sheet("messages", "relay", 1, List.of("told", "sent", "dropped", "lost", "queued"));
    starts = sheet("starts", "relay", 1, List.of("starts", "ended", "lost", "running"));
    files =
        sheet(
            "files",
            "relay",
            1,
            List.of("opened", "fresh", "carried", "set_aside", "lost", "unread"));
    int size = 0;
    int rows = 0;
    firstRow = new int[tables.size()];
    for (int i = 0; i < tables.size(); i++) {
      firstRow[i] = rows;
      size += tables.get(i).size();
      rows += tables.get(i).rows();
    }
    firstTook = firstRow[attemptLatency.position];
    values = new long[size];
    dirty = new int[size];
    isDirty = new boolean[size];
    names = new String[rows];
    for (MethodMetrics sheet : tables) {
      if (sheet != attemptLatency) {
        label(sheet, sheet.rows() - 1, sheet.rows() == 1 ? MethodMetrics.ALL : MethodMetrics.OTHER);
      }
    }
    for (String method : methods) {
      for (MethodMetrics sheet : List.of(rpcs, attempts, answers, latency)) {
        row(sheet, method);
      }
    }
  }

  private MethodMetrics sheet(String name, String by, int rows, List<String> columns) {
    return sheet(name, by, rows, columns, true);
  }

  private MethodMetrics sheet(
      String name, String by, int rows, List<String> columns, boolean settles) {
    int base =
        tables.isEmpty()
            ? 0
            : tables.get(tables.size() - 1).base + tables.get(tables.size() - 1).size();
    MethodMetrics made = new MethodMetrics(name, by, rows, base, tables.size(), columns, settles);
    tables.add(made);
    rowsByName.add(new HashMap<>());
    return made;
  }

  public List<MethodMetrics> tables() {
    return Collections.unmodifiableList(tables);
  }

  public int size() {
    return values.length;
  }

  public int rows() {
    return names.length;
  }

  /** A row's name; null where it is not in use. */
  public String name(MethodMetrics sheet, int row) {
    return names[firstRow[sheet.position] + row];
  }

  /**
   * One line a sheet: its name, what tells rows apart, how many, the columns. The same text, the
   * same places.
   */
  public String layout() {
    StringBuilder text = new StringBuilder();
    for (MethodMetrics sheet : tables) {
      text.append(sheet.name())
          .append(' ')
          .append(sheet.by())
          .append(' ')
          .append(sheet.rows())
          .append(' ')
          .append(String.join(",", sheet.columns()))
          .append('\n');
    }
    return text.toString();
  }

  /**
   * The row of a name, made if there is room; else the one for all others. Copies have the rows of
   * builds.
   */
  public int row(MethodMetrics sheet, String label) {
    Map<String, Integer> known = rowsByName.get(sheet.position);
    Integer row = known.get(label);
    if (row != null) {
      return row;
    }
    if (known.size() >= sheet.rows()) {
      return sheet.rows() - 1;
    }
    int made = label(sheet, known.size() - 1, label);
    if (sheet == builds) {
      label(shadowAttempts, made, label);
    }
    return made;
  }

  /**
   * Where a build's latencies of a method stand, both by their rows in their own sheets. Named at
   * its first use.
   */
  public int attemptLatencyRow(int build, int method) {
    int row = build * attempts.rows() + method;
    if (names[firstTook + row] == null) {
      label(attemptLatency, row, name(builds, build) + "/" + name(attempts, method));
    }
    return row;
  }

  /** Names a row as another's file has it. */
  public void nameRow(MethodMetrics sheet, int row, String label) {
    label(sheet, row, label);
  }

  private int label(MethodMetrics sheet, int row, String label) {
    rowsByName.get(sheet.position).put(label, row);
    int all = firstRow[sheet.position] + row;
    names[all] = label;
    book.name(all, label);
    return row;
  }

  /**
   * Keeps everything in a book from now on; what was posted so far goes there first. Whoever runs
   * the turns is told when one has its first posting, and then has to {@link #commit} at its end.
   */
  public void persistTo(MetricsStore kept, Runnable onFirstPostingOfATurn) {
    firstOfTurn = onFirstPostingOfATurn;
    book = kept;
    for (int i = 0; i < names.length; i++) {
      if (names[i] != null) {
        book.name(i, names[i]);
      }
    }
    for (int i = 0; i < values.length; i++) {
      if (values[i] != 0) {
        mark(i);
      }
    }
    commit();
  }

  /**
   * What an earlier life of the relay counted: its figures go on, and what was pending then is
   * lost.
   */
  public void carryOver(MethodMetrics sheet, String label, int column, long value) {
    int cut = label.indexOf('/');
    int row =
        sheet == attemptLatency
            ? attemptLatencyRow(
                row(builds, label.substring(0, cut)), row(attempts, label.substring(cut + 1)))
            : row(sheet == shadowAttempts ? builds : sheet, label);
    add(sheet.index(row, column == sheet.pending() ? sheet.lost() : column), value);
  }

  /** From now on nothing is posted: for measuring what postings cost. Before the first of them. */
  public void disablePostings() {
    disablePostings = true;
  }

  public boolean postingsDisabled() {
    return disablePostings;
  }

  /** Something new, in a column. */
  public void postNew(MethodMetrics sheet, int row, int column) {
    if (disablePostings) {
      return;
    }
    add(sheet.index(row, 0), 1);
    add(sheet.index(row, column), 1);
    note(sheet.index(row, 0), sheet.index(row, column));
  }

  /** From one column to another. */
  public void postTransfer(MethodMetrics sheet, int row, int from, int to) {
    if (disablePostings) {
      return;
    }
    add(sheet.index(row, from), -1);
    add(sheet.index(row, to), 1);
    note(sheet.index(row, from), sheet.index(row, to));
  }

  // What happens to RPCs and picks, each one posting over all sheets that it touches. Rows are
  // those of names.

  /** An RPC was taken. */
  public void rpcArrived(int method, int tenant) {
    postNew(calls, 0, 1);
    postNew(rpcs, method, rpcs.pending());
    postNew(tenants, tenant, tenants.pending());
  }

  /** It ended, not ok: in a column of the RPCs' sheet. */
  public void rpcEnded(int method, int tenant, int how) {
    postTransfer(rpcs, method, rpcs.pending(), how);
    postTransfer(tenants, tenant, tenants.pending(), 1);
  }

  /** It ended ok, so long after it came. */
  public void rpcAnswered(
      int method, int tenant, TimeSpan after, boolean inTime, boolean byDeadline) {
    postNew(answers, method, inTime ? 1 : byDeadline ? 2 : 3);
    postNew(latency, method, 1 + HistogramBuckets.bucket(after));
    rpcEnded(method, tenant, 1);
  }

  public void attemptSent(int method, int build, int endpoint, boolean copy) {
    postNew(attempts, method, attempts.pending());
    postNew(builds, build, builds.pending());
    postNew(endpoints, endpoint, endpoints.pending());
    postNew(frames, 0, frames.pending());
    if (copy) {
      postNew(shadowAttempts, build, shadowAttempts.pending());
    }
  }

  /** It is on a connection. */
  public void attemptWritten() {
    postTransfer(frames, 0, frames.pending(), 1);
  }

  /** A pick ended: in a column of the picks' sheet, of which the first one is ok. */
  public void attemptEnded(
      int method, int build, int endpoint, boolean copy, boolean written, int how, TimeSpan after) {
    if (!written) {
      postTransfer(frames, 0, frames.pending(), 2);
    }
    postTransfer(attempts, method, attempts.pending(), how);
    postTransfer(builds, build, builds.pending(), how);
    postTransfer(endpoints, endpoint, endpoints.pending(), how == 1 ? 1 : 2);
    if (copy) {
      postTransfer(shadowAttempts, build, shadowAttempts.pending(), how);
    }
    if (how == 1) {
      postNew(attemptLatency, attemptLatencyRow(build, method), 1 + HistogramBuckets.bucket(after));
    }
  }

  private void note(int from, int to) {
    lastFrom[(int) (posted & LAST - 1)] = from;
    lastTo[(int) (posted & LAST - 1)] = to;
    posted++;
  }

  private void add(int index, long amount) {
    values[index] += amount;
    mark(index);
  }

  private void mark(int index) {
    if (isDirty[index]) {
      return;
    }
    isDirty[index] = true;
    if (dirtyCount == 0) {
      firstOfTurn.run();
    }
    dirty[dirtyCount++] = index;
  }

  /** At a turn's end: what was posted in it counts. */
  public void commit() {
    if (dirtyCount == 0) {
      return;
    }
    for (int i = 0; i < dirtyCount; i++) {
      isDirty[dirty[i]] = false;
      book.put(dirty[i], values[dirty[i]]);
    }
    dirtyCount = 0;
    book.commit();
  }

  public long value(MethodMetrics sheet, int row, int column) {
    return values[sheet.index(row, column)];
  }

  /** A column over all rows. */
  public long sum(MethodMetrics sheet, int column) {
    return sum(values, sheet, column);
  }

  private static long sum(long[] of, MethodMetrics sheet, int column) {
    long sum = 0;
    for (int row = 0; row < sheet.rows(); row++) {
      sum += of[sheet.index(row, column)];
    }
    return sum;
  }

  /** All equations, held against the values at hand. Empty: all hold. */
  public List<Imbalance> check() {
    return check(values);
  }

  /** The same for values read elsewhere, such as from a file. */
  public List<Imbalance> check(long[] of) {
    List<Imbalance> found = new ArrayList<>();
    for (MethodMetrics sheet : tables) {
      int columns = sheet.columns().size();
      for (int row = 0; row < sheet.rows(); row++) {
        long parts = 0;
        for (int column = 1; column < columns; column++) {
          parts += of[sheet.index(row, column)];
        }
        long total = of[sheet.index(row, 0)];
        if (total != parts) {
          found.add(drift(equation(sheet, row), total, parts, sheet.index(row, 0), columns));
        }
        long pending = sheet.hasPending() ? of[sheet.index(row, sheet.pending())] : 0;
        if (pending < 0) {
          found.add(
              drift(
                  cell(sheet, row, sheet.pending()) + " >= 0",
                  pending,
                  0,
                  sheet.index(row, 0),
                  columns));
        }
      }
    }
    same(found, of, rpcs, 0, tenants, 0);
    same(found, of, rpcs, rpcs.pending(), tenants, tenants.pending());
    same(found, of, rpcs, rpcs.lost(), tenants, tenants.lost());
    same(found, of, calls, 1, rpcs, 0);
    for (int column = 0; column < PICK_ENDS.size(); column++) {
      same(found, of, attempts, column, builds, column);
    }
    same(found, of, attempts, 0, endpoints, 0);
    same(found, of, attempts, 1, endpoints, 1);
    same(found, of, attempts, attempts.pending(), endpoints, endpoints.pending());
    same(found, of, attempts, attempts.lost(), endpoints, endpoints.lost());
    same(found, of, attempts, 0, frames, 0);
    for (int row = 0; row < rpcs.rows(); row++) {
      same(found, of, cell(rpcs, row, 1), of[rpcs.index(row, 1)], answers, row);
      same(found, of, cell(answers, row, 0), of[answers.index(row, 0)], latency, row);
    }
    for (int build = 0; build < builds.rows(); build++) {
      long sum = 0;
      for (int method = 0; method < attempts.rows(); method++) {
        sum += of[attemptLatency.index(build * attempts.rows() + method, 0)];
      }
      same(found, of, "pick_latency ok of build " + name(builds, build), sum, builds, build, 1);
      for (int column = 0; column < PICK_ENDS.size(); column++) {
        long some = of[shadowAttempts.index(build, column)];
        long all = of[builds.index(build, column)];
        if (some > all) {
          found.add(
              drift(
                  cell(shadowAttempts, build, column) + " <= " + cell(builds, build, column),
                  some,
                  all,
                  shadowAttempts.index(build, 0),
                  PICK_ENDS.size()));
        }
      }
    }
    for (int method = 0; method < attempts.rows(); method++) {
      long sum = 0;
      for (int build = 0; build < builds.rows(); build++) {
        sum += of[attemptLatency.index(build * attempts.rows() + method, 0)];
      }
      same(
          found,
          of,
          "pick_latency ok of method " + name(attempts, method),
          sum,
          attempts,
          method,
          1);
    }
    return found;
  }

  private void same(
      List<Imbalance> found, long[] of, String what, long left, MethodMetrics sheet, int row) {
    same(found, of, what, left, sheet, row, 0);
  }

  private void same(
      List<Imbalance> found,
      long[] of,
      String what,
      long left,
      MethodMetrics sheet,
      int row,
      int column) {
    long right = of[sheet.index(row, column)];
    if (left != right) {
      found.add(
          drift(
              what + " = " + cell(sheet, row, column),
              left,
              right,
              sheet.index(row, 0),
              sheet.columns().size()));
    }
  }

  private void same(
      List<Imbalance> found,
      long[] of,
      MethodMetrics one,
      int column,
      MethodMetrics other,
      int otherColumn) {
    long left = sum(of, one, column);
    long right = sum(of, other, otherColumn);
    if (left == right) {
      return;
    }
    String equation =
        one.name()
            + " "
            + one.columns().get(column)
            + " = "
            + other.name()
            + " "
            + other.columns().get(otherColumn);
    found.add(drift(equation, left, right, one.base, one.size()));
  }

  private Imbalance drift(String equation, long left, long right, int from, int many) {
    List<String> last = new ArrayList<>();
    for (long i = Math.max(0, posted - LAST); i < posted; i++) {
      int one = lastFrom[(int) (i & LAST - 1)];
      int other = lastTo[(int) (i & LAST - 1)];
      if (one >= from && one < from + many || other >= from && other < from + many) {
        last.add(cell(one) + " to " + cell(other));
      }
    }
    return new Imbalance(
        equation, left, right, last.subList(Math.max(0, last.size() - 5), last.size()));
  }

  private String cell(int index) {
    for (MethodMetrics sheet : tables) {
      int at = index - sheet.base;
      if (at < sheet.size()) {
        return cell(sheet, at / sheet.columns().size(), at % sheet.columns().size());
      }
    }
    throw new IllegalArgumentException("no account " + index);
  }

  private String cell(MethodMetrics sheet, int row, int column) {
    return sheet.name()
        + "{"
        + sheet.by()
        + "="
        + name(sheet, row)
        + "} "
        + sheet.columns().get(column);
  }

  private String equation(MethodMetrics sheet, int row) {
    if (sheet.isHistogram()) {
      return cell(sheet, row, 0) + " = the sum of its buckets";
    }
    return cell(sheet, row, 0)
        + " = "
        + String.join(" + ", sheet.columns().subList(1, sheet.columns().size()));
  }

  /** Spoils one account, so that tests can show that it is found. */
  void corrupt(int index, long by) {
    values[index] += by;
  }

  @Override
  public String toString() {
    return Arrays.toString(values);
  }
}
