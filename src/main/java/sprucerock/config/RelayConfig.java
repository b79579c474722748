package sprucerock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Handshakes;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Tls;
import sprucerock.transport.wire.FrameLimits;

/**
 * The configuration of one relay, checked; the schema relay.xsd names the units and the values used
 * where one is left out.
 */
public final class RelayConfig {
  public final String name;
  public final long seed;
  public final InetSocketAddress listen;
  public final InetSocketAddress discovery;
  public final InetSocketAddress controller;

  /** Where the other relays are, by their numbers. */
  public final Map<Integer, InetSocketAddress> peers;

  /** RPCs open at a time, in all and from one connection. */
  public final int maxOpenRequests;

  public final int maxOpenRequestsPerClient;

  /** Connections that are taken at a time. */
  public final int maxClientConnections;

  public final int maxEndpoints;
  public final FrameLimits connectionLimits;

  /** Bytes that may wait for a peer; a message that would come on top is dropped. */
  public final long maxPeerUnsentBytes;

  /** How long open RPCs may take to end once the relay is told to. */
  public final TimeSpan shutdownTimeout;

  /** How long the first list and news may take before clients are let in without them. */
  public final TimeSpan discoveryTimeout;

  public final TimeSpan connectTimeout;
  public final int connectionsPerEndpoint;
  public final int attemptsPerConnection;
  public final int waitingPerEndpoint;
  public final TimeSpan idleTimeout;
  public final TimeSpan firstBackoff;
  public final TimeSpan maxBackoff;

  /** Where figures are kept through the relay's lives; null: in memory only. */
  public final Path metricsFile;

  /** Where they can be scraped; null: nowhere. */
  public final InetSocketAddress scrapeAddress;

  /** Once figures drift, no new RPC is taken. */
  public final boolean rejectsOnMetricsDrift;

  /** Null: nothing is encrypted. */
  public final Tls.Setup tlsSetup;

  /**
   * Whether units, other relays and clients are reached and taken by TLS; and whether clients have
   * to be proven.
   */
  public final boolean tlsToEndpoints;

  public final boolean tlsPeers;
  public final boolean tlsClients;
  public final boolean clientsAuthenticated;
  public final int tlsWorkers;
  public final int tlsQueueCapacity;

  /** The names that other relays' certificates have to carry, by their numbers. */
  public final Map<Integer, String> peerNames;

  /**
   * How often it asks until when it may place work on racks; null: nothing is ever frozen for it.
   */
  public final TimeSpan rackPermitInterval;

  /** By how much of itself a clock may be off, the controller's and this one's each. */
  public final double rackClockDrift;

  /** The longest deadline of all methods: what is begun may run for so long. */
  public final TimeSpan longestDeadline;

  /** Leases of the fleet's tasks; null: none. */
  public final LeaseConfig leases;

  public final Settings settings;

  /** By their places in the settings. */
  public final List<String> methodNames;

  /** Reads and checks a file; the first thing that is wrong ends it. */
  public static RelayConfig read(Path file) throws ConfigException {
    return new RelayConfig(XmlElement.read(file, "/sprucerock/relay.xsd"));
  }

  private RelayConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    seed = root.longNumber("seed");
    listen = address(root.child("listen"));
    discovery = address(root.child("roster"));
    controller = address(root.child("desk"));
    XmlElement limits = root.child("limits");
    maxOpenRequests = limits.count("open");
    maxOpenRequestsPerClient = limits.count("open-per-client");
    maxClientConnections = limits.count("clients");
    maxEndpoints = limits.count("units");
    if (limits.bytes("frame") < 1024 || limits.bytes("frame") > 1 << 30) {
      throw limits.invalid("frame may be 1KiB to 1024MiB, not " + limits.text("frame"));
    }
    connectionLimits =
        new FrameLimits((int) limits.bytes("frame"), limits.bytes("unsent"), limits.span("beat"));
    if (connectionLimits.maxUnsentBytes() < connectionLimits.maxFrameBytes()) {
      throw limits.invalid("unsent must hold one frame, " + limits.text("frame"));
    }
    atLeast(limits, "beat", TimeSpan.ofMs(10));
    maxPeerUnsentBytes = limits.bytes("peer-unsent");
    shutdownTimeout = limits.span("finish-within");
    discoveryTimeout = limits.span("wait-for-list");
    XmlElement connections = root.child("connections");
    connectTimeout = connections.span("connect-within");
    connectionsPerEndpoint = connections.count("per-unit");
    attemptsPerConnection = connections.count("picks-each");
    waitingPerEndpoint = connections.count("waiting-per-unit");
    idleTimeout = connections.span("idle");
    firstBackoff = connections.span("pause-first");
    maxBackoff = connections.span("pause-most");
    atLeast(connections, "idle", TimeSpan.ofMs(10));
    atLeast(connections, "pause-first", TimeSpan.ofMs(1));
    atLeast(connections, "pause-most", firstBackoff);
    XmlElement kept = root.child("figures");
    metricsFile = kept == null || !kept.has("file") ? null : Path.of(kept.text("file"));
    scrapeAddress = kept == null || !kept.has("port") ? null : address(kept);
    rejectsOnMetricsDrift = kept != null && kept.flag("strict");
    XmlElement racks = root.child("racks");
    rackPermitInterval = racks == null ? null : racks.span("ask-every");
    rackClockDrift = racks == null ? 0 : racks.number("drift");
    if (racks != null) {
      atLeast(racks, "ask-every", TimeSpan.ofMs(10));
    }
    if (rackClockDrift >= 0.2) {
      throw racks.invalid("drift is under 0.2: a share by which a clock may run fast or slow");
    }
    TimeSpan longest = TimeSpan.ZERO;
    for (XmlElement method : root.child("site").children("method")) {
      longest = longest.atLeast(method.span("deadline"));
    }
    longestDeadline = longest;
    leases = LeaseConfig.of(root.child("leases"), root.count("number"));
    XmlElement site = root.child("site");
    int number = root.count("number");
    Settings.Draft draft = draft(site, number);
    draft.idleTimeout = idleTimeout;
    settings = new Settings(draft);
    if (number >= settings.relays) {
      throw root.invalid(
          "number " + number + " of " + settings.relays + " relays: 0 to " + (settings.relays - 1));
    }
    methodNames = site.children("method").stream().map(method -> method.text("name")).toList();
    if (Set.copyOf(methodNames).size() < methodNames.size()) {
      throw site.invalid("two methods have one name");
    }
    TreeMap<Integer, InetSocketAddress> found = new TreeMap<>();
    for (XmlElement peer : root.children("peer")) {
      int other = peer.count("number");
      if (other >= settings.relays) {
        throw peer.invalid("number " + other + ": allowed are 0 to " + (settings.relays - 1));
      }
      if (other == number) {
        continue;
        // one list can serve a whole fleet
      }
      if (found.put(other, address(peer)) != null) {
        throw peer.invalid("number " + other + " is named twice");
      }
    }
    peers = Collections.unmodifiableMap(found);
    XmlElement secured = root.child("tls");
    tlsSetup = secured == null ? null : setup(secured);
    tlsToEndpoints = secured != null && secured.flag("units");
    tlsPeers = secured != null && secured.flag("peers");
    tlsClients = secured != null && !secured.text("clients").equals("plain");
    clientsAuthenticated = secured != null && secured.text("clients").equals("proven");
    tlsWorkers = secured == null ? 0 : secured.count("workers");
    tlsQueueCapacity = secured == null ? 0 : secured.count("work-waiting");
    TreeMap<Integer, String> names = new TreeMap<>();
    for (XmlElement peer : root.children("peer")) {
      if (tlsPeers && !peer.has("name")) {
        throw peer.invalid("with tls/peers a name is needed, that its certificate carries");
      }
      if (peer.has("name")) {
        names.put(peer.count("number"), peer.text("name"));
      }
    }
    peerNames = Collections.unmodifiableMap(names);
    if (tlsPeers && !clientsAuthenticated) {
      throw secured.invalid("peers need clients=\"proven\": relays are taken where clients are");
    }
    if (tlsClients && !secured.has("key")) {
      throw secured.invalid("clients need a key");
    }
  }

  private static Tls.Setup setup(XmlElement node) throws ConfigException {
    Material.Sources files =
        new Material.Sources(
            path(node, "trust"),
            path(node, "key"),
            path(node, "chain"),
            path(node, "password"),
            path(node, "crl"));
    List<String> versions =
        Arrays.stream(node.text("versions").split(" ")).map(version -> "TLSv" + version).toList();
    Credentials.Policy policy =
        new Credentials.Policy(
            versions,
            duration(node.span("skew")),
            node.count("longest-chain"),
            node.count("sessions"),
            duration(node.span("session-life")));
    atLeast(node, "look-every", TimeSpan.ofMs(10));
    atLeast(node, "handshake-within", TimeSpan.ofMs(10));
    atLeast(node, "move-within", TimeSpan.ofMs(10));
    return new Tls.Setup(
        files,
        policy,
        node.span("handshake-within"),
        node.span("look-every"),
        node.span("move-within"),
        new Handshakes.Most(
            node.count("handshakes-a-second"),
            node.count("handshakes-at-once"),
            node.count("handshakes-a-second-each"),
            node.count("handshakes-waiting")));
  }

  private static Duration duration(TimeSpan span) {
    return Duration.ofNanos((long) (span.ms() * 1e6));
  }

  private static Path path(XmlElement node, String key) {
    return node.has(key) ? Path.of(node.text(key)) : null;
  }

  private static void atLeast(XmlElement node, String key, TimeSpan least) throws ConfigException {
    if (least.over(node.span(key))) {
      throw node.invalid(key + " may be " + least.ms() + "ms at least, not " + node.text(key));
    }
  }

  private static void atMost(XmlElement node, String child, int most) throws ConfigException {
    int count = node.children(child).size();
    if (count > most) {
      throw node.invalid(count + " of " + child + ", allowed are " + most);
    }
  }

  private static InetSocketAddress address(XmlElement node) throws ConfigException {
    InetSocketAddress address = Address.of(node.text("host"), node.count("port"));
    if (address == null) {
      throw node.invalid(
          "host \"" + node.text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }

  private static Settings.Draft draft(XmlElement site, int number) throws ConfigException {
    Settings.Draft draft = new Settings.Draft();
    atMost(site, "method", 256);
    atMost(site, "customer", 10_000);
    atMost(site, "stage", 100);
    for (XmlElement method : site.children("method")) {
      draft.methods.add(method(method, draft.methods.size()));
    }
    for (XmlElement tenant : site.children("customer")) {
      draft.tenantShares.add(tenant.number("share"));
    }
    for (XmlElement stage : site.children("stage")) {
      draft.caps.add(stage.number("cap"));
    }
    draft.zone = site.count("zone");
    if (site.has("over-share-worth")) {
      draft.overQuotaWeight = site.number("over-share-worth");
    }
    draft.tick = site.span("tick");
    atLeast(site, "tick", TimeSpan.ofMs(0.1));
    draft.pollsEndpointList = site.flag("ask");
    draft.pollWithin = site.span("ask-within");
    XmlElement rules = site.child("rules");
    draft.warmUp = rules.span("cold");
    draft.startShare = rules.number("start-capacity");
    draft.tipAfter = rules.span("tip-after");
    draft.tipMultiple = rules.number("tip-multiple");
    draft.perMethod = rules.flag("cap-by-method");
    draft.free = rules.number("free-picks");
    if (!(draft.free >= 0) || !(draft.tipMultiple > 0)) {
      throw rules.invalid("free-picks: 0 or more; tip-multiple: above 0");
    }
    if (rules.has("guarded-stages")) {
      draft.guardedStages = rules.count("guarded-stages");
    }
    if (rules.has("one-way-keys")) {
      draft.oneWayKeys = rules.flag("one-way-keys");
    }
    XmlElement allowed = site.child("allowed");
    draft.maxAttempts = allowed.count("picks");
    draft.hedging = allowed.flag("second-copies");
    draft.cancellation = allowed.flag("cancel");
    draft.gossip = allowed.flag("peers");
    draft.retryAfter = allowed.flag("retry-after");
    draft.maxRetryAfter = allowed.span("most-retry-after");
    XmlElement votes = site.child("votes");
    draft.control =
        Settings.Control.valueOf(votes.text("control").toUpperCase(java.util.Locale.ROOT));
    draft.voteLifetime = votes.span("life");
    draft.callTimeout = votes.span("answer-within");
    if (votes.has("counts-every")) {
      draft.countsEvery = votes.span("counts-every");
    }
    draft.index = number;
    draft.relays = site.count("relays");
    return draft;
  }

  private static Method method(XmlElement node, int index) throws ConfigException {
    Method.Idempotency effect =
        switch (node.text("effect")) {
          case "idempotent" -> Method.Idempotency.IDEMPOTENT;
          case "tokened" -> Method.Idempotency.KEYED;
          default -> Method.Idempotency.NONE;
        };
    boolean tokened = effect == Method.Idempotency.KEYED;
    if (tokened != node.has("window") || !tokened && node.has("group")) {
      throw node.invalid("window is for tokened methods, which need it; group for them alone");
    }
    TimeSpan soft = node.span("soft-deadline");
    if (soft.over(node.span("deadline"))) {
      throw node.invalid("soft-deadline is at most the deadline, " + node.text("deadline"));
    }
    atLeast(node, "soft-deadline", TimeSpan.ofMs(1));
    if (!(node.number("utility") > 0)) {
      throw node.invalid("utility is above 0, not " + node.text("utility"));
    }
    Method.KeyScope group =
        !node.has("group")
            ? Method.KeyScope.ALL
            : switch (node.text("group")) {
              case "zone" -> Method.KeyScope.ZONE;
              case "cell" -> Method.KeyScope.CELL;
              default -> Method.KeyScope.ALL;
            };
    return new Method(
        index,
        effect,
        group,
        soft,
        tokened ? node.span("window") : TimeSpan.ZERO,
        node.number("utility"),
        false);
  }
}
