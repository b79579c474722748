package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;

/**
 * Verifies the equations between accounts: each row's total is the sum of its parts, nothing
 * pending is negative, and tables that count the same things by different keys agree.
 */
final class AccountAudit {
  private static final int TOTAL = 0;
  private static final int OK = 1;

  private final MethodAccounts accounts;
  private final long[] values;
  private final PostingHistory history;
  private final List<MethodAccounts.Imbalance> found = new ArrayList<>();

  /**
   * An audit of one set of values.
   *
   * @param values by account, live ones or read from elsewhere
   */
  AccountAudit(MethodAccounts accounts, long[] values, PostingHistory history) {
    this.accounts = accounts;
    this.values = values;
    this.history = history;
  }

  /** The equations that don't hold, in a fixed order. */
  List<MethodAccounts.Imbalance> run() {
    for (MetricsSheet table : accounts.sheets()) {
      for (int row = 0; row < table.rowCount(); row++) {
        checkRow(table, row);
      }
    }
    checkTotals();
    for (int row = 0; row < accounts.rpcs.rowCount(); row++) {
      MetricsSheet rpcs = accounts.rpcs;
      MetricsSheet answers = accounts.answers;
      checkEqual(cell(rpcs, row, OK), value(rpcs, row, OK), answers, row, TOTAL);
      checkEqual(
          cell(answers, row, TOTAL), value(answers, row, TOTAL), accounts.latency, row, TOTAL);
    }
    for (int build = 0; build < accounts.builds.rowCount(); build++) {
      checkBuild(build);
    }
    for (int method = 0; method < accounts.attempts.rowCount(); method++) {
      checkMethod(method);
    }
    return found;
  }

  private void checkRow(MetricsSheet table, int row) {
    int columns = table.columns().size();
    long parts = 0;
    for (int column = 1; column < columns; column++) {
      parts += value(table, row, column);
    }
    long total = value(table, row, TOTAL);
    if (total != parts) {
      found.add(imbalance(equation(table, row), total, parts, table.index(row, TOTAL), columns));
    }
    long pending = table.hasPending() ? value(table, row, table.pendingColumn()) : 0;
    if (pending < 0) {
      String equation = cell(table, row, table.pendingColumn()) + " >= 0";
      found.add(imbalance(equation, pending, 0, table.index(row, TOTAL), columns));
    }
  }

  private void checkTotals() {
    MetricsSheet rpcs = accounts.rpcs;
    MetricsSheet tenants = accounts.tenants;
    final MetricsSheet attempts = accounts.attempts;
    final MetricsSheet endpoints = accounts.endpoints;
    checkSums(rpcs, TOTAL, tenants, TOTAL);
    checkSums(rpcs, rpcs.pendingColumn(), tenants, tenants.pendingColumn());
    checkSums(rpcs, rpcs.lostColumn(), tenants, tenants.lostColumn());
    checkSums(accounts.calls, 1, rpcs, TOTAL);
    for (int column = 0; column < SheetColumns.ATTEMPTS.size(); column++) {
      checkSums(attempts, column, accounts.builds, column);
    }
    checkSums(attempts, TOTAL, endpoints, TOTAL);
    checkSums(attempts, OK, endpoints, OK);
    checkSums(attempts, attempts.pendingColumn(), endpoints, endpoints.pendingColumn());
    checkSums(attempts, attempts.lostColumn(), endpoints, endpoints.lostColumn());
    checkSums(attempts, TOTAL, accounts.frames, TOTAL);
  }

  private void checkBuild(int build) {
    MetricsSheet builds = accounts.builds;
    MetricsSheet shadows = accounts.shadowAttempts;
    long sum = 0;
    for (int method = 0; method < accounts.attempts.rowCount(); method++) {
      sum += latencies(build, method);
    }
    String equation = "pick_latency ok of build " + accounts.name(builds, build);
    checkEqual(equation, sum, builds, build, OK);
    int columns = SheetColumns.ATTEMPTS.size();
    for (int column = 0; column < columns; column++) {
      long some = value(shadows, build, column);
      long all = value(builds, build, column);
      if (some > all) {
        String bound = cell(shadows, build, column) + " <= " + cell(builds, build, column);
        found.add(imbalance(bound, some, all, shadows.index(build, TOTAL), columns));
      }
    }
  }

  private void checkMethod(int method) {
    long sum = 0;
    for (int build = 0; build < accounts.builds.rowCount(); build++) {
      sum += latencies(build, method);
    }
    String equation = "pick_latency ok of method " + accounts.name(accounts.attempts, method);
    checkEqual(equation, sum, accounts.attempts, method, OK);
  }

  private long latencies(int build, int method) {
    return value(accounts.attemptLatency, build * accounts.attempts.rowCount() + method, TOTAL);
  }

  private void checkEqual(String what, long left, MetricsSheet table, int row, int column) {
    long right = value(table, row, column);
    if (left != right) {
      String equation = what + " = " + cell(table, row, column);
      int columns = table.columns().size();
      found.add(imbalance(equation, left, right, table.index(row, TOTAL), columns));
    }
  }

  private void checkSums(MetricsSheet one, int column, MetricsSheet other, int otherColumn) {
    long left = sum(values, one, column);
    long right = sum(values, other, otherColumn);
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
    found.add(imbalance(equation, left, right, one.firstAccount, one.size()));
  }

  static long sum(long[] values, MetricsSheet table, int column) {
    long sum = 0;
    for (int row = 0; row < table.rowCount(); row++) {
      sum += values[table.index(row, column)];
    }
    return sum;
  }

  private long value(MetricsSheet table, int row, int column) {
    return values[table.index(row, column)];
  }

  private MethodAccounts.Imbalance imbalance(
      String equation, long left, long right, int firstAccount, int count) {
    return new MethodAccounts.Imbalance(
        equation, left, right, history.latest(firstAccount, firstAccount + count, this::cell));
  }

  private String cell(int index) {
    for (MetricsSheet table : accounts.sheets()) {
      int offset = index - table.firstAccount;
      if (offset < table.size()) {
        int columns = table.columns().size();
        return cell(table, offset / columns, offset % columns);
      }
    }
    throw new IllegalArgumentException("no account " + index);
  }

  private String cell(MetricsSheet table, int row, int column) {
    return table.name()
        + "{"
        + table.rowKey()
        + "="
        + accounts.name(table, row)
        + "} "
        + table.columns().get(column);
  }

  private String equation(MetricsSheet table, int row) {
    if (table.isHistogram()) {
      return cell(table, row, TOTAL) + " = the sum of its buckets";
    }
    return cell(table, row, TOTAL)
        + " = "
        + String.join(" + ", table.columns().subList(1, table.columns().size()));
  }
}
