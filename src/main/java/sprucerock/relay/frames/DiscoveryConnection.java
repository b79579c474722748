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
  private record Run(long number, Timestamp started) {}

  /**
   * The listed units of one rack that may get work if the rack may. They are looked at when its
   * verdict turns, not at each look at racks: a look is for twenty times a second, and racks are a
   * fraction of the units.
   */
  private static final class Rack {
    private final int zone;
    private final int cell;
    private final Map<Long, Entry> ready = new TreeMap<>();

    /**
     * What the last look found, and every unit has been told; null: some unit may have been told
     * otherwise since.
     */
    private Boolean mayPlace;

    Rack(Endpoint first) {
      zone = first.zone;
      cell = first.cell;
    }
  }

  private final Net net;
  private final RelayConfig config;
  private final RequestTracker ledger;
  private final EventLog events;
  private final EndpointConnectionPool.PoolListener owner;
  private final DeterministicRandom chance;
  private final Runnable listFailed;
  private final ReconnectingConnection redial;
  private final Map<Long, Run> runs = new HashMap<>();

  /** By {@link RackSnapshot#key}; none is empty. */
  private final Map<Integer, Rack> rackOf = new TreeMap<>();

  private final RackPermits racks;
  private final Runnable learnt;
  private final Consumer<Endpoint> changed;
  private boolean listed;
  private boolean asked;
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
    this.changed = changed;
    this.racks = racks;
    this.learnt = learnt;
    this.net = net;
    this.config = config;
    this.ledger = ledger;
    this.events = events;
    this.owner = owner;
    this.chance = chance;
    this.listFailed = listFailed;
    redial =
        new ReconnectingConnection(
            net, config.discovery, mine, config.connectionLimits, tap, chance, this);
  }

  void start() {
    redial.connect();
  }

  void stop() {
    stopping = true;
    redial.stop();
  }

  /** A whole list has come since the start. */
  boolean listed() {
    return listed;
  }

  /** The module asks for the list and its changes; where the roster is away, it is told so. */
  void subscribe() {
    if (redial.send(FrameKind.WATCH, Watch.getDefaultInstance(), FrameClientConnection.NO_BODY)) {
      asked = true;
    } else {
      net.atTurnsEnd(listFailed);
    }
  }

  @Override
  public void helloReceived(FrameConnection connection, Hello other) {
    if (other.getRole() != Role.ROSTER) {
      redial.cut("no roster answers there");
      return;
    }
    events.info(EventLog.Event.ROSTER_BACK, "linked to the roster at " + config.discovery);
    if (!config.settings.pollsEndpointList) {
      redial.send(FrameKind.WATCH, Watch.getDefaultInstance(), FrameClientConnection.NO_BODY);
    }
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (kind != FrameKind.LISTING) {
      redial.cut("a roster sends no " + kind);
      return;
    }
    Listing listing = (Listing) head;
    if (listing.getForm() == Form.FAILED) {
      failed();
      return;
    }
    if (listing.getForm() != Form.WHOLE && listing.getForm() != Form.CHANGES) {
      events.warn(
          EventLog.Event.LISTING_REFUSED,
          "a listing that is neither whole nor changes; the old one holds");
      return;
    }
    asked = false;
    Set<Long> named = new HashSet<>();
    for (Entry entry : listing.getEntriesList()) {
      named.add(entry.getUnit());
      take(entry);
    }
    if (listing.getForm() == Form.WHOLE) {
      for (Endpoint endpoint : ledger.endpoints()) {
        if (!named.contains(endpoint.id)) {
          removed(endpoint);
        }
      }
      listed = true;
      learnt.run();
    }
  }

  private void failed() {
    if (!asked) {
      return;
    }
    asked = false;
    listFailed.run();
  }

  private void take(Entry entry) {
    Endpoint known = ledger.endpoint(entry.getUnit());
    if (entry.getHealth() == Health.GONE) {
      if (known != null) {
        removed(known);
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
                        : known == null && runs.size() >= config.maxEndpoints
                            ? "more units than limits/units allows"
                            : entry.getUnit() >>> 32 != 0
                                ? "an id of 2^32 or more"
                                : config.tlsSetup != null
                                        && config.tlsToEndpoints
                                        && entry.getName().isEmpty()
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
    Run run = runs.get(entry.getUnit());
    if (run == null || run.number != entry.getRun()) {
      // its age is told anew with each listing, late by the way here: the first one told is kept
      TimeSpan age = TimeSpan.ofMs(entry.getAgeUs() / 1000.0);
      run = new Run(entry.getRun(), entry.getAgeUs() == 0 ? null : net.now().minus(age));
      runs.put(entry.getUnit(), run);
    }
    boolean sameRun = known != null && known.sameRun(entry.getBuild(), run.started);
    boolean moved =
        sameRun
            && known.attachment != null
            && !((EndpointConnectionPool) known.attachment).at(address, entry.getName());
    if (known != null && (!sameRun || moved)) {
      leave(known);
    }
    if (moved) {
      ledger.endpointRemoved(known.id);
    }
    boolean mayPlace = racks.mayPlace(entry.getZone(), entry.getCell());
    Endpoint endpoint =
        ledger.endpointListed(
            entry.getUnit(),
            entry.getZone(),
            entry.getKind(),
            entry.getCell(),
            entry.getBuild(),
            run.started,
            entry.getWeight(),
            entry.getHealth() == Health.READY && mayPlace);
    if (known != null && known != endpoint) {
      forget(known);
    }
    if (entry.getHealth() == Health.READY) {
      remember(endpoint, entry, mayPlace);
    } else {
      forget(endpoint);
    }
    if (endpoint.attachment == null) {
      endpoint.attachment =
          new EndpointConnectionPool(endpoint, address, entry.getName(), config, chance, owner);
    }
    if (entry.getHealth() == Health.DRAINING) {
      leave(endpoint);
    }
    changed.accept(endpoint);
  }

  private void remember(Endpoint endpoint, Entry entry, boolean mayPlace) {
    Rack rack =
        rackOf.computeIfAbsent(
            RackSnapshot.key(endpoint.zone, endpoint.cell), any -> new Rack(endpoint));
    rack.ready.put(endpoint.id, entry);
    if (rack.mayPlace != null && rack.mayPlace != mayPlace) {
      rack.mayPlace = null;
    }
  }

  private void forget(Endpoint endpoint) {
    int key = RackSnapshot.key(endpoint.zone, endpoint.cell);
    Rack rack = rackOf.get(key);
    if (rack == null) {
      return;
    }
    rack.ready.remove(endpoint.id);
    if (rack.ready.isEmpty()) {
      rackOf.remove(key);
    }
  }

  /**
   * Units of a rack that must be left are told as such that drain, and once it may be used again as
   * listed: the module knows no racks.
   */
  void racksChanged() {
    List<Rack> turned = new ArrayList<>();
    for (Rack rack : rackOf.values()) {
      boolean mayPlace = racks.mayPlace(rack.zone, rack.cell);
      if (rack.mayPlace != null && rack.mayPlace == mayPlace) {
        continue;
      }
      rack.mayPlace = mayPlace;
      turned.add(rack);
    }
    for (Rack rack : turned) {
      boolean mayPlace = rack.mayPlace;
      for (Entry entry : new ArrayList<>(rack.ready.values())) {
        if (ledger.endpoint(entry.getUnit()).ready() != mayPlace) {
          take(entry);
        }
      }
    }
  }

  private void removed(Endpoint endpoint) {
    runs.remove(endpoint.id);
    forget(endpoint);
    ledger.endpointRemoved(endpoint.id);
    leave(endpoint);
    changed.accept(endpoint);
  }

  private static void leave(Endpoint endpoint) {
    if (endpoint.attachment != null) {
      ((EndpointConnectionPool) endpoint.attachment).leave();
    }
  }

  @Override
  public void closed(String why) {
    if (!stopping) {
      events.warn(EventLog.Event.ROSTER_LOST, why + "; the units listed last hold");
    }
    failed();
  }
}
