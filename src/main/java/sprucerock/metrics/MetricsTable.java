package sprucerock.metrics;

import java.math.BigDecimal;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;

/** Formats metrics as a table for a terminal: rows in use, columns that are not all zero. */
public final class MetricsTable {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private MetricsTable() {}

  /**
   * Formats a snapshot; latencies are in milliseconds.
   *
   * @throws MetricsSnapshot.InvalidFileException if the snapshot is of another layout
   */
  public static String format(MetricsSnapshot snapshot)
      throws MetricsSnapshot.InvalidFileException {
    MethodAccounts accounts = snapshot.accounts();
    StringBuilder text =
        new StringBuilder(
            "generation "
                + snapshot.generation
                + ", "
                + (snapshot.cleanShutdown ? "ended in good order" : "running, or cut off")
                + "\n");
    for (MetricsSheet family : accounts.sheets()) {
      if (family.isHistogram()) {
        appendPercentiles(text, family, accounts, snapshot.values);
      } else {
        appendCounters(text, family, accounts, snapshot.values);
      }
    }
    return text.toString();
  }

  private static void appendCounters(
      StringBuilder text, MetricsSheet family, MethodAccounts accounts, long[] values) {
    int columns = family.columns().size();
    boolean[] used = new boolean[columns];
    for (int row = 0; row < family.rowCount(); row++) {
      for (int column = 0; column < columns; column++) {
        used[column] |= column == 0 || values[family.index(row, column)] != 0;
      }
    }
    text.append(String.format(Locale.ROOT, "%-14s %-14s", family.name(), family.rowKey()));
    for (int column = 0; column < columns; column++) {
      if (used[column]) {
        text.append(String.format(Locale.ROOT, " %13s", family.columns().get(column)));
      }
    }
    text.append('\n');
    for (int row = 0; row < family.rowCount(); row++) {
      if (values[family.index(row, 0)] == 0) {
        continue;
      }
      text.append(String.format(Locale.ROOT, "%-14s %-14s", "", accounts.name(family, row)));
      for (int column = 0; column < columns; column++) {
        if (used[column]) {
          text.append(String.format(Locale.ROOT, " %13d", values[family.index(row, column)]));
        }
      }
      text.append('\n');
    }
  }

  private static void appendPercentiles(
      StringBuilder text, MetricsSheet family, MethodAccounts accounts, long[] values) {
    text.append(
        String.format(
            Locale.ROOT,
            "%-14s %-14s %13s",
            family.name() + ", ms",
            family.rowKey(),
            family.columns().get(0)));
    for (double percentile : PERCENTILES) {
      text.append(
          String.format(
              Locale.ROOT,
              " %13s",
              "p" + BigDecimal.valueOf(percentile).stripTrailingZeros().toPlainString()));
    }
    text.append('\n');
    for (int row = 0; row < family.rowCount(); row++) {
      if (values[family.index(row, 0)] == 0) {
        continue;
      }
      Histogram latencies = HistogramBuckets.histogram(family, row, values);
      text.append(
          String.format(
              Locale.ROOT,
              "%-14s %-14s %13d",
              "",
              accounts.name(family, row),
              latencies.getTotalCount()));
      for (double percentile : PERCENTILES) {
        text.append(
            String.format(
                Locale.ROOT, " %13.3f", latencies.getValueAtPercentile(percentile) / 1000.0));
      }
      text.append('\n');
    }
  }
}
