package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.relay.engine.EventLog;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Seen;

/**
 * The relay's side towards clients and peers: listens, holds the connections that were accepted,
 * and admits requests within the configured limits. For the event loop's thread.
 */
final class ClientConnections {
  private final FrameRelay relay;
  private final Net net;
  private final RelayConfig config;
  private final Hello localHello;
  private final FrameTap tap;
  private final TlsConnections tlsConnections;
  private final FleetTasks fleetTasks;
  private final MemoryLimit requestMemory;
  private final RequestTracker requestTracker;
  private final MethodAccounts accounts;
  private final EventLog eventLog;
  private final BooleanSupplier isShuttingDown;
  private final Set<FrameClientConnection> connections = new LinkedHashSet<>();
  private MetricsMonitor metricsMonitor;
  private Net.Listener listener;
  private boolean isAccepting;

  /** The configuration as read last: limits that the schema marks as live are looked up here. */
  private RelayConfig live;

  ClientConnections(
      FrameRelay relay,
      Net net,
      RelayConfig config,
      Hello localHello,
      FrameTap tap,
      TlsConnections tlsConnections,
      FleetTasks fleetTasks,
      MemoryLimit requestMemory,
      RequestTracker requestTracker,
      EventLog eventLog,
      BooleanSupplier isShuttingDown) {
    this.relay = relay;
    this.net = net;
    this.config = config;
    this.localHello = localHello;
    this.tap = tap;
    this.tlsConnections = tlsConnections;
    this.fleetTasks = fleetTasks;
    this.requestMemory = requestMemory;
    this.requestTracker = requestTracker;
    this.accounts = requestTracker.accounts();
    this.eventLog = eventLog;
    this.isShuttingDown = isShuttingDown;
    live = config;
  }

  /**
   * Has the system queue connections, which are accepted from {@link #accept} on.
   *
   * @throws IOException if the address can't be had
   */
  void bind(MetricsMonitor monitor) throws IOException {
    metricsMonitor = monitor;
    listener =
        net.bind(
            config.listen,
            config.maxClientConnections,
            config.connectionLimits.maxUnsentBytes(),
            () -> {
              FrameClientConnection client = new FrameClientConnection(this);
              connections.add(client);
              return tlsConnections.accepted(
                  client,
                  new FrameConnection(
                      net, localHello, config.connectionLimits, requestMemory, tap, client));
            });
  }

  /**
   * Accepts what was queued and what comes. A relay that has just started knows no endpoint and
   * could only reject requests: so clients wait in the system's queue until the first list and news
   * are there, or for as long as configured.
   *
   * @param how for the log: with or without list and news
   */
  void accept(String how) {
    if (isAccepting || isShuttingDown.getAsBoolean()) {
      return;
    }
    isAccepting = true;
    listener.startAccepting();
    eventLog.info(
        EventLog.Event.STARTED,
        "relay "
            + config.name
            + ", number "
            + config.settings.relayIndex
            + " of "
            + config.settings.relayCount
            + ", listens at "
            + listener.address()
            + ", "
            + how);
  }

  InetSocketAddress address() {
    return listener.address();
  }

  int size() {
    return connections.size();
  }

  /** Limits hold as configured here from now on. */
  void reload(RelayConfig reread) {
    live = reread;
  }

  void stopAccepting() {
    listener.close();
  }

  void abortOpenRequests() {
    for (FrameClientConnection client : Set.copyOf(connections)) {
      client.abortAll();
    }
  }

  void finish() {
    for (FrameClientConnection client : connections) {
      client.finish();
    }
  }

  /**
   * Hands a request to the policy, unless a limit is reached: then it is rejected unseen, which is
   * safe as it has not run.
   */
  void requestReceived(FrameRequest request, Call call) {
    if (call.getMethod() < 0 || call.getMethod() >= config.settings.methods.size()) {
      accounts.postNew(accounts.calls, 0, 3);
      request.client.answer(request, Ending.ABORTED, 0, 0, FrameClientConnection.NO_BODY);
      eventLog.warn(
          EventLog.Event.CLIENT_REFUSED,
          "an RPC of method "
              + call.getMethod()
              + ", there are "
              + config.settings.methods.size()
              + "; it was aborted");
      return;
    }
    String limit = limitReached(request.client);
    if (limit != null) {
      reject(request, limit);
      return;
    }
    if (!requestMemory.tryHold(request.body.length)) {
      rejectForMemory(request);
      return;
    }
    request.heldBytes = request.body.length;
    relay.requestAdmitted(request, call);
  }

  /** Rejects a request for whose body there is no memory: it has not run. */
  void rejectForMemory(FrameRequest request) {
    reject(request, "the memory for open requests is full");
  }

  private void reject(FrameRequest request, String limit) {
    accounts.postNew(accounts.calls, 0, 2);
    request.client.answer(request, Ending.PUSHED_BACK, 0, 0, FrameClientConnection.NO_BODY);
    eventLog.warn(EventLog.Event.TURNED_AWAY, limit);
  }

  /** A request's body is not needed any more. */
  void requestReleased(int heldBytes) {
    requestMemory.release(heldBytes);
  }

  /** For the log, why a request can't be admitted; null where it can. */
  private String limitReached(FrameClientConnection client) {
    if (config.rejectsOnMetricsDrift && metricsMonitor.hasDrift()) {
      return "figures drift, and figures/strict is set";
    }
    if (isShuttingDown.getAsBoolean()) {
      return "the relay is finishing";
    }
    if (requestTracker.openRpcs() >= live.maxOpenRequests) {
      return "limits/open is reached";
    }
    return client.openRequests() > live.maxOpenRequestsPerClient
        ? "limits/open-per-client is reached"
        : null;
  }

  void clientLeft(FrameRequest request) {
    relay.clientLeft(request);
  }

  void abort(FrameRequest request) {
    relay.abort(request);
  }

  /** A client found an endpoint's answer wrong, so many microseconds ago. */
  void endpointFlagged(long endpoint, long agoUs) {
    relay.endpointFlagged(endpoint, agoUs);
  }

  /** Whether a peer's certificate is that of the relay it says it is. */
  boolean isProvenRelay(int relayNumber, TlsConnection tls) {
    return tlsConnections.isProvenRelay(relayNumber, tls);
  }

  /** Takes a frame of another relay; false where such a frame has no place here. */
  boolean peerFrame(int sender, FrameKind kind, MessageLite head, byte[] body) {
    if (kind == FrameKind.TOLD) {
      relay.peerMessage(sender, body);
      return true;
    }
    if (kind == FrameKind.SEEN) {
      fleetTasks.probeResult((Seen) head);
      return true;
    }
    return fleetTasks.hardwareFrame(sender, kind, head);
  }

  void connectionClosed(FrameClientConnection client, boolean isPeer, String why) {
    connections.remove(client);
    if (!why.equals("closed by the other side") && !isShuttingDown.getAsBoolean()) {
      eventLog.warn(
          EventLog.Event.CLIENT_CUT,
          (isPeer ? "a relay's" : "a client's") + " connection ended: " + why);
    }
  }
}
