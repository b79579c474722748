package sprucerock.metrics;

import com.sun.net.httpserver.HttpExchange;
import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import sprucerock.accounting.MethodAccounts;

/**
 * Serves a relay's metrics over HTTP: in Prometheus text or OpenMetrics to a monitor, as a table to
 * people. Scrapes run on threads of their own and never hold the relay up.
 */
public final class MetricsExporter implements AutoCloseable {
  /** A scrape takes milliseconds, also over a slow network. */
  private static final String STALL_TIMEOUT_SECONDS = "2";

  /** Scrapes at a time; each costs a core while it reads. */
  private static final int WORKER_COUNT = 4;

  /** Connections that wait for a worker; beyond these the server closes them. */
  private static final int QUEUE_CAPACITY_CONNECTIONS = 32;

  private static final int WORKER_IDLE_SECONDS = 10;

  private final Supplier<MetricsSnapshot> snapshots;
  private final HTTPServer server;
  private final ThreadPoolExecutor workers;

  static {
    // The JDK's server reads these once. A scrape whose request or reading stalls is cut off.
    System.setProperty("sun.net.httpserver.maxReqTime", STALL_TIMEOUT_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", STALL_TIMEOUT_SECONDS);
  }

  /**
   * Serves from now on.
   *
   * @param hasDrifted whether a sum of the accounts did not hold since the relay started
   * @param isPersistent whether the metrics outlive a kill of the process
   * @param gauges values at the time of a scrape, by name without prefix
   * @param address where to listen; port 0 for any that is free
   * @throws IOException if the address can't be had
   */
  public MetricsExporter(
      Supplier<MetricsSnapshot> snapshots,
      BooleanSupplier hasDrifted,
      BooleanSupplier isPersistent,
      Supplier<Map<String, Double>> gauges,
      InetSocketAddress address)
      throws IOException {
    this.snapshots = snapshots;
    PrometheusRegistry registry = new PrometheusRegistry();
    registry.register(new PrometheusCollector(snapshots, hasDrifted, isPersistent, gauges));
    workers = startWorkers();
    server =
        HTTPServer.builder()
            .inetAddress(address.getAddress())
            .port(address.getPort())
            .registry(registry)
            .executorService(workers)
            .defaultHandler(this::handleTable)
            .buildAndStart();
  }

  private static ThreadPoolExecutor startWorkers() {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            WORKER_COUNT,
            WORKER_COUNT,
            WORKER_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(QUEUE_CAPACITY_CONNECTIONS),
            task -> {
              Thread thread = new Thread(task, "scrape");
              thread.setDaemon(true);
              return thread;
            });
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }

  /** Any path but the monitor's: the table, and the sums that do not hold, with status 500. */
  private void handleTable(HttpExchange exchange) throws IOException {
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
      throw new IOException(e.getMessage(), e);
    }
    byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=utf-8");
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  /** The port that it listens at. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    server.close();
    workers.shutdownNow();
  }
}
