package sprucerock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.Buffers;
import sprucerock.transport.tls.Counter;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.TestCa;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.tls.Workers;

/** Certificates for a run of the benchmark, and TLS for its units and clients. */
final class BenchTls {
  static final String RELAY = "relay.bench.test";
  private static final TimeSpan WITHIN = TimeSpan.ofMs(30_000);

  final Path folder = Files.createTempDirectory("bench-tls");
  private final Credentials credentials;

  BenchTls() throws IOException {
    TestCa ca = TestCa.root("bench");
    Files.writeString(folder.resolve("trust.pem"), TestCa.pem(ca.certificate()));
    TestCa.write(folder.resolve("key.pem"), ca.make(TestCa.leaf(RELAY)));
    TestCa.Identity identity = ca.make(TestCa.leaf("*.units.bench.test"));
    try {
      credentials =
          new Credentials(
              Material.of(
                  Set.of(ca.certificate()), List.of(), identity.key(), identity.chain(), "bench"),
              Credentials.Policy.USUAL,
              Instant::now);
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  static String unit(int number) {
    return "u" + number + ".units.bench.test";
  }

  static TlsConnection.Place place(NioLoop loop) {
    return new TlsConnection.Place(
        loop,
        new Buffers(),
        new Workers(1, 100_000, loop::post, Throwable::printStackTrace),
        WITHIN,
        Counter.NONE);
  }

  ConnectionListener server(TlsConnection.Place place, ConnectionListener user) {
    return TlsConnection.server(place, credentials, false, user);
  }

  ConnectionListener client(
      TlsConnection.Place place, String name, int port, ConnectionListener user) {
    return TlsConnection.client(place, credentials, name, port, user);
  }
}
