package sprucerock.metrics;

import java.math.BigDecimal;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;

/** Formats metrics as a table for a terminal, without unused rows and all-zero columns. */
public final class MetricsTable {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private MetricsTable() {}

  /**
   * Formats a snapshot. Latencies are in milliseconds.
   *
   * @throws MetricsSnapshot.InvalidFileException if the snapshot has the layout of another version
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
    for (MetricsSheet sheet : accounts.sheets()) {
      if (sheet.isHistogram()) {
        appendPercentiles(text, sheet, accounts, snapshot.values);
      } else {
        appendCounters(text, sheet, accounts, snapshot.values);
      }
    }
    return text.toString();
  }

  private static void appendCounters(
      StringBuilder text, MetricsSheet sheet, MethodAccounts accounts, long[] values) {
    int columns = sheet.columns().size();
    boolean[] used = new boolean[columns];
    for (int row = 0; row < sheet.rowCount(); row++) {
      for (int column = 0; column < columns; column++) {
        used[column] |= column == 0 || values[sheet.index(row, column)] != 0;
      }
    }
    text.append(String.format(Locale.ROOT, "%-14s %-14s", sheet.name(), sheet.rowKey()));
    for (int column = 0; column < columns; column++) {
      if (used[column]) {
        text.append(String.format(Locale.ROOT, " %13s", sheet.columns().get(column)));
      }
    }
    text.append('\n');
    for (int row = 0; row < sheet.rowCount(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      text.append(String.format(Locale.ROOT, "%-14s %-14s", "", accounts.name(sheet, row)));
      for (int column = 0; column < columns; column++) {
        if (used[column]) {
          text.append(String.format(Locale.ROOT, " %13d", values[sheet.index(row, column)]));
        }
      }
      text.append('\n');
    }
  }

  private static void appendPercentiles(
      StringBuilder text, MetricsSheet sheet, MethodAccounts accounts, long[] values) {
    text.append(
        String.format(
            Locale.ROOT,
            "%-14s %-14s %13s",
            sheet.name() + ", ms",
            sheet.rowKey(),
            sheet.columns().get(0)));
    for (double percentile : PERCENTILES) {
      text.append(
          String.format(
              Locale.ROOT,
              " %13s",
              "p" + BigDecimal.valueOf(percentile).stripTrailingZeros().toPlainString()));
    }
    text.append('\n');
    for (int row = 0; row < sheet.rowCount(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      Histogram latencies = HistogramBuckets.histogram(sheet, row, values);
      text.append(
          String.format(
              Locale.ROOT,
              "%-14s %-14s %13d",
              "",
              accounts.name(sheet, row),
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
