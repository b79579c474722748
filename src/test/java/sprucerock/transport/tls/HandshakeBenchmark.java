package sprucerock.transport.tls;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What a handshake costs both ends together, over a wire in memory: full, and resumed. See
 * docs/tls.md.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class HandshakeBenchmark {
  @Param({"TLSv1.3", "TLSv1.2"})
  public String version;

  @Param({"RSA-2048", "P-256", "Ed25519"})
  public String kind;

  private TestCa ca;
  private Credentials endpoint;
  private Credentials relay;

  @Setup
  public void begin() {
    ca = TestCa.root("root");
    endpoint =
        TlsLinkTest.credentials(
            ca.make(TestCa.leaf("unit").keyKind(kind)).material(ca.certificate()),
            List.of(version),
            Instant::now);
    relay =
        TlsLinkTest.credentials(
            ca.make(TestCa.leaf("relay").keyKind(kind)).material(ca.certificate()));
  }

  private static void meet(Credentials relay, Credentials endpoint, int port, boolean resumed) {
    TlsLinkTest.Pair pair = new TlsLinkTest.Pair(relay, endpoint, "unit", port, false).meet();
    if (pair.pipe.counts.full + pair.pipe.counts.resumed != 1) {
      throw new AssertionError(pair.client.closed);
    }
    if (resumed != (pair.pipe.counts.resumed == 1)) {
      throw new AssertionError(
          "full " + pair.pipe.counts.full + ", resumed " + pair.pipe.counts.resumed);
    }
    pair.client.connection.finish();
    pair.pipe.settle();
  }

  /** Each to a port of its own, for which there is no session. */
  @Benchmark
  public void full() {
    meet(relay, endpoint, ++port, false);
  }

  @Benchmark
  public void resumed() {
    if (!warm) {
      meet(relay, endpoint, 0, false);
    }
    warm = true;
    meet(relay, endpoint, 0, true);
  }

  private boolean warm;
  private int port;
}
