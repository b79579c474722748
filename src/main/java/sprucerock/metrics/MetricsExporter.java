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
 * Serves a relay's metrics over HTTP: as Prometheus text or OpenMetrics to a monitor, and as a
 * table to people. Scrapes run on separate threads and never block the relay.
 */
public final class MetricsExporter implements AutoCloseable {
  /** When to cut off a stalled scrape; a scrape takes milliseconds, even over a slow network. */
  private static final String STALL_TIMEOUT_SECONDS = "2";

  /** The number of concurrent scrapes; each occupies a core while it reads. */
  private static final int WORKER_COUNT = 4;

  /** How many connections may wait for a worker; the server closes further ones. */
  private static final int QUEUE_CAPACITY_CONNECTIONS = 32;

  private static final int WORKER_IDLE_SECONDS = 10;

  private final Supplier<MetricsSnapshot> snapshots;
  private final HTTPServer server;
  private final ThreadPoolExecutor workers;

  static {
    // The JDK's HTTP server reads these properties once. It closes the connection of a scrape that
    // stalls while it sends the request or receives the response.
    System.setProperty("sun.net.httpserver.maxReqTime", STALL_TIMEOUT_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", STALL_TIMEOUT_SECONDS);
  }

  /**
   * Starts serving.
   *
   * @param hasDrifted whether an equation of the accounts has failed since the relay started
   * @param isPersistent whether the metrics survive a kill of the process
   * @param gauges further values at the time of a scrape, by name without prefix
   * @param address the address to listen on; port 0 for any free port
   * @throws IOException if the server can't listen on the address
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

  /**
   * Answers a request for any path that the monitor does not use with the table, followed by the
   * equations that do not hold. The status is 500 if there are such equations.
   */
  private void handleTable(HttpExchange exchange) throws IOException {
    StringBuilder text = new StringBuilder();
    int status = 200;
    try {
      MetricsSnapshot snapshot = snapshots.get();
      text.append(MetricsTable.format(snapshot));
      for (MethodAccounts.Imbalance imbalance : snapshot.accounts().check(snapshot.values)) {
        text.append("DRIFT ").append(imbalance).append('\n');
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

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    server.close();
    workers.shutdownNow();
  }
}
