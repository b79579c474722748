package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.Address;
import sprucerock.config.RelayConfig;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
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

/**
 * The connection to the discovery service, which lists the endpoints: takes over whole lists and
 * changes, and gives each endpoint its pool of connections. While it is away, the list holds. For
 * the event loop's thread.
 */
final class DiscoveryConnection implements FrameListener {
  /** A run of an endpoint's process by its number, and when it started; null: it didn't say. */
  private record ProcessRun(long number, Timestamp started) {}

  private static final int MAX_BUILD = 0xffff;
  private static final double MAX_WEIGHT = 1e6;

  private final Net net;
  private final RelayConfig config;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;
  private final EndpointConnectionPool.PoolListener poolListener;
  private final DeterministicRandom random;
  private final Runnable onListFailed;
  private final ReconnectingConnection connection;
  private final Map<Long, ProcessRun> runs = new HashMap<>();

  private final RackIndex rackIndex = new RackIndex();

  private final RackPermits permits;
  private final Runnable onList;
  private final Consumer<Endpoint> onEndpointChanged;
  private boolean hasList;
  private boolean isAwaitingList;
  private boolean stopping;

  DiscoveryConnection(
      Net net,
      RelayConfig config,
      Hello localHello,
      FrameTap tap,
      RequestTracker requestTracker,
      EventLog eventLog,
      DeterministicRandom random,
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
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
    this.poolListener = owner;
    this.random = random;
    this.onListFailed = listFailed;
    connection =
        new ReconnectingConnection(
            net, config.discovery, localHello, config.connectionLimits, tap, random, this);
  }

  void start() {
    connection.connect();
  }

  void stop() {
    stopping = true;
    connection.stop();
  }

  /** Whether a whole list has come since the start. */
  boolean hasList() {
    return hasList;
  }

  /** Asks for the list and its changes, for the policy; without a connection it is told so. */
  void subscribe() {
    if (connection.send(
        FrameKind.WATCH, Watch.getDefaultInstance(), FrameClientConnection.NO_BODY)) {
      isAwaitingList = true;
    } else {
      net.atTurnsEnd(onListFailed);
    }
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    if (other.getRole() != Role.ROSTER) {
      connection.cut("no roster answers there");
      return;
    }
    eventLog.info(EventLog.Event.ROSTER_BACK, "linked to the roster at " + config.discovery);
    if (!config.settings.pollsEndpointList) {
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
      eventLog.warn(
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
      for (Endpoint endpoint : requestTracker.endpoints()) {
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
    Endpoint known = requestTracker.endpoint(entry.getUnit());
    if (entry.getHealth() == Health.GONE) {
      if (known != null) {
        remove(known);
      }
      return;
    }
    InetSocketAddress address = Address.of(entry.getHost(), entry.getPort());
    String problem = problemOf(entry, known, address);
    if (problem != null) {
      eventLog.warn(
          EventLog.Event.LISTING_REFUSED,
          "unit "
              + Long.toUnsignedString(entry.getUnit())
              + " has "
              + problem
              + "; the entry is left out");
      return;
    }
    ProcessRun run = runOf(entry);
    boolean sameRun = known != null && known.isSameProcess(entry.getBuild(), run.started);
    boolean moved =
        sameRun
            && known.attachment != null
            && !((EndpointConnectionPool) known.attachment).isFor(address, entry.getName());
    if (known != null && (!sameRun || moved)) {
      closePool(known);
    }
    if (moved) {
      requestTracker.endpointRemoved(known.id);
    }
    list(entry, known, address, run.started);
  }

  private void list(Entry entry, Endpoint known, InetSocketAddress address, Timestamp started) {
    boolean mayPlace = permits.mayPlace(entry.getZone(), entry.getCell());
    Endpoint endpoint =
        requestTracker.endpointListed(
            entry.getUnit(),
            entry.getZone(),
            entry.getKind(),
            entry.getCell(),
            entry.getBuild(),
            started,
            entry.getWeight(),
            entry.getHealth() == Health.READY && mayPlace);
    if (known != null && known != endpoint) {
      rackIndex.remove(known);
    }
    if (entry.getHealth() == Health.READY) {
      rackIndex.add(endpoint, entry, mayPlace);
    } else {
      rackIndex.remove(endpoint);
    }
    if (endpoint.attachment == null) {
      endpoint.attachment =
          new EndpointConnectionPool(
              endpoint, address, entry.getName(), config, random, poolListener);
    }
    if (entry.getHealth() == Health.DRAINING) {
      closePool(endpoint);
    }
    onEndpointChanged.accept(endpoint);
  }

  /** What is wrong with an entry, for the log; null where it can be taken. */
  private String problemOf(Entry entry, Endpoint known, InetSocketAddress address) {
    if (entry.getHealth() != Health.READY && entry.getHealth() != Health.DRAINING) {
      return "no known health";
    }
    if (address == null || entry.getPort() == 0) {
      return "no address to connect to";
    }
    if (Integer.compareUnsigned(entry.getBuild(), MAX_BUILD) > 0) {
      return "a build over 65535";
    }
    if (!(entry.getWeight() > 0) || entry.getWeight() > MAX_WEIGHT) {
      return "a weight that is not above 0";
    }
    if (known == null && runs.size() >= config.maxEndpoints) {
      return "more units than limits/units allows";
    }
    if (entry.getUnit() >>> 32 != 0) {
      return "an id of 2^32 or more";
    }
    return config.tlsSetup != null && config.tlsToEndpoints && entry.getName().isEmpty()
        ? "no name, by which it could be proven"
        : null;
  }

  /**
   * The run of the endpoint's process: its age is told late by the way here, so the first holds.
   */
  private ProcessRun runOf(Entry entry) {
    ProcessRun run = runs.get(entry.getUnit());
    if (run == null || run.number != entry.getRun()) {
      TimeSpan age = TimeSpan.ofMs(entry.getAgeUs() / 1000.0);
      run = new ProcessRun(entry.getRun(), entry.getAgeUs() == 0 ? null : net.now().minus(age));
      runs.put(entry.getUnit(), run);
    }
    return run;
  }

  /**
   * Tells the policy, which knows no racks, of endpoints whose rack's permit has changed: as
   * draining where it must be left, as listed where it may be used again.
   */
  void permitsChanged() {
    for (RackIndex.RackEndpoints rack : rackIndex.update(permits)) {
      boolean mayPlace = rack.mayPlace();
      for (Entry entry : rack.entries()) {
        if (requestTracker.endpoint(entry.getUnit()).ready() != mayPlace) {
          apply(entry);
        }
      }
    }
  }

  private void remove(Endpoint endpoint) {
    runs.remove(endpoint.id);
    rackIndex.remove(endpoint);
    requestTracker.endpointRemoved(endpoint.id);
    closePool(endpoint);
    onEndpointChanged.accept(endpoint);
  }

  private static void closePool(Endpoint endpoint) {
    if (endpoint.attachment != null) {
      ((EndpointConnectionPool) endpoint.attachment).close();
    }
  }

  @Override
  public void closed(String why) {
    if (!stopping) {
      eventLog.warn(EventLog.Event.ROSTER_LOST, why + "; the units listed last hold");
    }
    listFailed();
  }
}
