package sprucerock.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Handshakes;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Tls;

/** Reads the element {@code tls}: files, checks of certificates and limits of handshakes. */
final class TlsSettingsReader {
  private static final TimeSpan MIN_INTERVAL = TimeSpan.ofMs(10);

  private TlsSettingsReader() {}

  /**
   * Reads and checks the element.
   *
   * @throws ConfigException where an interval is shorter than 10 ms
   */
  static Tls.Setup read(XmlElement tls) throws ConfigException {
    final Material.Sources files =
        new Material.Sources(
            path(tls, "trust"),
            path(tls, "key"),
            path(tls, "chain"),
            path(tls, "password"),
            path(tls, "crl"));
    List<String> versions =
        Arrays.stream(tls.text("versions").split(" ")).map(version -> "TLSv" + version).toList();
    final Credentials.Policy policy =
        new Credentials.Policy(
            versions,
            duration(tls.span("skew")),
            tls.count("longest-chain"),
            tls.count("sessions"),
            duration(tls.span("session-life")));
    tls.requireAtLeast("look-every", MIN_INTERVAL);
    tls.requireAtLeast("handshake-within", MIN_INTERVAL);
    tls.requireAtLeast("move-within", MIN_INTERVAL);
    return new Tls.Setup(
        files,
        policy,
        tls.span("handshake-within"),
        tls.span("look-every"),
        tls.span("move-within"),
        new Handshakes.Most(
            tls.count("handshakes-a-second"),
            tls.count("handshakes-at-once"),
            tls.count("handshakes-a-second-each"),
            tls.count("handshakes-waiting")));
  }

  private static Duration duration(TimeSpan span) {
    return Duration.ofNanos((long) (span.ms() * 1e6));
  }

  private static Path path(XmlElement tls, String key) {
    return tls.has(key) ? Path.of(tls.text(key)) : null;
  }
}
