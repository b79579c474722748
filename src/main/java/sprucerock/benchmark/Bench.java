package sprucerock.benchmark;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import sprucerock.config.ConfigException;
import sprucerock.config.RelayConfig;
import sprucerock.metrics.MetricsExporter;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.policy.RoutingPolicy;
import sprucerock.relay.frames.FrameRelay;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Workers;
import sprucerock.transport.wire.FrameTap;

/**
 * Straight to the units, through a bare forwarder and through the relay, in one run: RPCs a second
 * at saturation, then times at half of the relay's rate on all three ways. All in one process, so
 * that the relay's own threads can be asked for their CPU and allocation; units and load have loops
 * of their own.
 */
public final class Bench {
  private static final int THREADS = 2;
  private static final int BODY = 128;
  private static final int OPEN = 512;

  /** How long each part is warmed up and counted, in seconds. */
  public record Lengths(double warm, double count) {}

  private final double[] shares;

  private final PrintStream out;
  private final Lengths lengths;
  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** Times are taken at these shares of the relay's rate at saturation. */
  public Bench(PrintStream out, Lengths lengths, double... shares) {
    this.shares = shares;
    this.out = out;
    this.lengths = lengths;
  }

  /** One way to the units: where clients connect, and the threads of what stands between. */
  private record Way(String name, int[] ports, boolean straight, Set<Long> own) {}

  private record Row(Load.Took took, double cpuUs, double bytes) {}

  /** Runs one size and prints a table. */
  public void run(int connections, int endpoints)
      throws IOException, InterruptedException, ConfigException {
    out.printf(
        "%d connections, %d units, bodies of %d bytes, %d RPCs open at saturation, %s, %d cores%n",
        connections,
        endpoints,
        BODY,
        Math.max(OPEN, connections),
        System.getProperty("java.vm.version"),
        Runtime.getRuntime().availableProcessors());
    try (Fleet fleet = new Fleet(endpoints, THREADS)) {
      Set<Long> before = alive();
      Forwarder forwarder = new Forwarder(fleet.ports(), task -> new Thread(task, "forwarder"));
      Set<Long> forwarderOwn = since(before);
      before = alive();
      NioLoop loop = new NioLoop("relay", Throwable::printStackTrace);
      FrameRelay relay = relay(loop, fleet, 1, Kept.IN_A_FILE);
      Set<Long> relayOwn = since(before);
      try {
        Way straight = new Way("straight", fleet.ports(), true, Set.of());
        Way forwarded = new Way("forwarder", new int[] {forwarder.port()}, true, forwarderOwn);
        Way relayed = new Way("relay", new int[] {relay.address().getPort()}, false, relayOwn);
        out.println(
            "  way         RPCs/s  not ok   CPU us/RPC  bytes/RPC      p50 us   p99 us  p99.9 us   (at saturation)");
        Row a = saturate(straight, connections);
        Row b = saturate(forwarded, connections);
        Row c = saturate(relayed, connections);
        out.printf(
            "  the relay does %.2f of the forwarder's rate%n",
            c.took.perSecond() / b.took.perSecond());
        for (double share : shares) {
          double rate = c.took.perSecond() * share;
          out.printf(
              "  at %.0f RPCs/s, %.2f of the relay's rate, from the intended start%n", rate, share);
          added(
              at(straight, connections, rate),
              at(forwarded, connections, rate),
              at(relayed, connections, rate));
        }
      } finally {
        loop.close();
        forwarder.close();
      }
    }
  }

  /** Whether a relay posts figures at all. */
  private enum Kept {
    NOT,
    IN_A_FILE
  }

  /** A relay with loop, keeper and threads of its own. */
  private final class Subject implements AutoCloseable {
    final NioLoop loop;
    final Way way;
    MetricsFileWriter keeper;

    Subject(String name, Fleet fleet, int methods, Kept kept)
        throws IOException, InterruptedException, ConfigException {
      this(name, fleet, methods, kept, null);
    }

    Subject(String name, Fleet fleet, int methods, Kept kept, BenchTls tls)
        throws IOException, InterruptedException, ConfigException {
      Set<Long> before = alive();
      loop = new NioLoop(name, Throwable::printStackTrace);
      FrameRelay relay = relay(loop, fleet, methods, kept, tls);
      keeper = lastKeeper;
      way = new Way(name, new int[] {relay.address().getPort()}, false, since(before));
    }

    @Override
    public void close() {
      loop.close();
    }
  }

  /**
   * What figures cost: the same relay twice, one of which posts nothing, at saturation in turns;
   * then times at a tenth of that rate with and without a monitor that scrapes ten times a second,
   * in turns too.
   */
  public void figures(int connections, int endpoints, int methods, int rounds)
      throws IOException, InterruptedException, ConfigException {
    out.printf(
        "%d connections, %d units, %d methods, %s, %d cores: %d rounds of %.1f s each%n",
        connections,
        endpoints,
        methods,
        System.getProperty("java.vm.version"),
        Runtime.getRuntime().availableProcessors(),
        rounds,
        lengths.count);
    List<Double> rates = new ArrayList<>();
    List<Double> cpus = new ArrayList<>();
    List<Double> p99s = new ArrayList<>();
    try (Fleet fleet = new Fleet(endpoints, THREADS);
        Subject without = new Subject("without", fleet, methods, Kept.NOT);
        Subject with = new Subject("with", fleet, methods, Kept.IN_A_FILE)) {
      double rate = 0;
      for (int i = 0; i < rounds; i++) {
        boolean first = i % 2 == 0;
        // whoever comes second has the warmer machine
        Row one = saturate(first ? without.way : with.way, connections, methods);
        Row other = saturate(first ? with.way : without.way, connections, methods);
        rates.add(
            first
                ? other.took.perSecond() / one.took.perSecond()
                : one.took.perSecond() / other.took.perSecond());
        cpus.add(first ? other.cpuUs / one.cpuUs : one.cpuUs / other.cpuUs);
        rate = one.took.perSecond() / 10;
      }
      out.printf(
          "  with figures to without: rate %s, CPU an RPC %s%n", spread(rates), spread(cpus));
      try (MetricsExporter export =
          new MetricsExporter(
              with.keeper::snapshot,
              () -> false,
              with.keeper::isPersistent,
              Map::of,
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
        Histogram scrapes = new Histogram(60_000_000_000L, 3);
        long[] size = new long[1];
        for (int i = 0; i < rounds; i++) {
          boolean first = i % 2 == 0;
          double[] p99 = new double[2];
          for (int j = 0; j < 2; j++) {
            boolean scraped = first == (j == 0);
            Thread monitor = scraped ? monitor(export.port(), scrapes, size) : null;
            p99[scraped ? 1 : 0] = at(with.way, connections, rate, methods).took.us(99);
            if (monitor != null) {
              monitor.interrupt();
              monitor.join();
            }
          }
          p99s.add(p99[1] / p99[0]);
        }
        out.printf(
            "  %d scrapes of %d bytes: p50 %.1f ms, p99 %.1f ms; p99 of RPCs with scrapes to without, at %.0f a second: %s%n",
            scrapes.getTotalCount(),
            size[0],
            scrapes.getValueAtPercentile(50) / 1e6,
            scrapes.getValueAtPercentile(99) / 1e6,
            rate,
            spread(p99s));
      }
    }
  }

  /**
   * What TLS costs: the same relay without it and with it towards units and clients, in turns; then
   * times at a tenth of the slower's rate.
   */
  public void tls(int connections, int endpoints, int rounds)
      throws IOException, InterruptedException, ConfigException {
    out.printf(
        "%d connections, %d units, %s, %d cores: %d rounds of %.1f s each%n",
        connections,
        endpoints,
        System.getProperty("java.vm.version"),
        Runtime.getRuntime().availableProcessors(),
        rounds,
        lengths.count);
    List<Double> rates = new ArrayList<>();
    List<Double> cpus = new ArrayList<>();
    List<Double> p50s = new ArrayList<>();
    List<Double> p99s = new ArrayList<>();
    BenchTls tls = new BenchTls();
    try (Fleet plainFleet = new Fleet(endpoints, THREADS);
        Fleet securedFleet = new Fleet(endpoints, THREADS, tls);
        Subject plain = new Subject("plain", plainFleet, 1, Kept.IN_A_FILE);
        Subject secured = new Subject("tls", securedFleet, 1, Kept.IN_A_FILE, tls)) {
      double rate = 0;
      for (int i = 0; i < rounds; i++) {
        boolean first = i % 2 == 0;
        Row one =
            first
                ? saturate(plain.way, connections, 1, null)
                : saturate(secured.way, connections, 1, tls);
        Row other =
            first
                ? saturate(secured.way, connections, 1, tls)
                : saturate(plain.way, connections, 1, null);
        rates.add(
            first
                ? other.took.perSecond() / one.took.perSecond()
                : one.took.perSecond() / other.took.perSecond());
        cpus.add(first ? other.cpuUs / one.cpuUs : one.cpuUs / other.cpuUs);
        rate = Math.min(one.took.perSecond(), other.took.perSecond()) / 10;
      }
      for (int i = 0; i < rounds; i++) {
        Row without = at(plain.way, connections, rate, 1, null);
        Row with = at(secured.way, connections, rate, 1, tls);
        p50s.add(with.took.us(50) - without.took.us(50));
        p99s.add(with.took.us(99) - without.took.us(99));
      }
      out.printf(
          "  TLS to plain: rate %s, CPU an RPC on the loop %s%n", spread(rates), spread(cpus));
      out.printf(
          "  added by TLS at %.0f RPCs/s: p50 %s us, p99 %s us%n",
          rate, spread(p50s), spread(p99s));
    }
  }

  private static Thread monitor(int port, Histogram scrapes, long[] size) {
    Thread monitor =
        new Thread(
            () -> {
              HttpClient http = HttpClient.newHttpClient();
              HttpRequest request =
                  HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
                      .build();
              try {
                while (!Thread.interrupted()) {
                  long from = System.nanoTime();
                  size[0] =
                      http.send(request, HttpResponse.BodyHandlers.ofByteArray()).body().length;
                  scrapes.recordValue(System.nanoTime() - from);
                  Thread.sleep(100);
                }
              } catch (InterruptedException e) {
                // its time is over
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            },
            "monitor");
    monitor.start();
    return monitor;
  }

  private static String spread(List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    return String.format(
        "median %.3f (%.3f to %.3f)",
        sorted.get(sorted.size() / 2), sorted.get(0), sorted.get(sorted.size() - 1));
  }

  private void added(Row straight, Row forwarded, Row relayed) {
    out.printf(
        "  added by the forwarder: p50 %.0f us, p99 %.0f us, p99.9 %.0f us; by the relay: p50 %.0f us, p99 %.0f us, p99.9 %.0f us%n",
        forwarded.took.us(50) - straight.took.us(50),
        forwarded.took.us(99) - straight.took.us(99),
        forwarded.took.us(99.9) - straight.took.us(99.9),
        relayed.took.us(50) - straight.took.us(50),
        relayed.took.us(99) - straight.took.us(99),
        relayed.took.us(99.9) - straight.took.us(99.9));
  }

  private Set<Long> alive() {
    Set<Long> found = new HashSet<>();
    for (long id : threads.getAllThreadIds()) {
      found.add(id);
    }
    return found;
  }

  private Set<Long> since(Set<Long> before) {
    Set<Long> found = alive();
    found.removeAll(before);
    return found;
  }

  private MetricsFileWriter lastKeeper;

  private FrameRelay relay(NioLoop loop, Fleet fleet, int methods, Kept kept)
      throws IOException, InterruptedException, ConfigException {
    return relay(loop, fleet, methods, kept, null);
  }

  private FrameRelay relay(NioLoop loop, Fleet fleet, int methods, Kept kept, BenchTls tls)
      throws IOException, InterruptedException, ConfigException {
    Path file = Files.createTempFile("bench", ".xml");
    Files.writeString(
        file,
        """
            <relay xmlns="urn:sprucerock:relay:1" name="bench" number="0" seed="1">
              <listen host="127.0.0.1" port="0"/>
              <roster host="127.0.0.1" port="%d"/>
              <desk host="127.0.0.1" port="%d"/>
              <limits open="100000" open-per-client="100000" unsent="64MiB" clients="5000"/>
              <connections per-unit="1" picks-each="100000" waiting-per-unit="100000" connect-within="5s"/>
              %s
              <site relays="1" tick="5ms">
                %s
                <stage cap="1"/>
                <rules drain-grace="500ms" cold="1s" start-capacity="0.5" tip-multiple="3" tip-after="1s" counted-over="3s" free-picks="3"/>
                <allowed picks="3" second-copies="true" cancel="true" peers="false" retry-after="true" most-retry-after="500ms"/>
                <votes control="single" life="4s" answer-within="1s"/>
              </site>
            </relay>
            """
            .formatted(
                fleet.rosterPort(),
                fleet.deskPort(),
                tls == null
                    ? ""
                    : "<tls clients=\"tls\" trust=\""
                        + tls.folder.resolve("trust.pem")
                        + "\" key=\""
                        + tls.folder.resolve("key.pem")
                        + "\" handshake-within=\"30s\" handshakes-a-second=\"10000\" work-waiting=\"100000\"/>",
                IntStream.range(0, methods)
                    .mapToObj(
                        i ->
                            "<method name=\"echo-"
                                + i
                                + "\" effect=\"idempotent\" soft-deadline=\"2s\" deadline=\"5s\" utility=\"1\"/>")
                    .collect(Collectors.joining())));
    RelayConfig config = RelayConfig.read(file);
    Files.delete(file);
    Path figures = Files.createTempFile("bench", ".figures");
    Files.delete(figures);
    figures.toFile().deleteOnExit();
    FrameRelay relay =
        Loops.on(
            loop,
            () -> {
              FrameRelay made = new FrameRelay(config, loop, FrameTap.NONE);
              if (kept == Kept.NOT) {
                made.requestTracker().accounts().disablePostings();
              }
              try {
                made.start(
                    RoutingPolicy::new,
                    tls == null
                        ? null
                        : new Workers(
                            config.tlsWorkers,
                            config.tlsQueueCapacity,
                            loop::post,
                            made::internalError));
              } catch (Material.BadMaterialException e) {
                throw new IOException(e.getMessage());
              }
              lastKeeper =
                  MetricsFileWriter.open(
                      figures,
                      made.requestTracker().accounts(),
                      () -> loop.atTurnsEnd(made.requestTracker().accounts()::commit),
                      out::println);
              return made;
            });
    Thread.sleep(300);
    // linked up
    return relay;
  }

  private Row saturate(Way way, int connections) throws IOException, InterruptedException {
    return saturate(way, connections, 1);
  }

  private Row saturate(Way way, int connections, int methods)
      throws IOException, InterruptedException {
    return saturate(way, connections, methods, null);
  }

  private Row saturate(Way way, int connections, int methods, BenchTls tls)
      throws IOException, InterruptedException {
    try (Load load = new Load(THREADS, connections, way.ports, way.straight, BODY, tls)) {
      load.methods(methods);
      load.closed(OPEN);
      return measure(way, load);
    }
  }

  private Row at(Way way, int connections, double perSecond)
      throws IOException, InterruptedException {
    return at(way, connections, perSecond, 1);
  }

  private Row at(Way way, int connections, double perSecond, int methods)
      throws IOException, InterruptedException {
    return at(way, connections, perSecond, methods, null);
  }

  private Row at(Way way, int connections, double perSecond, int methods, BenchTls tls)
      throws IOException, InterruptedException {
    try (Load load = new Load(THREADS, connections, way.ports, way.straight, BODY, tls)) {
      load.methods(methods);
      load.open(perSecond);
      return measure(way, load);
    }
  }

  private Row measure(Way way, Load load) throws IOException, InterruptedException {
    Thread.sleep((long) (1000 * lengths.warm));
    long cpu = 0;
    long bytes = 0;
    for (long id : way.own) {
      cpu -= threads.getThreadCpuTime(id);
      bytes -= threads.getThreadAllocatedBytes(id);
    }
    Load.Took took = load.count(lengths.count);
    for (long id : way.own) {
      cpu += threads.getThreadCpuTime(id);
      bytes += threads.getThreadAllocatedBytes(id);
    }
    load.stop();
    Thread.sleep(200);
    long all = Math.max(1, took.ok() + took.notOk());
    Row row = new Row(took, cpu / 1000.0 / all, (double) bytes / all);
    out.printf(
        "  %-9s %8.0f %7d %11.1f %10.0f   %9.0f %8.0f %9.0f%n",
        way.name,
        took.perSecond(),
        took.notOk(),
        row.cpuUs,
        row.bytes,
        took.us(50),
        took.us(99),
        took.us(99.9));
    return row;
  }
}
