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
  public final InetSocketAddress roster;
  public final InetSocketAddress desk;

  /** Where the other relays are, by their numbers. */
  public final Map<Integer, InetSocketAddress> peers;

  /** RPCs open at a time, in all and from one connection. */
  public final int open;

  public final int openPerClient;

  /** Connections that are taken at a time. */
  public final int clients;

  public final int endpoints;
  public final FrameLimits connection;

  /** Bytes that may wait for a peer; a message that would come on top is dropped. */
  public final long peerUnsent;

  /** How long open RPCs may take to end once the relay is told to. */
  public final TimeSpan finishWithin;

  /** How long the first list and news may take before clients are let in without them. */
  public final TimeSpan waitForList;

  public final TimeSpan connectWithin;
  public final int connectionsPerUnit;
  public final int picksEach;
  public final int waitingPerUnit;
  public final TimeSpan idle;
  public final TimeSpan pauseFirst;
  public final TimeSpan pauseMost;

  /** Where figures are kept through the relay's lives; null: in memory only. */
  public final Path figures;

  /** Where they can be scraped; null: nowhere. */
  public final InetSocketAddress scrapedAt;

  /** Once figures drift, no new RPC is taken. */
  public final boolean strict;

  /** Null: nothing is encrypted. */
  public final Tls.Setup tls;

  /**
   * Whether units, other relays and clients are reached and taken by TLS; and whether clients have
   * to be proven.
   */
  public final boolean tlsUnits;

  public final boolean tlsPeers;
  public final boolean tlsClients;
  public final boolean provenClients;
  public final int tlsWorkers;
  public final int tlsWorkWaiting;

  /** The names that other relays' certificates have to carry, by their numbers. */
  public final Map<Integer, String> peerNames;

  /**
   * How often it asks until when it may place work on racks; null: nothing is ever frozen for it.
   */
  public final TimeSpan racksEvery;

  /** By how much of itself a clock may be off, the controller's and this one's each. */
  public final double racksDrift;

  /** The longest deadline of all methods: what is begun may run for so long. */
  public final TimeSpan longestDeadline;

  /** Leases of the fleet's tasks; null: none. */
  public final LeaseConfig leases;

  public final Settings settings;

  /** By their places in the settings. */
  public final List<String> methodNames;

  /** Reads and checks a file; the first thing that is wrong ends it. */
  public static RelayConfig read(Path file) throws ConfigException {
    return new RelayConfig(Node.read(file, "/sprucerock/relay.xsd"));
  }

  private RelayConfig(Node root) throws ConfigException {
    name = root.text("name");
    seed = root.big("seed");
    listen = address(root.child("listen"));
    roster = address(root.child("roster"));
    desk = address(root.child("desk"));
    Node limits = root.child("limits");
    open = limits.count("open");
    openPerClient = limits.count("open-per-client");
    clients = limits.count("clients");
    endpoints = limits.count("units");
    if (limits.bytes("frame") < 1024 || limits.bytes("frame") > 1 << 30) {
      throw limits.wrong("frame may be 1KiB to 1024MiB, not " + limits.text("frame"));
    }
    connection =
        new FrameLimits((int) limits.bytes("frame"), limits.bytes("unsent"), limits.span("beat"));
    if (connection.maxUnsentBytes() < connection.maxFrameBytes()) {
      throw limits.wrong("unsent must hold one frame, " + limits.text("frame"));
    }
    atLeast(limits, "beat", TimeSpan.ofMs(10));
    peerUnsent = limits.bytes("peer-unsent");
    finishWithin = limits.span("finish-within");
    waitForList = limits.span("wait-for-list");
    Node connections = root.child("connections");
    connectWithin = connections.span("connect-within");
    connectionsPerUnit = connections.count("per-unit");
    picksEach = connections.count("picks-each");
    waitingPerUnit = connections.count("waiting-per-unit");
    idle = connections.span("idle");
    pauseFirst = connections.span("pause-first");
    pauseMost = connections.span("pause-most");
    atLeast(connections, "idle", TimeSpan.ofMs(10));
    atLeast(connections, "pause-first", TimeSpan.ofMs(1));
    atLeast(connections, "pause-most", pauseFirst);
    Node kept = root.child("figures");
    figures = kept == null || !kept.has("file") ? null : Path.of(kept.text("file"));
    scrapedAt = kept == null || !kept.has("port") ? null : address(kept);
    strict = kept != null && kept.flag("strict");
    Node racks = root.child("racks");
    racksEvery = racks == null ? null : racks.span("ask-every");
    racksDrift = racks == null ? 0 : racks.number("drift");
    if (racks != null) {
      atLeast(racks, "ask-every", TimeSpan.ofMs(10));
    }
    if (racksDrift >= 0.2) {
      throw racks.wrong("drift is under 0.2: a share by which a clock may run fast or slow");
    }
    TimeSpan longest = TimeSpan.ZERO;
    for (Node method : root.child("site").all("method")) {
      longest = longest.atLeast(method.span("deadline"));
    }
    longestDeadline = longest;
    leases = LeaseConfig.of(root.child("leases"), root.count("number"));
    Node site = root.child("site");
    int number = root.count("number");
    Settings.Draft draft = draft(site, number);
    draft.idleTimeout = idle;
    settings = new Settings(draft);
    if (number >= settings.relays) {
      throw root.wrong(
          "number " + number + " of " + settings.relays + " relays: 0 to " + (settings.relays - 1));
    }
    methodNames = site.all("method").stream().map(method -> method.text("name")).toList();
    if (Set.copyOf(methodNames).size() < methodNames.size()) {
      throw site.wrong("two methods have one name");
    }
    TreeMap<Integer, InetSocketAddress> found = new TreeMap<>();
    for (Node peer : root.all("peer")) {
      int other = peer.count("number");
      if (other >= settings.relays) {
        throw peer.wrong("number " + other + ": allowed are 0 to " + (settings.relays - 1));
      }
      if (other == number) {
        continue; // one list can serve a whole fleet
      }
      if (found.put(other, address(peer)) != null) {
        throw peer.wrong("number " + other + " is named twice");
      }
    }
    peers = Collections.unmodifiableMap(found);
    Node secured = root.child("tls");
    tls = secured == null ? null : setup(secured);
    tlsUnits = secured != null && secured.flag("units");
    tlsPeers = secured != null && secured.flag("peers");
    tlsClients = secured != null && !secured.text("clients").equals("plain");
    provenClients = secured != null && secured.text("clients").equals("proven");
    tlsWorkers = secured == null ? 0 : secured.count("workers");
    tlsWorkWaiting = secured == null ? 0 : secured.count("work-waiting");
    TreeMap<Integer, String> names = new TreeMap<>();
    for (Node peer : root.all("peer")) {
      if (tlsPeers && !peer.has("name")) {
        throw peer.wrong("with tls/peers a name is needed, that its certificate carries");
      }
      if (peer.has("name")) {
        names.put(peer.count("number"), peer.text("name"));
      }
    }
    peerNames = Collections.unmodifiableMap(names);
    if (tlsPeers && !provenClients) {
      throw secured.wrong("peers need clients=\"proven\": relays are taken where clients are");
    }
    if (tlsClients && !secured.has("key")) {
      throw secured.wrong("clients need a key");
    }
  }

  private static Tls.Setup setup(Node node) throws ConfigException {
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

  private static Path path(Node node, String key) {
    return node.has(key) ? Path.of(node.text(key)) : null;
  }

  private static void atLeast(Node node, String key, TimeSpan least) throws ConfigException {
    if (least.over(node.span(key))) {
      throw node.wrong(key + " may be " + least.ms() + "ms at least, not " + node.text(key));
    }
  }

  private static void atMost(Node node, String child, int most) throws ConfigException {
    int count = node.all(child).size();
    if (count > most) {
      throw node.wrong(count + " of " + child + ", allowed are " + most);
    }
  }

  private static InetSocketAddress address(Node node) throws ConfigException {
    InetSocketAddress address = Address.of(node.text("host"), node.count("port"));
    if (address == null) {
      throw node.wrong("host \"" + node.text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }

  private static Settings.Draft draft(Node site, int number) throws ConfigException {
    Settings.Draft draft = new Settings.Draft();
    atMost(site, "method", 256);
    atMost(site, "customer", 10_000);
    atMost(site, "stage", 100);
    for (Node method : site.all("method")) {
      draft.methods.add(method(method, draft.methods.size()));
    }
    for (Node tenant : site.all("customer")) {
      draft.tenantShares.add(tenant.number("share"));
    }
    for (Node stage : site.all("stage")) {
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
    Node rules = site.child("rules");
    draft.warmUp = rules.span("cold");
    draft.startShare = rules.number("start-capacity");
    draft.tipAfter = rules.span("tip-after");
    draft.tipMultiple = rules.number("tip-multiple");
    draft.perMethod = rules.flag("cap-by-method");
    draft.free = rules.number("free-picks");
    if (!(draft.free >= 0) || !(draft.tipMultiple > 0)) {
      throw rules.wrong("free-picks: 0 or more; tip-multiple: above 0");
    }
    if (rules.has("guarded-stages")) {
      draft.guardedStages = rules.count("guarded-stages");
    }
    if (rules.has("one-way-keys")) {
      draft.oneWayKeys = rules.flag("one-way-keys");
    }
    Node allowed = site.child("allowed");
    draft.maxAttempts = allowed.count("picks");
    draft.hedging = allowed.flag("second-copies");
    draft.cancellation = allowed.flag("cancel");
    draft.gossip = allowed.flag("peers");
    draft.retryAfter = allowed.flag("retry-after");
    draft.maxRetryAfter = allowed.span("most-retry-after");
    Node votes = site.child("votes");
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

  private static Method method(Node node, int index) throws ConfigException {
    Method.Idempotency effect =
        switch (node.text("effect")) {
          case "idempotent" -> Method.Idempotency.IDEMPOTENT;
          case "tokened" -> Method.Idempotency.KEYED;
          default -> Method.Idempotency.NONE;
        };
    boolean tokened = effect == Method.Idempotency.KEYED;
    if (tokened != node.has("window") || !tokened && node.has("group")) {
      throw node.wrong("window is for tokened methods, which need it; group for them alone");
    }
    TimeSpan soft = node.span("soft-deadline");
    if (soft.over(node.span("deadline"))) {
      throw node.wrong("soft-deadline is at most the deadline, " + node.text("deadline"));
    }
    atLeast(node, "soft-deadline", TimeSpan.ofMs(1));
    if (!(node.number("utility") > 0)) {
      throw node.wrong("utility is above 0, not " + node.text("utility"));
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
