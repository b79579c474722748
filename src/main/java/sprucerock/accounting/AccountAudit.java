package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;

/**
 * Verifies the equations between accounts: each row's total is the sum of its parts, no pending
 * value is negative, and sheets that count the same events by different keys agree.
 */
final class AccountAudit {
  private static final int TOTAL = 0;
  private static final int OK = 1;

  private final MethodAccounts accounts;
  private final long[] values;
  private final PostingHistory history;
  private final List<MethodAccounts.Imbalance> imbalances = new ArrayList<>();

  /**
   * Creates an audit of one set of values.
   *
   * @param values the values by account, either the live ones or from another source
   */
  AccountAudit(MethodAccounts accounts, long[] values, PostingHistory history) {
    this.accounts = accounts;
    this.values = values;
    this.history = history;
  }

  /** Returns the equations that do not hold, in a fixed order. */
  List<MethodAccounts.Imbalance> run() {
    for (MetricsSheet sheet : accounts.sheets()) {
      for (int row = 0; row < sheet.rowCount(); row++) {
        checkRow(sheet, row);
      }
    }
    checkTotals();
    for (int row = 0; row < accounts.rpcs.rowCount(); row++) {
      MetricsSheet rpcs = accounts.rpcs;
      MetricsSheet answers = accounts.answers;
      checkEqual(accountName(rpcs, row, OK), value(rpcs, row, OK), answers, row, TOTAL);
      checkEqual(
          accountName(answers, row, TOTAL),
          value(answers, row, TOTAL),
          accounts.latency,
          row,
          TOTAL);
    }
    for (int build = 0; build < accounts.builds.rowCount(); build++) {
      checkBuild(build);
    }
    for (int method = 0; method < accounts.attempts.rowCount(); method++) {
      checkMethod(method);
    }
    return imbalances;
  }

  private void checkRow(MetricsSheet sheet, int row) {
    int columns = sheet.columns().size();
    long parts = 0;
    for (int column = 1; column < columns; column++) {
      parts += value(sheet, row, column);
    }
    long total = value(sheet, row, TOTAL);
    if (total != parts) {
      imbalances.add(
          imbalance(equation(sheet, row), total, parts, sheet.index(row, TOTAL), columns));
    }
    long pending = sheet.hasPending() ? value(sheet, row, sheet.pendingColumn()) : 0;
    if (pending < 0) {
      String equation = accountName(sheet, row, sheet.pendingColumn()) + " >= 0";
      imbalances.add(imbalance(equation, pending, 0, sheet.index(row, TOTAL), columns));
    }
  }

  private void checkTotals() {
    MetricsSheet rpcs = accounts.rpcs;
    MetricsSheet tenants = accounts.tenants;
    final MetricsSheet attempts = accounts.attempts;
    final MetricsSheet endpoints = accounts.endpoints;
    checkColumnSums(rpcs, TOTAL, tenants, TOTAL);
    checkColumnSums(rpcs, rpcs.pendingColumn(), tenants, tenants.pendingColumn());
    checkColumnSums(rpcs, rpcs.lostColumn(), tenants, tenants.lostColumn());
    checkColumnSums(accounts.calls, 1, rpcs, TOTAL);
    for (int column = 0; column < SheetColumns.ATTEMPTS.size(); column++) {
      checkColumnSums(attempts, column, accounts.builds, column);
    }
    checkColumnSums(attempts, TOTAL, endpoints, TOTAL);
    checkColumnSums(attempts, OK, endpoints, OK);
    checkColumnSums(attempts, attempts.pendingColumn(), endpoints, endpoints.pendingColumn());
    checkColumnSums(attempts, attempts.lostColumn(), endpoints, endpoints.lostColumn());
    checkColumnSums(attempts, TOTAL, accounts.frames, TOTAL);
  }

  private void checkBuild(int build) {
    MetricsSheet builds = accounts.builds;
    MetricsSheet shadowAttempts = accounts.shadowAttempts;
    long sum = 0;
    for (int method = 0; method < accounts.attempts.rowCount(); method++) {
      sum += attemptLatencyCount(build, method);
    }
    String equation = "pick_latency ok of build " + accounts.name(builds, build);
    checkEqual(equation, sum, builds, build, OK);
    int columns = SheetColumns.ATTEMPTS.size();
    for (int column = 0; column < columns; column++) {
      long shadows = value(shadowAttempts, build, column);
      long all = value(builds, build, column);
      if (shadows > all) {
        String bound =
            accountName(shadowAttempts, build, column)
                + " <= "
                + accountName(builds, build, column);
        imbalances.add(imbalance(bound, shadows, all, shadowAttempts.index(build, TOTAL), columns));
      }
    }
  }

  private void checkMethod(int method) {
    long sum = 0;
    for (int build = 0; build < accounts.builds.rowCount(); build++) {
      sum += attemptLatencyCount(build, method);
    }
    String equation = "pick_latency ok of method " + accounts.name(accounts.attempts, method);
    checkEqual(equation, sum, accounts.attempts, method, OK);
  }

  private long attemptLatencyCount(int build, int method) {
    return value(accounts.attemptLatency, build * accounts.attempts.rowCount() + method, TOTAL);
  }

  private void checkEqual(String leftName, long left, MetricsSheet sheet, int row, int column) {
    long right = value(sheet, row, column);
    if (left != right) {
      String equation = leftName + " = " + accountName(sheet, row, column);
      int columns = sheet.columns().size();
      imbalances.add(imbalance(equation, left, right, sheet.index(row, TOTAL), columns));
    }
  }

  private void checkColumnSums(
      MetricsSheet leftSheet, int leftColumn, MetricsSheet rightSheet, int rightColumn) {
    long left = columnSum(values, leftSheet, leftColumn);
    long right = columnSum(values, rightSheet, rightColumn);
    if (left == right) {
      return;
    }
    String equation =
        leftSheet.name()
            + " "
            + leftSheet.columns().get(leftColumn)
            + " = "
            + rightSheet.name()
            + " "
            + rightSheet.columns().get(rightColumn);
    imbalances.add(imbalance(equation, left, right, leftSheet.firstAccount, leftSheet.size()));
  }

  static long columnSum(long[] values, MetricsSheet sheet, int column) {
    long sum = 0;
    for (int row = 0; row < sheet.rowCount(); row++) {
      sum += values[sheet.index(row, column)];
    }
    return sum;
  }

  private long value(MetricsSheet sheet, int row, int column) {
    return values[sheet.index(row, column)];
  }

  private MethodAccounts.Imbalance imbalance(
      String equation, long left, long right, int firstAccount, int count) {
    return new MethodAccounts.Imbalance(
        equation,
        left,
        right,
        history.latestTouching(firstAccount, firstAccount + count, this::accountName));
  }

  private String accountName(int index) {
    for (MetricsSheet sheet : accounts.sheets()) {
      int offset = index - sheet.firstAccount;
      if (offset < sheet.size()) {
        int columns = sheet.columns().size();
        return accountName(sheet, offset / columns, offset % columns);
      }
    }
    throw new IllegalArgumentException(
        "no account with index " + index + "; allowed are 0 to " + (accounts.size() - 1));
  }

  private String accountName(MetricsSheet sheet, int row, int column) {
    return sheet.name()
        + "{"
        + sheet.rowKey()
        + "="
        + accounts.name(sheet, row)
        + "} "
        + sheet.columns().get(column);
  }

  private String equation(MetricsSheet sheet, int row) {
    if (sheet.isHistogram()) {
      return accountName(sheet, row, TOTAL) + " = the sum of its buckets";
    }
    return accountName(sheet, row, TOTAL)
        + " = "
        + String.join(" + ", sheet.columns().subList(1, sheet.columns().size()));
  }
}
