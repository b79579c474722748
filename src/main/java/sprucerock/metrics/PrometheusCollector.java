package sprucerock.metrics;

import io.prometheus.metrics.model.registry.MultiCollector;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;

/**
 * Converts one snapshot into Prometheus metrics for each scrape, so that the sums hold within a
 * scrape. Monitors rely on the names, labels and help texts, which must not change.
 */
final class PrometheusCollector implements MultiCollector {
  private static final String PREFIX = "sprucerock_";
  private static final int BUCKETS_PER_OCTAVE = 16;

  private final Supplier<MetricsSnapshot> snapshots;
  private final BooleanSupplier hasDrifted;
  private final BooleanSupplier isPersistent;
  private final Supplier<Map<String, Double>> gauges;

  PrometheusCollector(
      Supplier<MetricsSnapshot> snapshots,
      BooleanSupplier hasDrifted,
      BooleanSupplier isPersistent,
      Supplier<Map<String, Double>> gauges) {
    this.snapshots = snapshots;
    this.hasDrifted = hasDrifted;
    this.isPersistent = isPersistent;
    this.gauges = gauges;
  }

  @Override
  public MetricSnapshots collect() {
    MetricsSnapshot snapshot = snapshots.get();
    MethodAccounts accounts;
    try {
      accounts = snapshot.accounts();
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
    MetricSnapshots.Builder metrics = MetricSnapshots.builder();
    for (MetricsSheet sheet : accounts.sheets()) {
      if (sheet.isHistogram()) {
        addHistogram(metrics, sheet, accounts, snapshot.values);
      } else {
        addCounters(metrics, sheet, accounts, snapshot.values);
      }
    }
    metrics.metricSnapshot(
        gauge(
            "generation", "Starts of this relay under one file of figures.", snapshot.generation));
    metrics.metricSnapshot(
        gauge(
            "figures_drift",
            "1 from the moment on that a sum did not hold.",
            hasDrifted.getAsBoolean() ? 1 : 0));
    metrics.metricSnapshot(
        gauge(
            "figures_kept",
            "1 where figures outlive a kill; 0 without a file, or where it can't be written.",
            isPersistent.getAsBoolean() ? 1 : 0));
    new TreeMap<>(gauges.get())
        .forEach(
            (name, value) ->
                metrics.metricSnapshot(gauge(name, "See the operators' pages.", value)));
    return metrics.build();
  }

  private static GaugeSnapshot gauge(String name, String help, double value) {
    return GaugeSnapshot.builder()
        .name(PREFIX + name)
        .help(help)
        .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value).build())
        .build();
  }

  private static void addCounters(
      MetricSnapshots.Builder metrics, MetricsSheet sheet, MethodAccounts accounts, long[] values) {
    String total = sheet.columns().get(0);
    String pending = sheet.hasPending() ? sheet.columns().get(sheet.pendingColumn()) : "";
    CounterSnapshot.Builder totals =
        CounterSnapshot.builder()
            .name(PREFIX + sheet.name() + "_" + total)
            .help(
                "All "
                    + sheet.name()
                    + "; the sum of ended"
                    + (sheet.hasPending() ? " and " + pending : "")
                    + ".");
    CounterSnapshot.Builder ended =
        CounterSnapshot.builder()
            .name(PREFIX + sheet.name() + "_ended")
            .help("Of these, ended, by how.");
    GaugeSnapshot.Builder pendingGauge =
        GaugeSnapshot.builder()
            .name(PREFIX + sheet.name() + "_" + pending)
            .help("Of these, not over yet.");
    for (int row = 0; row < sheet.rowCount(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      Labels labels =
          sheet.rowCount() == 1
              ? Labels.EMPTY
              : Labels.of(sheet.rowKey(), accounts.name(sheet, row));
      totals.dataPoint(counter(labels, values[sheet.index(row, 0)]));
      for (int column = 1; column < sheet.endOfOutcomeColumns(); column++) {
        ended.dataPoint(
            counter(
                labels.add("how", sheet.columns().get(column)), values[sheet.index(row, column)]));
      }
      if (!sheet.hasPending()) {
        continue;
      }
      pendingGauge.dataPoint(
          GaugeSnapshot.GaugeDataPointSnapshot.builder()
              .labels(labels)
              .value(values[sheet.index(row, sheet.pendingColumn())])
              .build());
    }
    metrics.metricSnapshot(totals.build()).metricSnapshot(ended.build());
    if (sheet.hasPending()) {
      metrics.metricSnapshot(pendingGauge.build());
    }
  }

  /**
   * Adds a histogram with one bucket for each octave. The accounts have sixteen buckets for each
   * octave, but every exported series costs the monitor resources.
   */
  private static void addHistogram(
      MetricSnapshots.Builder metrics, MetricsSheet sheet, MethodAccounts accounts, long[] values) {
    HistogramSnapshot.Builder histogram =
        HistogramSnapshot.builder()
            .name(PREFIX + sheet.name() + "_seconds")
            .help("Latency; counts are those of the accounts.");
    for (int row = 0; row < sheet.rowCount(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
      long count = 0;
      for (int i = 0; i < HistogramBuckets.BUCKET_COUNT; i++) {
        count += values[sheet.index(row, 1 + i)];
        boolean isLast = i == HistogramBuckets.BUCKET_COUNT - 1;
        if (!isLast && !endsOctave(i)) {
          continue;
        }
        buckets.bucket(
            isLast ? Double.POSITIVE_INFINITY : HistogramBuckets.lowerBoundUs(i + 1) / 1e6, count);
        count = 0;
      }
      Labels labels = labels(sheet, accounts.name(sheet, row));
      histogram.dataPoint(
          HistogramSnapshot.HistogramDataPointSnapshot.builder()
              .classicHistogramBuckets(buckets.build())
              .labels(labels)
              .build());
    }
    metrics.metricSnapshot(histogram.build());
  }

  /**
   * Returns whether a bucket is the last of an exported octave. The first 32 buckets are 16 us
   * wide, so that buckets 7, 15 and 31 end at 128, 256 and 512 us.
   */
  private static boolean endsOctave(int bucket) {
    boolean fullOctave =
        bucket >= 2 * BUCKETS_PER_OCTAVE - 1
            && bucket % BUCKETS_PER_OCTAVE == BUCKETS_PER_OCTAVE - 1;
    return fullOctave || bucket == 7 || bucket == 15;
  }

  private static Labels labels(MetricsSheet sheet, String name) {
    int slash = name.indexOf('/');
    return sheet.rowKey().equals("method")
        ? Labels.of("method", name)
        : Labels.of("build", name.substring(0, slash), "method", name.substring(slash + 1));
  }

  private static CounterSnapshot.CounterDataPointSnapshot counter(Labels labels, double value) {
    return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
  }
}
