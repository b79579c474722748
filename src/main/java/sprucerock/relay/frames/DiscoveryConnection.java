package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.Address;
import sprucerock.config.RelayConfig;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.snapshot.RackSnapshot;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Watch;

/** What the roster says of the units, told to the ledger; and each unit's connections. */
final class DiscoveryConnection implements FrameListener {
  /**
   * A run of a unit's process, by the roster's number for it, with the one start time that it keeps
   * here.
   */
  private record ProcessRun(long number, Timestamp started) {}

  /**
   * The listed units of one rack that may get work if the rack may. They are looked at when its
   * verdict turns, not at each look at racks: a look is for twenty times a second, and racks are a
   * fraction of the units.
   */
  private static final class RackEndpoints {
    private final int zone;
    private final int cell;
    private final Map<Long, Entry> ready = new TreeMap<>();

    /**
     * What the last look found, and every unit has been told; null: some unit may have been told
     * otherwise since.
     */
    private Boolean mayPlace;

    RackEndpoints(Endpoint first) {
      zone = first.zone;
      cell = first.cell;
    }
  }

  private final Net net;
  private final RelayConfig config;
  private final RequestTracker ledger;
  private final EventLog events;
  private final EndpointConnectionPool.PoolListener poolListener;
  private final DeterministicRandom random;
  private final Runnable onListFailed;
  private final ReconnectingConnection connection;
  private final Map<Long, ProcessRun> runs = new HashMap<>();

  /** By {@link RackSnapshot#key}; none is empty. */
  private final Map<Integer, RackEndpoints> racksByKey = new TreeMap<>();

  private final RackPermits permits;
  private final Runnable onList;
  private final Consumer<Endpoint> onEndpointChanged;
  private boolean hasList;
  private boolean isAwaitingList;
  private boolean stopping;

  DiscoveryConnection(
      Net net,
      RelayConfig config,
      Hello mine,
      FrameTap tap,
      RequestTracker ledger,
      EventLog events,
      DeterministicRandom chance,
      EndpointConnectionPool.PoolListener owner,
      RackPermits racks,
      Runnable listFailed,
      Runnable learnt,
      Consumer<Endpoint> changed) {
    this.onEndpointChanged = changed;
    this.permits = racks;
    this.onList = learnt;
    this.net = net;
    this.config = config;
    this.ledger = ledger;
    this.events = events;
    this.poolListener = owner;
    this.random = chance;
    this.onListFailed = listFailed;
    connection =
        new ReconnectingConnection(net, config.roster, mine, config.connection, tap, chance, this);
  }

  void start() {
    connection.connect();
  }

  void stop() {
    stopping = true;
    connection.stop();
  }

  /** A whole list has come since the start. */
  boolean hasList() {
    return hasList;
  }

  /** The module asks for the list and its changes; where the roster is away, it is told so. */
  void subscribe() {
    if (connection.send(
        FrameKind.WATCH, Watch.getDefaultInstance(), FrameClientConnection.NO_BODY)) {
      isAwaitingList = true;
    } else {
      net.atTurnsEnd(onListFailed);
    }
  }

  @Override
  public void helloReceived(FrameConnection connection, Hello other) {
    if (other.getRole() != Role.ROSTER) {
      connection.cut("no roster answers there");
      return;
    }
    events.info(EventLog.Event.ROSTER_BACK, "linked to the roster at " + config.roster);
    if (!config.settings.ask) {
      connection.send(FrameKind.WATCH, Watch.getDefaultInstance(), FrameClientConnection.NO_BODY);
    }
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (kind != FrameKind.LISTING) {
      connection.cut("a roster sends no " + kind);
      return;
    }
    Listing listing = (Listing) head;
    if (listing.getForm() == Form.FAILED) {
      listFailed();
      return;
    }
    if (listing.getForm() != Form.WHOLE && listing.getForm() != Form.CHANGES) {
      events.warn(
          EventLog.Event.LISTING_REFUSED,
          "a listing that is neither whole nor changes; the old one holds");
      return;
    }
    isAwaitingList = false;
    Set<Long> named = new HashSet<>();
    for (Entry entry : listing.getEntriesList()) {
      named.add(entry.getUnit());
      apply(entry);
    }
    if (listing.getForm() == Form.WHOLE) {
      for (Endpoint endpoint : ledger.units()) {
        if (!named.contains(endpoint.id)) {
          remove(endpoint);
        }
      }
      hasList = true;
      onList.run();
    }
  }

  private void listFailed() {
    if (!isAwaitingList) {
      return;
    }
    isAwaitingList = false;
    onListFailed.run();
  }

  private void apply(Entry entry) {
    Endpoint known = ledger.unit(entry.getUnit());
    if (entry.getHealth() == Health.GONE) {
      if (known != null) {
        remove(known);
      }
      return;
    }
    InetSocketAddress address = Address.of(entry.getHost(), entry.getPort());
    String wrong =
        entry.getHealth() != Health.READY && entry.getHealth() != Health.DRAINING
            ? "no known health"
            : address == null || entry.getPort() == 0
                ? "no address to connect to"
                : entry.getBuild() >>> 16 != 0
                    ? "a build over 65535"
                    : !(entry.getWeight() > 0) || entry.getWeight() > 1e6
                        ? "a weight that is not above 0"
                        : known == null && runs.size() >= config.endpoints
                            ? "more units than limits/units allows"
                            : entry.getUnit() >>> 32 != 0
                                ? "an id of 2^32 or more"
                                : config.tls != null && config.tlsUnits && entry.getName().isEmpty()
                                    ? "no name, by which it could be proven"
                                    : null;
    if (wrong != null) {
      events.warn(
          EventLog.Event.LISTING_REFUSED,
          "unit "
              + Long.toUnsignedString(entry.getUnit())
              + " has "
              + wrong
              + "; the entry is left out");
      return;
    }
    ProcessRun run = runs.get(entry.getUnit());
    if (run == null || run.number != entry.getRun()) {
      // its age is told anew with each listing, late by the way here: the first one told is kept
      TimeSpan age = TimeSpan.ofMs(entry.getAgeUs() / 1000.0);
      run = new ProcessRun(entry.getRun(), entry.getAgeUs() == 0 ? null : net.now().minus(age));
      runs.put(entry.getUnit(), run);
    }
    boolean sameRun = known != null && known.sameRun(entry.getBuild(), run.started);
    boolean moved =
        sameRun
            && known.door != null
            && !((EndpointConnectionPool) known.door).isFor(address, entry.getName());
    if (known != null && (!sameRun || moved)) {
      closePool(known);
    }
    if (moved) {
      ledger.removed(known.id);
    }
    boolean mayPlace = permits.mayPlace(entry.getZone(), entry.getCell());
    Endpoint endpoint =
        ledger.listed(
            entry.getUnit(),
            entry.getZone(),
            entry.getKind(),
            entry.getCell(),
            entry.getBuild(),
            run.started,
            entry.getWeight(),
            entry.getHealth() == Health.READY && mayPlace);
    if (known != null && known != endpoint) {
      removeFromRack(known);
    }
    if (entry.getHealth() == Health.READY) {
      addToRack(endpoint, entry, mayPlace);
    } else {
      removeFromRack(endpoint);
    }
    if (endpoint.door == null) {
      endpoint.door =
          new EndpointConnectionPool(
              endpoint, address, entry.getName(), config, random, poolListener);
    }
    if (entry.getHealth() == Health.DRAINING) {
      closePool(endpoint);
    }
    onEndpointChanged.accept(endpoint);
  }

  private void addToRack(Endpoint endpoint, Entry entry, boolean mayPlace) {
    RackEndpoints rack =
        racksByKey.computeIfAbsent(
            RackSnapshot.key(endpoint.zone, endpoint.cell), any -> new RackEndpoints(endpoint));
    rack.ready.put(endpoint.id, entry);
    if (rack.mayPlace != null && rack.mayPlace != mayPlace) {
      rack.mayPlace = null;
    }
  }

  private void removeFromRack(Endpoint endpoint) {
    int key = RackSnapshot.key(endpoint.zone, endpoint.cell);
    RackEndpoints rack = racksByKey.get(key);
    if (rack == null) {
      return;
    }
    rack.ready.remove(endpoint.id);
    if (rack.ready.isEmpty()) {
      racksByKey.remove(key);
    }
  }

  /**
   * Units of a rack that must be left are told as such that drain, and once it may be used again as
   * listed: the module knows no racks.
   */
  void permitsChanged() {
    List<RackEndpoints> turned = new ArrayList<>();
    for (RackEndpoints rack : racksByKey.values()) {
      boolean mayPlace = permits.mayPlace(rack.zone, rack.cell);
      if (rack.mayPlace != null && rack.mayPlace == mayPlace) {
        continue;
      }
      rack.mayPlace = mayPlace;
      turned.add(rack);
    }
    for (RackEndpoints rack : turned) {
      boolean mayPlace = rack.mayPlace;
      for (Entry entry : new ArrayList<>(rack.ready.values())) {
        if (ledger.unit(entry.getUnit()).ready() != mayPlace) {
          apply(entry);
        }
      }
    }
  }

  private void remove(Endpoint endpoint) {
    runs.remove(endpoint.id);
    removeFromRack(endpoint);
    ledger.removed(endpoint.id);
    closePool(endpoint);
    onEndpointChanged.accept(endpoint);
  }

  private static void closePool(Endpoint endpoint) {
    if (endpoint.door != null) {
      ((EndpointConnectionPool) endpoint.door).close();
    }
  }

  @Override
  public void closed(String why) {
    if (!stopping) {
      events.warn(EventLog.Event.ROSTER_LOST, why + "; the units listed last hold");
    }
    listFailed();
  }
}
