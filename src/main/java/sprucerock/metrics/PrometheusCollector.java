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
 * Makes Prometheus metrics of one snapshot for each scrape, so that sums hold within it. Names,
 * labels and help texts are what monitors know: they stay.
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
    for (MetricsSheet family : accounts.sheets()) {
      if (family.isHistogram()) {
        addHistogram(metrics, family, accounts, snapshot.values);
      } else {
        addCounters(metrics, family, accounts, snapshot.values);
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
      MetricSnapshots.Builder metrics,
      MetricsSheet family,
      MethodAccounts accounts,
      long[] values) {
    String total = family.columns().get(0);
    String pending = family.hasPending() ? family.columns().get(family.pendingColumn()) : "";
    CounterSnapshot.Builder totals =
        CounterSnapshot.builder()
            .name(PREFIX + family.name() + "_" + total)
            .help(
                "All "
                    + family.name()
                    + "; the sum of ended"
                    + (family.hasPending() ? " and " + pending : "")
                    + ".");
    CounterSnapshot.Builder ended =
        CounterSnapshot.builder()
            .name(PREFIX + family.name() + "_ended")
            .help("Of these, ended, by how.");
    GaugeSnapshot.Builder pendingGauge =
        GaugeSnapshot.builder()
            .name(PREFIX + family.name() + "_" + pending)
            .help("Of these, not over yet.");
    for (int row = 0; row < family.rowCount(); row++) {
      if (values[family.index(row, 0)] == 0) {
        continue;
      }
      Labels labels =
          family.rowCount() == 1
              ? Labels.EMPTY
              : Labels.of(family.rowKey(), accounts.name(family, row));
      totals.dataPoint(counter(labels, values[family.index(row, 0)]));
      for (int column = 1; column < family.endOfOutcomeColumns(); column++) {
        ended.dataPoint(
            counter(
                labels.add("how", family.columns().get(column)),
                values[family.index(row, column)]));
      }
      if (!family.hasPending()) {
        continue;
      }
      pendingGauge.dataPoint(
          GaugeSnapshot.GaugeDataPointSnapshot.builder()
              .labels(labels)
              .value(values[family.index(row, family.pendingColumn())])
              .build());
    }
    metrics.metricSnapshot(totals.build()).metricSnapshot(ended.build());
    if (family.hasPending()) {
      metrics.metricSnapshot(pendingGauge.build());
    }
  }

  /**
   * Adds a histogram whose bounds are octaves, of which the accounts have sixteen parts each: a
   * monitor pays for each series.
   */
  private static void addHistogram(
      MetricSnapshots.Builder metrics,
      MetricsSheet family,
      MethodAccounts accounts,
      long[] values) {
    HistogramSnapshot.Builder histogram =
        HistogramSnapshot.builder()
            .name(PREFIX + family.name() + "_seconds")
            .help("Latency; counts are those of the accounts.");
    for (int row = 0; row < family.rowCount(); row++) {
      if (values[family.index(row, 0)] == 0) {
        continue;
      }
      ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
      long count = 0;
      for (int i = 0; i < HistogramBuckets.BUCKET_COUNT; i++) {
        count += values[family.index(row, 1 + i)];
        boolean last = i == HistogramBuckets.BUCKET_COUNT - 1;
        if (!last && !endsOctave(i)) {
          continue;
        }
        buckets.bucket(
            last ? Double.POSITIVE_INFINITY : HistogramBuckets.lowerBoundUs(i + 1) / 1e6, count);
        count = 0;
      }
      Labels labels = labels(family, accounts.name(family, row));
      histogram.dataPoint(
          HistogramSnapshot.HistogramDataPointSnapshot.builder()
              .classicHistogramBuckets(buckets.build())
              .labels(labels)
              .build());
    }
    metrics.metricSnapshot(histogram.build());
  }

  private static boolean endsOctave(int bucket) {
    boolean fullOctave =
        bucket >= 2 * BUCKETS_PER_OCTAVE - 1
            && bucket % BUCKETS_PER_OCTAVE == BUCKETS_PER_OCTAVE - 1;
    return fullOctave || bucket == 7 || bucket == 15;
  }

  private static Labels labels(MetricsSheet family, String name) {
    int cut = name.indexOf('/');
    return family.rowKey().equals("method")
        ? Labels.of("method", name)
        : Labels.of("build", name.substring(0, cut), "method", name.substring(cut + 1));
  }

  private static CounterSnapshot.CounterDataPointSnapshot counter(Labels labels, double value) {
    return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
  }
}
