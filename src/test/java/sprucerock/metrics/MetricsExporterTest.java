package sprucerock.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.time.TimeSpan;

/** Tests that the sums hold within each scrape, whatever the relay does meanwhile. */
public class MetricsExporterTest {
  private static Map<String, Double> scrape(HttpClient http, int port, String accept)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
            .header("Accept", accept)
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    assertEquals(response.statusCode(), 200, response.body());
    Map<String, Double> metrics = new HashMap<>();
    for (String line : response.body().split("\n")) {
      if (!line.startsWith("#")) {
        metrics.put(
            line.substring(0, line.lastIndexOf(' ')),
            Double.parseDouble(line.substring(line.lastIndexOf(' '))));
      }
    }
    return metrics;
  }

  @Test
  public void sumsHoldInEveryScrapeOfABusyRelay() throws Exception {
    MethodAccounts accounts =
        new MethodAccounts(List.of("read", "pay"), MethodAccounts.Capacity.NONE);
    MetricsFileWriter writer = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
    AtomicBoolean hasDrifted = new AtomicBoolean();
    AtomicBoolean stopped = new AtomicBoolean();
    Thread relay =
        new Thread(
            () -> {
              for (int i = 0; !stopped.get(); i++) {
                int method = i & 1;
                accounts.rpcArrived(method, 0);
                if (i % 3 == 1) {
                  accounts.rpcAnswered(method, 0, TimeSpan.ofMs(i % 1000 * 0.1), i % 2 == 0, true);
                }
                if (i % 3 == 2) {
                  accounts.rpcEnded(method, 0, 2 + i % 3);
                }
                accounts.commit();
                for (int j = 0; j < 200; j++) {
                  Thread.onSpinWait();
                }
              }
            });
    try (MetricsExporter exporter =
        new MetricsExporter(
            writer::snapshot,
            hasDrifted::get,
            writer::isPersistent,
            Map::of,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      relay.start();
      HttpClient http = HttpClient.newHttpClient();
      double lastTaken = 0;
      for (int i = 0; i < 100; i++) {
        Map<String, Double> metrics =
            scrape(
                http,
                exporter.port(),
                i % 2 == 0 ? "text/plain" : "application/openmetrics-text; version=1.0.0");
        double taken = 0;
        for (String method : new String[] {"read", "pay"}) {
          Double total = metrics.get("sprucerock_rpcs_taken_total{method=\"" + method + "\"}");
          if (total == null) {
            continue;
          }
          double parts = metrics.get("sprucerock_rpcs_open{method=\"" + method + "\"}");
          for (String how : new String[] {"ok", "pushed_back", "aborted", "left", "lost"}) {
            parts +=
                metrics.get(
                    "sprucerock_rpcs_ended_total{how=\"" + how + "\",method=\"" + method + "\"}");
          }
          assertEquals(parts, total);
          taken += total;
        }
        assertTrue(taken >= lastTaken);
        lastTaken = taken;
        assertEquals(metrics.get("sprucerock_figures_drift"), 0.0);
      }
      assertTrue(lastTaken > 0);
      hasDrifted.set(true);
      assertEquals(
          scrape(http, exporter.port(), "text/plain").get("sprucerock_figures_drift"), 1.0);
    } finally {
      stopped.set(true);
      relay.join();
    }
  }

  private static MetricsExporter exporter(MetricsFileWriter writer) throws Exception {
    return new MetricsExporter(
        writer::snapshot,
        () -> false,
        writer::isPersistent,
        Map::of,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static MethodAccounts accounts() {
    MethodAccounts accounts =
        new MethodAccounts(List.of("read", "pay"), new MethodAccounts.Capacity(1, 1, 1));
    accounts.row(accounts.tenants, "0");
    return accounts;
  }

  /**
   * Connections that send a partial request or nothing occupy all workers; the exporter closes them
   * after two seconds.
   */
  @Test
  public void stalledScrapesAreCutOffAndNeverBlockTheRelay() throws Exception {
    MethodAccounts accounts = accounts();
    MetricsFileWriter writer = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
    List<Socket> stalled = new ArrayList<>();
    try (MetricsExporter exporter = exporter(writer)) {
      for (int i = 0; i < 60; i++) {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), exporter.port());
        stalled.add(socket);
        if (i % 2 == 0) {
          socket
              .getOutputStream()
              .write("GET /metrics HTTP/1.1\r\nHost:".getBytes(StandardCharsets.US_ASCII));
        }
      }
      for (int i = 0; i < 1000; i++) {
        // This thread stands for the relay's thread.
        accounts.rpcArrived(0, 0);
        accounts.commit();
      }
      HttpClient http = HttpClient.newHttpClient();
      Double taken = null;
      for (int i = 0; taken == null && i < 600; i++) {
        try {
          taken =
              scrape(http, exporter.port(), "text/plain")
                  .get("sprucerock_rpcs_taken_total{method=\"read\"}");
        } catch (IOException e) {
          // The server rejects the scrape while all workers and the queue are occupied.
          Thread.sleep(50);
        }
      }
      assertEquals(taken, 1000.0);
    } finally {
      for (Socket socket : stalled) {
        socket.close();
      }
    }
  }

  @Test
  public void scrapeAfterCloseHasTheLastValues() throws Exception {
    MethodAccounts accounts = accounts();
    MetricsFileWriter writer = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
    accounts.rpcArrived(1, 0);
    try (MetricsExporter exporter = exporter(writer)) {
      writer.close();
      Map<String, Double> metrics =
          scrape(HttpClient.newHttpClient(), exporter.port(), "text/plain");
      assertEquals(metrics.get("sprucerock_rpcs_open{method=\"pay\"}"), 1.0);
      assertEquals(metrics.get("sprucerock_starts_running"), 0.0);
      assertEquals(metrics.get("sprucerock_figures_kept"), 0.0);
    }
  }

  @Test
  public void servesLatenciesInOctavesAndATable() throws Exception {
    MethodAccounts accounts = accounts();
    MetricsFileWriter writer = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
    for (double ms : new double[] {0.1, 0.9, 1.0, 1.1, 200, 80_000}) {
      accounts.rpcArrived(0, 0);
      accounts.rpcAnswered(0, 0, TimeSpan.ofMs(ms), ms < 100, ms < 1000);
    }
    accounts.commit();
    try (MetricsExporter exporter = exporter(writer)) {
      HttpClient http = HttpClient.newHttpClient();
      Map<String, Double> metrics = scrape(http, exporter.port(), "text/plain");
      assertEquals(
          metrics.get("sprucerock_latency_seconds_bucket{method=\"read\",le=\"1.28E-4\"}"), 1.0);
      assertEquals(
          metrics.get("sprucerock_latency_seconds_bucket{method=\"read\",le=\"0.001024\"}"), 3.0);
      assertEquals(
          metrics.get("sprucerock_latency_seconds_bucket{method=\"read\",le=\"+Inf\"}"), 6.0);
      assertEquals(
          metrics.get("sprucerock_answers_ended_total{how=\"too_late\",method=\"read\"}"), 1.0);
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + exporter.port() + "/figures"))
              .build();
      HttpResponse<String> table = http.send(request, HttpResponse.BodyHandlers.ofString());
      assertEquals(table.statusCode(), 200);
      assertTrue(
          table.body().contains("latency, ms    method              answered           p50"),
          table.body());
    }
  }
}
