package sprucerock.metrics;

import java.math.BigDecimal;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MethodMetrics;

/** Figures as a table for a terminal: rows in use, columns that are not all zero. */
public final class MetricsTable {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private MetricsTable() {}

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
    for (MethodMetrics sheet : accounts.tables()) {
      if (sheet.isHistogram()) {
        scaled(text, sheet, accounts, snapshot.values);
      } else {
        sheet(text, sheet, accounts, snapshot.values);
      }
    }
    return text.toString();
  }

  private static void sheet(
      StringBuilder text, MethodMetrics sheet, MethodAccounts accounts, long[] values) {
    int columns = sheet.columns().size();
    boolean[] used = new boolean[columns];
    for (int row = 0; row < sheet.rows(); row++) {
      for (int column = 0; column < columns; column++) {
        used[column] |= column == 0 || values[sheet.index(row, column)] != 0;
      }
    }
    text.append(String.format(Locale.ROOT, "%-14s %-14s", sheet.name(), sheet.by()));
    for (int column = 0; column < columns; column++) {
      if (used[column]) {
        text.append(String.format(Locale.ROOT, " %13s", sheet.columns().get(column)));
      }
    }
    text.append('\n');
    for (int row = 0; row < sheet.rows(); row++) {
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

  private static void scaled(
      StringBuilder text, MethodMetrics sheet, MethodAccounts accounts, long[] values) {
    text.append(
        String.format(
            Locale.ROOT,
            "%-14s %-14s %13s",
            sheet.name() + ", ms",
            sheet.by(),
            sheet.columns().get(0)));
    for (double percentile : PERCENTILES) {
      text.append(
          String.format(
              Locale.ROOT,
              " %13s",
              "p" + BigDecimal.valueOf(percentile).stripTrailingZeros().toPlainString()));
    }
    text.append('\n');
    for (int row = 0; row < sheet.rows(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      Histogram times = HistogramBuckets.histogram(sheet, row, values);
      text.append(
          String.format(
              Locale.ROOT,
              "%-14s %-14s %13d",
              "",
              accounts.name(sheet, row),
              times.getTotalCount()));
      for (double percentile : PERCENTILES) {
        text.append(
            String.format(Locale.ROOT, " %13.3f", times.getValueAtPercentile(percentile) / 1000.0));
      }
      text.append('\n');
    }
  }
}
