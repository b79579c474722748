package sprucerock.metrics;

import com.sun.net.httpserver.HttpExchange;
import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.MultiCollector;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MethodMetrics;

/**
 * Serves a relay's figures to a monitor, in Prometheus text or OpenMetrics. A scrape is made of one
 * snapshot, so that sums hold within it; it runs on the server's threads and never holds the relay
 * up.
 */
public final class MetricsExporter implements MultiCollector, AutoCloseable {
  private static final String PREFIX = "sprucerock_";
  private static final String STALLED_SECONDS = "2";
  // a scrape takes milliseconds, also over a slow network
  private static final int WORKERS = 4;
  // as many monitors at once; each costs a core while it reads
  private static final int WAITING = 32;

  private final Supplier<MetricsSnapshot> snapshots;
  private final BooleanSupplier drifting;
  private final BooleanSupplier kept;
  private final Supplier<Map<String, Double>> more;
  private final HTTPServer server;
  private final ThreadPoolExecutor workers;

  static {
    // read once by the server of the JDK: a scrape whose request or reading stalls is cut off after
    // so many seconds
    System.setProperty("sun.net.httpserver.maxReqTime", STALLED_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", STALLED_SECONDS);
  }

  /**
   * Serves from now on; {@code more}: what is true at the time of a scrape, and counted nowhere.
   *
   * @throws IOException if the address can't be had
   */
  public MetricsExporter(
      Supplier<MetricsSnapshot> snapshots,
      BooleanSupplier drifting,
      BooleanSupplier kept,
      Supplier<Map<String, Double>> more,
      InetSocketAddress at)
      throws IOException {
    this.snapshots = snapshots;
    this.drifting = drifting;
    this.kept = kept;
    this.more = more;
    PrometheusRegistry registry = new PrometheusRegistry();
    registry.register(this);
    // beyond these the server closes the connection: a monitor comes again
    workers =
        new ThreadPoolExecutor(
            WORKERS,
            WORKERS,
            10,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(WAITING),
            task -> {
              Thread thread = new Thread(task, "scrape");
              thread.setDaemon(true);
              return thread;
            });
    workers.allowCoreThreadTimeOut(true);
    server =
        HTTPServer.builder()
            .inetAddress(at.getAddress())
            .port(at.getPort())
            .registry(registry)
            .executorService(workers)
            .defaultHandler(this::table)
            .buildAndStart();
  }

  /** For people, at any path but that of the monitor: the table, and what does not hold. */
  private void table(HttpExchange exchange) throws IOException {
    StringBuilder text = new StringBuilder();
    int status = 200;
    try {
      MetricsSnapshot snapshot = snapshots.get();
      text.append(MetricsTable.format(snapshot));
      for (MethodAccounts.Imbalance drift : snapshot.accounts().check(snapshot.values)) {
        text.append("DRIFT ").append(drift).append('\n');
        status = 500;
      }
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IOException(e.getMessage());
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=utf-8");
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  public int port() {
    return server.getPort();
  }

  @Override
  public MetricSnapshots collect() {
    MetricsSnapshot snapshot = snapshots.get();
    MethodAccounts accounts;
    try {
      accounts = snapshot.accounts();
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IllegalStateException(e.getMessage());
    }
    MetricSnapshots.Builder all = MetricSnapshots.builder();
    for (MethodMetrics sheet : accounts.tables()) {
      if (sheet.isHistogram()) {
        scaled(all, sheet, accounts, snapshot.values);
      } else {
        add(all, sheet, accounts, snapshot.values);
      }
    }
    all.metricSnapshot(
        gauge(
            "generation", "Starts of this relay under one file of figures.", snapshot.generation));
    all.metricSnapshot(
        gauge(
            "figures_drift",
            "1 from the moment on that a sum did not hold.",
            drifting.getAsBoolean() ? 1 : 0));
    all.metricSnapshot(
        gauge(
            "figures_kept",
            "1 where figures outlive a kill; 0 without a file, or where it can't be written.",
            kept.getAsBoolean() ? 1 : 0));
    new TreeMap<>(more.get())
        .forEach(
            (name, value) -> all.metricSnapshot(gauge(name, "See the operators' pages.", value)));
    return all.build();
  }

  private static GaugeSnapshot gauge(String name, String help, double value) {
    return GaugeSnapshot.builder()
        .name(PREFIX + name)
        .help(help)
        .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value).build())
        .build();
  }

  private static void add(
      MetricSnapshots.Builder all, MethodMetrics sheet, MethodAccounts accounts, long[] values) {
    String total = sheet.columns().get(0);
    String pending = sheet.hasPending() ? sheet.columns().get(sheet.pending()) : "";
    CounterSnapshot.Builder begun =
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
    GaugeSnapshot.Builder out =
        GaugeSnapshot.builder()
            .name(PREFIX + sheet.name() + "_" + pending)
            .help("Of these, not over yet.");
    for (int row = 0; row < sheet.rows(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      Labels labels =
          sheet.rows() == 1 ? Labels.EMPTY : Labels.of(sheet.by(), accounts.name(sheet, row));
      begun.dataPoint(counter(labels, values[sheet.index(row, 0)]));
      for (int column = 1; column < sheet.endsBefore(); column++) {
        ended.dataPoint(
            counter(
                labels.add("how", sheet.columns().get(column)), values[sheet.index(row, column)]));
      }
      if (!sheet.hasPending()) {
        continue;
      }
      out.dataPoint(
          GaugeSnapshot.GaugeDataPointSnapshot.builder()
              .labels(labels)
              .value(values[sheet.index(row, sheet.pending())])
              .build());
    }
    all.metricSnapshot(begun.build()).metricSnapshot(ended.build());
    if (sheet.hasPending()) {
      all.metricSnapshot(out.build());
    }
  }

  /**
   * A histogram whose bounds are octaves, a sixteenth of what the accounts tell apart: a monitor
   * pays for each series.
   */
  private static void scaled(
      MetricSnapshots.Builder all, MethodMetrics sheet, MethodAccounts accounts, long[] values) {
    HistogramSnapshot.Builder histogram =
        HistogramSnapshot.builder()
            .name(PREFIX + sheet.name() + "_seconds")
            .help("Latency; counts are those of the accounts.");
    for (int row = 0; row < sheet.rows(); row++) {
      if (values[sheet.index(row, 0)] == 0) {
        continue;
      }
      ClassicHistogramBuckets.Builder buckets = ClassicHistogramBuckets.builder();
      long count = 0;
      for (int i = 0; i < HistogramBuckets.BUCKETS; i++) {
        count += values[sheet.index(row, 1 + i)];
        boolean last = i == HistogramBuckets.BUCKETS - 1;
        boolean octave = i % 16 == 15 && i >= 31 || i == 7 || i == 15;
        if (!last && !octave) {
          continue;
        }
        buckets.bucket(
            last ? Double.POSITIVE_INFINITY : HistogramBuckets.lowerBoundUs(i + 1) / 1e6, count);
        count = 0;
      }
      Labels labels = label(sheet, accounts.name(sheet, row));
      histogram.dataPoint(
          HistogramSnapshot.HistogramDataPointSnapshot.builder()
              .classicHistogramBuckets(buckets.build())
              .labels(labels)
              .build());
    }
    all.metricSnapshot(histogram.build());
  }

  private static Labels label(MethodMetrics sheet, String name) {
    int cut = name.indexOf('/');
    return sheet.by().equals("method")
        ? Labels.of("method", name)
        : Labels.of("build", name.substring(0, cut), "method", name.substring(cut + 1));
  }

  private static CounterSnapshot.CounterDataPointSnapshot counter(Labels labels, double value) {
    return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
  }

  @Override
  public void close() {
    server.close();
    workers.shutdownNow();
  }
}
