package sprucerock.relay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.zip.CRC32;
import sprucerock.accounting.RequestTracker;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.http.HttpException;
import sprucerock.transport.net.Net;

/** What discovery says of the units, told to the requestTracker; and each unit's connections. */
final class Discovery implements ReconnectingWatch.Reader {
  /** Enough for some thousand endpoints. */
  private static final int MAX_LIST_BYTES = 1024 * 1024;

  private static final int MAX_ENDPOINTS = 4096;

  /** Of one list; those that there is no room for are left out one by one. */
  private static final int MAX_ENTRIES = 4 * MAX_ENDPOINTS;

  /** An empty line comes every two seconds. */
  private static final TimeSpan MAX_SILENCE = TimeSpan.ofMs(3000);

  /** Discovery's agent runs on the relay's own machine. */
  private static final TimeSpan CONNECT_TIMEOUT = TimeSpan.ofMs(200);

  /**
   * The agent answers at once. Two watches that stay silent fit into the 4 s after SIGHUP and the 6
   * s of a silence, by which a list counts as notified.
   */
  private static final TimeSpan RESPONSE_TIMEOUT = TimeSpan.ofMs(1000);

  /** How long a complete list that is older than the known one may take to catch up with it. */
  private static final TimeSpan OLDER_LIST_TIMEOUT = TimeSpan.ofMs(500);

  private final Net net;
  private final RequestTracker requestTracker;
  private final EventLog events;
  private final PlatformConnectionPools pools;
  private final List<String> zones;
  private final List<String> hardwareFamilies;

  /** The event loop's clock at the origin of Unix time. */
  private final Timestamp unixEpoch;

  private final EndpointListConfirmation confirmation;
  private final Runnable lost;
  private final ReconnectingWatch watch;
  private final TreeMap<Long, String> namesById = new TreeMap<>();

  /** The response whose list was received last. */
  private ListResponse lastResponse;

  private long version;

  /** How often discovery has moved to another address. */
  private int moveCount;

  Discovery(
      Net net,
      PlatformConfig config,
      RequestTracker requestTracker,
      EventLog events,
      PlatformConnectionPools pools,
      Timestamp unixEpoch,
      DoubleSupplier dice,
      EndpointListConfirmation confirmation,
      Runnable lost) {
    this.net = net;
    this.requestTracker = requestTracker;
    this.events = events;
    this.pools = pools;
    this.unixEpoch = unixEpoch;
    this.confirmation = confirmation;
    this.lost = lost;
    zones = config.zones;
    hardwareFamilies = config.kinds;
    watch =
        new ReconnectingWatch(
            net, config.discovery, MAX_SILENCE, RESPONSE_TIMEOUT, CONNECT_TIMEOUT, dice, this);
  }

  /** Applies the configured list, which is unconfirmed, and requests what changed since. */
  void start(JsonNode known) {
    if (known.isObject()) {
      try {
        apply(EndpointList.of(known));
      } catch (HttpException e) {
        events.warn(
            EventLog.Event.LISTING_REFUSED, "the list in the configuration: " + e.getMessage());
      }
    }
    watch.dial();
  }

  /** Uses another address from now on; returns false if it is the present one. */
  boolean move(InetSocketAddress there) {
    int before = moveCount++; // a watch that is begun within the call belongs to the new address
    if (watch.move(there)) {
      confirmation.moved();
      return true;
    }
    moveCount = before;
    return false;
  }

  TimeSpan silent() {
    return watch.silent();
  }

  void stop() {
    watch.stop();
  }

  /** The endpoint of a name; null if none is listed. */
  Endpoint endpoint(String name) {
    long id = idOf(name);
    return name.equals(namesById.get(id)) ? requestTracker.endpoint(id) : null;
  }

  @Override
  public ReconnectingWatch.Answer asks() {
    return new ListResponse();
  }

  /** The response to one watch request. */
  private final class ListResponse implements ReconnectingWatch.Answer {
    private final int movesAtRequest = moveCount;
    private final EndpointListParser parser = new EndpointListParser(MAX_LIST_BYTES, MAX_ENTRIES);

    /** A list that is older than the known one, by endpoint name; null if there is none. */
    private Map<String, ListedEndpoint> olderList;

    private long lastVersion;

    @Override
    public String path() {
      return "/v1/servers?watch=1&from=" + version;
    }

    @Override
    public boolean piece(ByteBuffer bytes) throws HttpException {
      return parser.feed(bytes, this::listReceived);
    }

    private void applied() {
      confirmation.listReceived(movesAtRequest == moveCount);
    }

    /**
     * Applies a list that is not older than the known one. A complete list that is older has
     * crossed another response, or comes from a discovery that counts anew. It is kept aside with
     * the changes that follow it until it has caught up, or for a while, and is applied then.
     * Guards against endpoints that are gone, drain or were restarted and would return as they
     * were. What it lists as draining gets nothing new at once.
     */
    private void listReceived(EndpointList listing) {
      lastResponse = this;
      boolean full = listing.full();
      lastVersion = listing.version();
      if (olderList == null) {
        if (!full || lastVersion >= version) {
          apply(listing);
          applied();
          return;
        }
        olderList = new LinkedHashMap<>();
        net.stallTolerantTimeout(OLDER_LIST_TIMEOUT, this::applyOlderList);
      }
      if (full) {
        olderList.clear();
      }
      for (ListedEndpoint entry : listing.entries()) {
        if (entry.isDeleted()) {
          olderList.remove(entry.id());
        } else {
          olderList.put(entry.id(), entry);
        }
        if (entry.isDraining()) {
          drain(entry);
        }
      }
      if (lastVersion >= version) {
        applyOlderList();
      }
    }

    private void drain(ListedEndpoint entry) {
      Endpoint known = endpoint(entry.id());
      if (known != null && known.ready() && known.isSameProcess(entry.build(), started(entry))) {
        requestTracker.endpointListed(
            known.id,
            known.zone,
            known.hardwareFamily,
            known.cell,
            known.build.number,
            known.startedAt,
            known.weight(),
            false);
        closePool(known);
      }
    }

    private void applyOlderList() {
      if (olderList == null || lastResponse != this) {
        return;
      }
      EndpointList listing = new EndpointList(lastVersion, true, List.copyOf(olderList.values()));
      olderList = null;
      apply(listing);
      applied();
    }
  }

  @Override
  public void lost(String why) {
    boolean isConfirmed = confirmation.state() == EndpointListState.CONFIRMED;
    events.warn(
        EventLog.Event.ROSTER_LOST,
        why + (isConfirmed ? "; the units listed last hold" : "; the list is not confirmed"));
    lost.run();
  }

  private void apply(EndpointList listing) {
    // the response to an earlier request than the one that has sent more
    if (!listing.full() && listing.version() < version) {
      return;
    }
    Set<Long> named = new HashSet<>();
    for (ListedEndpoint entry : listing.entries()) {
      String wrong = applyEntry(entry, named);
      if (wrong != null) {
        String name = entry.id().isEmpty() ? "?" : entry.id();
        events.warn(
            EventLog.Event.LISTING_REFUSED,
            "unit " + name + " has " + wrong + "; the entry is left out");
      }
    }
    if (listing.full()) {
      for (Endpoint endpoint : requestTracker.endpoints()) {
        if (!named.contains(endpoint.id)) {
          remove(endpoint.id);
        }
      }
    }
    version = listing.version();
  }

  /** The endpoint's id by its name, the same in all relays. */
  private static long idOf(String name) {
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  private Timestamp started(ListedEndpoint entry) {
    return entry.startedMs() <= 0 ? null : unixEpoch.plus(TimeSpan.ofMs(entry.startedMs()));
  }

  /** Applies an entry; returns what is wrong with it, or null. */
  private String applyEntry(ListedEndpoint entry, Set<Long> named) {
    String name = entry.id();
    if (name.isEmpty()) {
      return "no id";
    }
    long id = idOf(name);
    String other = namesById.get(id);
    if (other != null && !other.equals(name)) {
      return "the number of " + other + ", by chance";
    }
    if (entry.isDeleted()) {
      remove(id);
      return null;
    }
    named.add(id); // an entry that can't be read does not say that the unit is gone
    InetSocketAddress address = PlatformConfig.of(entry.address());
    double weight = entry.weight();
    int build = entry.build();
    if (!entry.isServing() && !entry.isDraining()) {
      return "no known state";
    }
    if (address == null) {
      return "no address to connect to";
    }
    if (build >>> 16 != 0) {
      return "no build from 0 to 65535";
    }
    if (!(weight > 0) || weight > 1e6) {
      return "a weight that is not above 0";
    }
    if (other == null && namesById.size() >= MAX_ENDPOINTS) {
      return "no room: " + MAX_ENDPOINTS + " units are known";
    }
    namesById.put(id, name);
    Timestamp started = started(entry);
    Endpoint known = requestTracker.endpoint(id);
    boolean sameRun = known != null && known.isSameProcess(build, started);
    boolean moved =
        sameRun
            && known.attachment != null
            && !((PlatformConnectionPool) known.attachment).address.equals(address);
    if (known != null && (!sameRun || moved)) {
      closePool(known);
    }
    if (moved) {
      requestTracker.endpointRemoved(id);
    }
    Endpoint endpoint =
        requestTracker.endpointListed(
            id,
            Math.max(0, zones.indexOf(entry.zone())),
            Math.max(0, hardwareFamilies.indexOf(entry.kind())),
            entry.cell(),
            build,
            started,
            weight,
            entry.isServing());
    if (endpoint.attachment == null) {
      endpoint.attachment = new PlatformConnectionPool(endpoint, address, pools);
    } else if (entry.isServing()) {
      ((PlatformConnectionPool) endpoint.attachment).back();
    }
    if (entry.isDraining()) {
      closePool(endpoint);
    }
    return null;
  }

  private void remove(long id) {
    namesById.remove(id);
    Endpoint endpoint = requestTracker.endpoint(id);
    if (endpoint == null) {
      return;
    }
    requestTracker.endpointRemoved(id);
    closePool(endpoint);
  }

  private static void closePool(Endpoint endpoint) {
    if (endpoint.attachment != null) {
      ((PlatformConnectionPool) endpoint.attachment).leave();
    }
  }
}
