package sprucerock.rehearsal.fake;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A monitor: scrapes relays while they live and die, and holds each scrape to what the operators'
 * page promises, from its text alone: in every row the total is the sum of what ended and what is
 * pending, latencies count as many as there were answers, and what was counted once is never taken
 * back.
 */
public final class FakeMonitor implements AutoCloseable {
  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final String PREFIX = "sprucerock_";
  private static final String ENDED = "_ended_total";

  /** Latencies, and the rows whose counts they have. */
  private static final Map<String, String> LATENCIES = Map.of("latency_seconds", "answers");

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
  private final List<Integer> ports;
  private final Map<Integer, Map<String, Double>> last = new HashMap<>();
  private final List<String> wrong = new ArrayList<>();
  private final Thread thread;
  private final Map<Integer, ArrayDeque<double[]>> handshakes = new HashMap<>();
  private double mostHandshakes;
  private long scrapes;
  private long unanswered;

  /** Scrapes the ports in turn, with so many milliseconds between two rounds. */
  public FakeMonitor(List<Integer> ports, long everyMs) {
    this.ports = List.copyOf(ports);
    thread =
        new Thread(
            () -> {
              try {
                while (!Thread.interrupted()) {
                  for (int port : this.ports) {
                    scrape(port);
                  }
                  Thread.sleep(everyMs);
                }
              } catch (InterruptedException e) {
                // the day is over
              }
            },
            "monitor");
    thread.setDaemon(true);
  }

  public void start() {
    thread.start();
  }

  /** Scrapes that were answered in full. */
  public synchronized long scrapes() {
    return scrapes;
  }

  /** Scrapes that met a relay that was down, or went down with one. */
  public synchronized long unanswered() {
    return unanswered;
  }

  /** What did not hold, scrape by scrape. */
  public synchronized List<String> wrong() {
    return List.copyOf(wrong);
  }

  private void scrape(int port) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
            .timeout(PATIENCE)
            .build();
    try {
      HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
      look(port, answer.statusCode(), answer.body());
    } catch (IOException e) {
      synchronized (this) {
        unanswered++;
      }
    }
  }

  private synchronized void look(int port, int status, String text) {
    scrapes++;
    if (status != 200) {
      wrong.add("port " + port + ", scrape " + scrapes + ": status " + status);
      return;
    }
    Map<String, Double> now = values(text);
    for (String one : unbalanced(now)) {
      wrong.add("port " + port + ", scrape " + scrapes + ": " + one);
    }
    rate(port, now.getOrDefault(PREFIX + "handshakes_begun_total", 0.0));
    Map<String, Double> before = last.put(port, now);
    if (before == null) {
      return;
    }
    before.forEach(
        (series, value) -> {
          boolean counts = series.contains("_total") && now.getOrDefault(series, 0.0) < value;
          if (counts) {
            wrong.add(
                "port "
                    + port
                    + ", scrape "
                    + scrapes
                    + ": "
                    + series
                    + " was "
                    + value
                    + ", is "
                    + now.get(series));
          }
        });
  }

  /**
   * The most handshakes that one relay began within a second, between two scrapes that were that
   * far apart.
   */
  public synchronized double mostHandshakesASecond() {
    return mostHandshakes;
  }

  private void rate(int port, double begun) {
    double now = System.nanoTime() / 1e9;
    ArrayDeque<double[]> seen = handshakes.computeIfAbsent(port, key -> new ArrayDeque<>());
    while (seen.size() > 1 && now - seen.peek()[0] > 2) {
      seen.poll();
    }
    for (double[] one : seen) {
      double seconds = now - one[0];
      if (seconds >= 1 && begun >= one[1]) {
        mostHandshakes = Math.max(mostHandshakes, (begun - one[1]) / seconds);
      }
    }
    seen.add(new double[] {now, begun});
  }

  private static Map<String, Double> values(String text) {
    Map<String, Double> found = new TreeMap<>();
    for (String line : text.split("\n")) {
      int space = line.lastIndexOf(' ');
      if (!line.startsWith("#") && space > 0) {
        found.put(line.substring(0, space), Double.parseDouble(line.substring(space + 1)));
      }
    }
    return found;
  }

  /**
   * The sums that do not hold in a scrape, each in a line. A scrape without any sum in it is wrong,
   * too.
   */
  public static List<String> unbalanced(String scrape) {
    return unbalanced(values(scrape));
  }

  private static List<String> unbalanced(Map<String, Double> values) {
    List<String> found = new ArrayList<>();
    TreeSet<String> sheets = new TreeSet<>();
    for (String series : values.keySet()) {
      int at = series.indexOf(ENDED);
      if (at > 0 && series.startsWith(PREFIX)) {
        sheets.add(series.substring(PREFIX.length(), at));
      }
    }
    if (sheets.isEmpty()) {
      found.add("no figures in it");
    }
    for (String sheet : sheets) {
      sums(found, sheet, values);
    }
    if (values.getOrDefault(PREFIX + "figures_drift", 1.0) != 0) {
      found.add("the relay itself says that its figures drift");
    }
    return found;
  }

  private static void sums(List<String> found, String sheet, Map<String, Double> values) {
    Map<String, Double> totals = new TreeMap<>();
    Map<String, Double> parts = new TreeMap<>();
    values.forEach(
        (series, value) -> {
          if (!series.startsWith(PREFIX + sheet + "_") || series.contains("_seconds")) {
            return;
          }
          String row = row(series);
          boolean total = series.contains("_total") && !series.contains(ENDED);
          (total ? totals : parts).merge(row, value, Double::sum);
        });
    if (!totals.equals(parts)) {
      found.add(sheet + ": totals " + totals + " are not the sums of their parts " + parts);
    }
    LATENCIES.forEach(
        (histogram, of) -> {
          if (!of.equals(sheet)) {
            return;
          }
          totals.forEach(
              (row, total) -> {
                double count =
                    values.getOrDefault(
                        PREFIX + histogram + "_bucket" + row.replace("}", ",le=\"+Inf\"}"), -1.0);
                if (count != total) {
                  found.add(histogram + row + " counts " + count + ", " + of + " are " + total);
                }
              });
        });
  }

  /** The labels without how something ended. */
  private static String row(String series) {
    int brace = series.indexOf('{');
    return brace < 0
        ? ""
        : series
            .substring(brace)
            .replaceAll("how=\"[^\"]*\",|,?how=\"[^\"]*\"", "")
            .replace("{}", "");
  }

  @Override
  public void close() throws InterruptedException {
    thread.interrupt();
    thread.join();
  }
}
