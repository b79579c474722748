package sprucerock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;
import sprucerock.transport.tls.Tls;
import sprucerock.transport.wire.FrameLimits;

/**
 * The configuration of one relay, checked; the schema relay.xsd names the units and the defaults.
 * Addresses are numeric.
 */
public final class RelayConfig {
  private static final TimeSpan MIN_INTERVAL = TimeSpan.ofMs(10);
  private static final TimeSpan MIN_BACKOFF = TimeSpan.ofMs(1);
  private static final long MIN_FRAME_BYTES = 1 << 10;
  private static final long MAX_FRAME_BYTES = 1 << 30;

  public final String name;
  public final long seed;
  public final InetSocketAddress listen;
  public final InetSocketAddress discovery;
  public final InetSocketAddress controller;

  /** Addresses of the other relays, by their numbers. */
  public final Map<Integer, InetSocketAddress> peers;

  /** Requests in flight at a time. */
  public final int maxOpenRequests;

  /** Requests in flight at a time of one client connection. */
  public final int maxOpenRequestsPerClient;

  /** Client connections at a time. */
  public final int maxClientConnections;

  /** Endpoints that are connected to at a time. */
  public final int maxEndpoints;

  /** Limits of each connection that carries frames. */
  public final FrameLimits connectionLimits;

  /** Bytes that may wait for a peer; a message that would come on top is dropped. */
  public final long maxPeerUnsentBytes;

  /** How long requests in flight may take to end at a graceful shutdown. */
  public final TimeSpan shutdownTimeout;

  /** How long the first endpoint list may take before clients are admitted without it. */
  public final TimeSpan discoveryTimeout;

  /** For a connection to an endpoint. */
  public final TimeSpan connectTimeout;

  public final int connectionsPerEndpoint;

  /** Attempts in flight at a time on one connection to an endpoint. */
  public final int attemptsPerConnection;

  /** Attempts that may wait for a connection to an endpoint. */
  public final int waitingPerEndpoint;

  /** A connection to an endpoint that is unused for so long is closed. */
  public final TimeSpan idleTimeout;

  /** Before a connection is tried again for the first time. */
  public final TimeSpan firstBackoff;

  /** Bound of the backoff between attempts to connect. */
  public final TimeSpan maxBackoff;

  /** Where metrics are kept across restarts; null: in memory only. */
  public final Path metricsFile;

  /** Where metrics can be scraped; null: nowhere. */
  public final InetSocketAddress scrapeAddress;

  /** Whether new requests are rejected once a sum of the metrics does not hold. */
  public final boolean rejectsOnMetricsDrift;

  /** Null: nothing is encrypted. */
  public final Tls.Setup tlsSetup;

  /** Whether endpoints are connected to by TLS. */
  public final boolean tlsToEndpoints;

  /** Whether other relays are connected to by TLS. */
  public final boolean tlsPeers;

  /** Whether clients connect by TLS. */
  public final boolean tlsClients;

  /** Whether clients have to present a certificate. */
  public final boolean clientsAuthenticated;

  /** Threads for handshakes' cryptography; 0 without TLS. */
  public final int tlsWorkers;

  /** Tasks that may wait for these threads; 0 without TLS. */
  public final int tlsQueueCapacity;

  /** The names that other relays' certificates have to carry, by their numbers. */
  public final Map<Integer, String> peerNames;

  /** Between two requests for permits to place work on racks; null: none are needed. */
  public final TimeSpan rackPermitInterval;

  /** The share by which a clock may be fast or slow, the controller's and this one's each. */
  public final double rackClockDrift;

  /** The longest deadline of all methods, which a request may run for. */
  public final TimeSpan longestDeadline;

  /** Leases of the fleet's tasks; null: none. */
  public final LeaseConfig leases;

  /** What the decisions are made by. */
  public final Settings settings;

  /** By their indexes in the settings. */
  public final List<String> methodNames;

  /**
   * Reads and checks a file.
   *
   * @throws ConfigException at the first thing that is wrong
   */
  public static RelayConfig read(Path file) throws ConfigException {
    return new RelayConfig(XmlElement.read(file, "/sprucerock/relay.xsd"));
  }

  private RelayConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    seed = root.longNumber("seed");
    listen = root.child("listen").address();
    discovery = root.child("roster").address();
    controller = root.child("desk").address();
    XmlElement limits = root.child("limits");
    maxOpenRequests = limits.count("open");
    maxOpenRequestsPerClient = limits.count("open-per-client");
    maxClientConnections = limits.count("clients");
    maxEndpoints = limits.count("units");
    connectionLimits = connectionLimits(limits);
    maxPeerUnsentBytes = limits.bytes("peer-unsent");
    shutdownTimeout = limits.span("finish-within");
    discoveryTimeout = limits.span("wait-for-list");
    XmlElement connections = root.child("connections");
    connectTimeout = connections.span("connect-within");
    connectionsPerEndpoint = connections.count("per-unit");
    attemptsPerConnection = connections.count("picks-each");
    waitingPerEndpoint = connections.count("waiting-per-unit");
    idleTimeout = connections.requireAtLeast("idle", MIN_INTERVAL);
    firstBackoff = connections.requireAtLeast("pause-first", MIN_BACKOFF);
    maxBackoff = connections.requireAtLeast("pause-most", firstBackoff);
    XmlElement metrics = root.child("figures");
    metricsFile = metrics == null || !metrics.has("file") ? null : Path.of(metrics.text("file"));
    scrapeAddress = metrics == null || !metrics.has("port") ? null : metrics.address();
    rejectsOnMetricsDrift = metrics != null && metrics.flag("strict");
    XmlElement racks = root.child("racks");
    rackPermitInterval = racks == null ? null : racks.requireAtLeast("ask-every", MIN_INTERVAL);
    rackClockDrift = racks == null ? 0 : rackClockDrift(racks);
    XmlElement site = root.child("site");
    longestDeadline = longestDeadline(site);
    int number = root.count("number");
    leases = LeaseConfig.of(root.child("leases"), number);
    settings = settings(site, number);
    if (number >= settings.relayCount) {
      throw root.invalid(
          "number "
              + number
              + " of "
              + settings.relayCount
              + " relays: 0 to "
              + (settings.relayCount - 1));
    }
    methodNames = methodNames(site);
    peers = peers(root, number);
    XmlElement tls = root.child("tls");
    tlsSetup = tls == null ? null : TlsSettingsReader.read(tls);
    tlsToEndpoints = tls != null && tls.flag("units");
    tlsPeers = tls != null && tls.flag("peers");
    tlsClients = tls != null && !tls.text("clients").equals("plain");
    clientsAuthenticated = tls != null && tls.text("clients").equals("proven");
    tlsWorkers = tls == null ? 0 : tls.count("workers");
    tlsQueueCapacity = tls == null ? 0 : tls.count("work-waiting");
    peerNames = peerNames(root);
    if (tlsPeers && !clientsAuthenticated) {
      throw tls.invalid("peers need clients=\"proven\": relays are taken where clients are");
    }
    if (tlsClients && !tls.has("key")) {
      throw tls.invalid("clients need a key");
    }
  }

  private static FrameLimits connectionLimits(XmlElement limits) throws ConfigException {
    long frameBytes = limits.bytes("frame");
    if (frameBytes < MIN_FRAME_BYTES || frameBytes > MAX_FRAME_BYTES) {
      throw limits.invalid("frame may be 1KiB to 1024MiB, not " + limits.text("frame"));
    }
    long unsentBytes = limits.bytes("unsent");
    if (unsentBytes < frameBytes) {
      throw limits.invalid("unsent must hold one frame, " + limits.text("frame"));
    }
    return new FrameLimits(
        (int) frameBytes, unsentBytes, limits.requireAtLeast("beat", MIN_INTERVAL));
  }

  private static double rackClockDrift(XmlElement racks) throws ConfigException {
    double drift = racks.number("drift");
    if (drift >= LeaseConfig.MAX_CLOCK_DRIFT) {
      throw racks.invalid("drift is under 0.2: a share by which a clock may run fast or slow");
    }
    return drift;
  }

  private static TimeSpan longestDeadline(XmlElement site) {
    TimeSpan longest = TimeSpan.ZERO;
    for (XmlElement method : site.children("method")) {
      longest = longest.atLeast(method.span("deadline"));
    }
    return longest;
  }

  private Settings settings(XmlElement site, int number) throws ConfigException {
    Settings.Draft draft = SiteSettingsReader.read(site, number);
    draft.idleTimeout = idleTimeout;
    return new Settings(draft);
  }

  private static List<String> methodNames(XmlElement site) throws ConfigException {
    List<String> names =
        site.children("method").stream().map(method -> method.text("name")).toList();
    if (Set.copyOf(names).size() < names.size()) {
      throw site.invalid("two methods have one name");
    }
    return names;
  }

  private Map<Integer, InetSocketAddress> peers(XmlElement root, int ownNumber)
      throws ConfigException {
    TreeMap<Integer, InetSocketAddress> addresses = new TreeMap<>();
    for (XmlElement peer : root.children("peer")) {
      int number = peer.count("number");
      if (number >= settings.relayCount) {
        throw peer.invalid("number " + number + ": allowed are 0 to " + (settings.relayCount - 1));
      }
      if (number == ownNumber) {
        continue; // one list can serve a whole fleet
      }
      if (addresses.put(number, peer.address()) != null) {
        throw peer.invalid("number " + number + " is named twice");
      }
    }
    return Collections.unmodifiableMap(addresses);
  }

  private Map<Integer, String> peerNames(XmlElement root) throws ConfigException {
    TreeMap<Integer, String> names = new TreeMap<>();
    for (XmlElement peer : root.children("peer")) {
      if (tlsPeers && !peer.has("name")) {
        throw peer.invalid("with tls/peers a name is needed, that its certificate carries");
      }
      if (peer.has("name")) {
        names.put(peer.count("number"), peer.text("name"));
      }
    }
    return Collections.unmodifiableMap(names);
  }
}
