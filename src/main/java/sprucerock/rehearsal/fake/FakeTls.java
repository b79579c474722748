package sprucerock.rehearsal.fake;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.tls.Buffers;
import sprucerock.transport.tls.Counter;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.TestCa;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.ReconnectingConnection;

/**
 * Certificates for a rehearsal, right and wrong ones, and TLS for its stand-ins. Made anew for each
 * day; worth nothing elsewhere.
 */
public final class FakeTls {
  /** How a certificate may be wrong. */
  public enum Fault {
    MISNAMED,
    EXPIRED,
    UNTRUSTED
  }

  private static final TimeSpan WITHIN = TimeSpan.ofMs(5000);

  private final Net net;
  private final TlsConnection.Place place;
  private final Path folder;
  private final int relays;
  private final List<TestCa> trusted = new ArrayList<>();
  private TestCa ca = TestCa.root("rehearsal");
  private Credentials caller;

  /** Writes the relays' files into a folder. */
  public FakeTls(Net net, Aside aside, Path folder, int relays) throws IOException {
    this.net = net;
    this.folder = folder;
    this.relays = relays;
    place = new TlsConnection.Place(net, new Buffers(), aside, WITHIN, Counter.NONE);
    trusted.add(ca);
    writeTrust();
    writeKeys();
  }

  public Path trust() {
    return folder.resolve("trust.pem");
  }

  public Path key(int relay) {
    return folder.resolve("relay-" + relay + ".pem");
  }

  public static String endpointName(int endpoint) {
    return "unit-" + endpoint + ".test";
  }

  public static String relayName(int relay) {
    return "relay-" + relay + ".test";
  }

  private void writeTrust() throws IOException {
    Path next = folder.resolve("trust.pem.new");
    Files.writeString(next, TestCa.pem(trusted.stream().map(TestCa::certificate).toArray()));
    Files.move(next, trust(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    caller = credentials(TestCa.leaf("stand-ins.test"));
  }

  private void writeKeys() throws IOException {
    for (int i = 0; i < relays; i++) {
      TestCa.write(key(i), ca.make(TestCa.leaf(relayName(i))));
    }
  }

  /**
   * All keys are replaced under the same root: those of the relays in their files, those of units
   * for connections to come.
   */
  public void renew() throws IOException {
    writeKeys();
    caller = credentials(TestCa.leaf("stand-ins.test"));
  }

  /** A new root is trusted beside the old one. */
  public void trustNew() throws IOException {
    ca = TestCa.root("rehearsal " + (trusted.size() + 1));
    trusted.add(ca);
    writeTrust();
  }

  /** Older roots are trusted no more. */
  public void distrustOld() throws IOException {
    trusted.removeIf(one -> one != ca);
    writeTrust();
  }

  private Credentials credentials(TestCa.Wish wish) {
    return credentials(ca.make(wish));
  }

  private Credentials credentials(TestCa.Identity identity) {
    Set<X509Certificate> anchors = new LinkedHashSet<>();
    for (TestCa one : trusted) {
      anchors.add(one.certificate());
    }
    try {
      return new Credentials(
          Material.of(anchors, List.of(), identity.key(), identity.chain(), "rehearsal"),
          Credentials.Policy.USUAL,
          Instant::now);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** What a unit shows from now on. */
  public Credentials unit(int id) {
    return credentials(TestCa.leaf(endpointName(id)));
  }

  /** The same, wrong. */
  public Credentials unit(int id, Fault fault) {
    Instant now = Instant.now();
    return switch (fault) {
      case MISNAMED -> credentials(TestCa.leaf(endpointName(id + 1)));
      case EXPIRED ->
          credentials(
              TestCa.leaf(endpointName(id))
                  .valid(now.minus(Duration.ofDays(9)), now.minus(Duration.ofDays(1))));
      case UNTRUSTED -> credentials(TestCa.root("nobody").make(TestCa.leaf(endpointName(id))));
    };
  }

  /** One for the switch between relays, which speaks for each of them. */
  public Credentials allRelays() {
    String[] names = new String[relays];
    for (int i = 0; i < relays; i++) {
      names[i] = relayName(i);
    }
    return credentials(TestCa.leaf(names));
  }

  /** What stands before the user of a taken connection. */
  public TlsConnection taken(Credentials shown, boolean proven, ConnectionListener user) {
    return TlsConnection.server(place, shown, proven, user);
  }

  /** Connects to a peer of a name. */
  public ReconnectingConnection.Connector to(String name) {
    return (at, within, mostUnsent, user) ->
        net.connect(
            at, within, mostUnsent, TlsConnection.client(place, caller, name, at.getPort(), user));
  }

  /** The same, speaking for all relays. */
  public ReconnectingConnection.Connector asRelays(String name) {
    return (at, within, mostUnsent, user) ->
        net.connect(
            at,
            within,
            mostUnsent,
            TlsConnection.client(place, allRelays(), name, at.getPort(), user));
  }
}
