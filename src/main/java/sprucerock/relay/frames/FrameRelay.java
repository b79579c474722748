package sprucerock.relay.frames;

import java.io.IOException;
import java.net.InetSocketAddress;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.lease.LeaseManager;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Verdict;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.relay.engine.Request;
import sprucerock.relay.engine.RequestOutcome;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.tls.Material;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Role;

/**
 * The relay over frames: puts its parts together, tells the routing policy what happens, and
 * carries out what it decides. It chooses no endpoint, no further attempt and no vote. All of it
 * runs on the event loop's thread, but for the accessors that say otherwise.
 */
public final class FrameRelay extends RelayEngine implements RackPermits.PermitListener {
  // rows of metrics; what is beyond counts as other. A monitor bears some thousand series a relay
  private static final int MAX_BUILD_ROWS = 16;
  private static final int MAX_ENDPOINT_ROWS = 1024;
  private static final int MAX_TENANT_ROWS = 64;

  /** Sets the connections' random draws apart from the policy's, which has the seed itself. */
  private static final long CONNECTION_SEED = 0x5bd1e995L;

  /** A deadline further away than a day, which is unsigned on the wire, counts as a day. */
  private static final long MAX_DEADLINE_US = 86_400_000_000L;

  private final RelayConfig config;
  private final TlsConnections tlsConnections;
  private final PeerConnections peers;
  private final ControllerConnection controller;
  private final DiscoveryConnection discovery;
  private final RackPermits rackPermits;
  private final FleetTasks fleetTasks;
  private final ClientConnections clients;
  private final EndpointConnections endpoints;
  private final MetricsMonitor metricsMonitor;
  private final GracefulShutdown shutdown;

  /** The configuration as it was read last: what the schema marks as live is looked up here. */
  private RelayConfig live;

  /** Nothing is opened yet, see {@link #start}. */
  public FrameRelay(RelayConfig config, Net net, FrameTap tap) {
    super(net, config.settings, tracker(config), new EventLog(net));
    this.config = config;
    live = config;
    DeterministicRandom random = new DeterministicRandom(config.seed ^ CONNECTION_SEED);
    Hello hello = localHello(config);
    MethodAccounts accounts = requestTracker.accounts();
    tlsConnections = new TlsConnections(config, net, eventLog, accounts);
    peers =
        new PeerConnections(net, config, hello, tap, eventLog, random, accounts, tlsConnections);
    rackPermits = new RackPermits(net, config, eventLog, random, this);
    controller =
        new ControllerConnection(
            net,
            config,
            hello,
            tap,
            requestTracker,
            eventLog,
            random,
            reply -> policy.voteAnswered(reply),
            rackPermits::promiseReceived,
            this::stateReceived);
    endpoints =
        new EndpointConnections(
            this,
            net,
            config,
            hello,
            tap,
            tlsConnections,
            MemoryLimit.ofHeap(ANSWER_MEMORY_SHARE, net::unsentOnAccepted),
            requestTracker,
            eventLog);
    fleetTasks =
        new FleetTasks(
            net, config, tap, requestTracker, eventLog, random, peers, controller, endpoints);
    discovery =
        new DiscoveryConnection(
            net,
            config,
            hello,
            tap,
            requestTracker,
            eventLog,
            random,
            endpoints,
            rackPermits,
            () -> policy.endpointListFailed(),
            this::stateReceived,
            fleetTasks::endpointChanged);
    shutdown = new GracefulShutdown(net, requestTracker, eventLog, new ShutdownTarget());
    clients =
        new ClientConnections(
            this,
            net,
            config,
            hello,
            tap,
            tlsConnections,
            fleetTasks,
            MemoryLimit.ofHeap(REQUEST_MEMORY_SHARE, () -> 0),
            requestTracker,
            eventLog,
            shutdown::hasBegun);
    metricsMonitor =
        new MetricsMonitor(
            net, requestTracker, eventLog, tlsConnections, clients::size, shutdown::hasBegun);
  }

  private static RequestTracker tracker(RelayConfig config) {
    MethodAccounts.Capacity rows =
        new MethodAccounts.Capacity(
            MAX_BUILD_ROWS, Math.min(config.maxEndpoints, MAX_ENDPOINT_ROWS), MAX_TENANT_ROWS);
    return new RequestTracker(config.settings, new MethodAccounts(config.methodNames, rows));
  }

  private static Hello localHello(RelayConfig config) {
    return Hello.newBuilder()
        .setVersion(FrameConnection.VERSION)
        .setRole(Role.RELAY)
        .setNumber(config.settings.relayIndex)
        .setName(config.name)
        .build();
  }

  /**
   * Listens and connects, without TLS.
   *
   * @throws IOException if the address to listen at can't be had
   */
  public void start(PolicyFactory factory) throws IOException {
    try {
      start(factory, null);
    } catch (Material.BadMaterialException e) {
      throw new IOException(e.getMessage());
    }
  }

  /**
   * Listens and connects.
   *
   * @param worker for what would hold up the event loop, as handshakes and fits do
   * @throws IOException if the address to listen at can't be had
   * @throws Material.BadMaterialException if TLS is configured, and its files can't be used
   */
  public void start(PolicyFactory factory, Aside worker)
      throws IOException, Material.BadMaterialException {
    tlsConnections.start(worker, endpoints::replaceConnections);
    createPolicy(factory, config.seed);
    clients.bind(metricsMonitor);
    discovery.start();
    controller.start();
    rackPermits.start();
    fleetTasks.start(worker);
    net.at(
        net.now().plus(config.discoveryTimeout),
        () -> clients.accept("without list or news, which did not come in time"));
    metricsMonitor.start();
  }

  /** The first list, news or promise has come. */
  private void stateReceived() {
    if (discovery.hasList() && controller.hasNews() && rackPermits.mayHavePermits()) {
      clients.accept("with list and news");
    }
  }

  /** Days until the relay's own certificate ends; null without TLS. From any thread. */
  public Long tlsDaysLeft() {
    return metricsMonitor.tlsDaysLeft();
  }

  /**
   * Whether the TLS files as they are now can't be used, so that older ones are. From any thread.
   */
  public boolean tlsBroken() {
    return metricsMonitor.isTlsBroken();
  }

  /** Logs that something is wrong with the metrics file, which never stops routing. */
  public void metricsFileProblem(String what) {
    eventLog.warn(EventLog.Event.FIGURES_FILE, what);
  }

  /**
   * Whether some sum of the metrics did not agree since this start; it stays so until the next.
   * From any thread.
   */
  public boolean hasMetricsDrift() {
    return metricsMonitor.hasDrift();
  }

  /** Counts of leases since the start; null where none are configured. From any thread. */
  public LeaseManager.Counts leases() {
    return fleetTasks.leaseMetrics();
  }

  /** The address that clients connect to. */
  public InetSocketAddress address() {
    return clients.address();
  }

  /** The open requests, their accounts and the known endpoints. */
  public RequestTracker requestTracker() {
    return requestTracker;
  }

  /**
   * Takes no new request; each open one gets its one answer, by its deadline or when the configured
   * time is over. Then {@code done} runs.
   */
  public void shutdown(Runnable done) {
    shutdown.begin(live.shutdownTimeout, done);
  }

  /** Takes over settings that were read anew, of which only those differ that may be live. */
  public void reload(RelayConfig reread) {
    live = reread;
    clients.reload(reread);
    eventLog.info(
        EventLog.Event.SETTINGS,
        "taken over: limits/open "
            + reread.maxOpenRequests
            + ", limits/open-per-client "
            + reread.maxOpenRequestsPerClient
            + ", limits/finish-within "
            + reread.shutdownTimeout.ms()
            + "ms");
  }

  /** Logs that settings which were read anew can't be taken over; those before hold. */
  public void reloadFailed(String why) {
    eventLog.error(EventLog.Event.SETTINGS, why + "; what was read before holds");
  }

  // Events, from clients and peers.

  void requestAdmitted(FrameRequest request, Call call) {
    Timestamp now = net.now();
    boolean isOverDay = Long.compareUnsigned(call.getLeftUs(), MAX_DEADLINE_US) > 0;
    double leftMs = (isOverDay ? MAX_DEADLINE_US : call.getLeftUs()) / 1000.0;
    TimeSpan hint = call.getHintUs() <= 0 ? null : TimeSpan.ofMs(call.getHintUs() / 1000.0);
    Timestamp deadline = now.plus(TimeSpan.ofMs(leftMs));
    int tenant =
        call.getCustomer() < 0 ? Integer.MAX_VALUE : call.getCustomer(); // unsigned on the wire
    requestArrived(
        request,
        config.settings.methods.get(call.getMethod()),
        tenant,
        call.getKey(),
        deadline,
        hint);
  }

  void endpointFlagged(long endpoint, long agoUs) {
    requestTracker.answerReportedWrong(
        endpoint, TimeSpan.ofMs(Math.max(0, agoUs) / 1000.0), net.now());
  }

  void peerMessage(int sender, byte[] contents) {
    if (sender >= 0 && sender < config.settings.relayCount) {
      policy.peerMessageReceived(sender, contents);
    }
  }

  // The engine, over frames.

  @Override
  public void attemptEnded(AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    boolean isFirst = !exchange.hasEnded();
    super.attemptEnded(exchange, outcome, body);
    if (isFirst && outcome == AttemptOutcome.OK) {
      fleetTasks.attemptSucceeded(
          exchange.attempt(), ((FrameExchange) exchange).concurrentAttempts);
    }
  }

  @Override
  protected FrameExchange newExchange(Attempt attempt, Timestamp deadline) {
    return new FrameExchange(attempt, deadline);
  }

  @Override
  protected void sendToEndpoint(AttemptExchange exchange) {
    // guards against a process that stood still between the policy's decision and now; the attempt
    // never ran
    if (!rackPermits.mayStillPlace(exchange.attempt().endpoint)) {
      attemptEndsAfterTurn(exchange, AttemptOutcome.NOT_CONNECTED);
    } else {
      EndpointConnections.poolOf(exchange).send((FrameExchange) exchange);
    }
  }

  @Override
  protected boolean abandon(AttemptExchange exchange, boolean notifyEndpoint) {
    return EndpointConnections.poolOf(exchange).abandon((FrameExchange) exchange, notifyEndpoint);
  }

  @Override
  protected void answer(
      Request request, RequestOutcome outcome, TimeSpan retryAfter, long endpoint, byte[] body) {
    Ending ending =
        switch (outcome) {
          case OK -> Ending.OK;
          case REJECTED -> Ending.PUSHED_BACK;
          case ABORTED -> Ending.ABORTED;
        };
    FrameRequest frameRequest = (FrameRequest) request;
    long retryAfterUs = (long) (retryAfter.ms() * 1000);
    frameRequest.client.answer(frameRequest, ending, retryAfterUs, endpoint, body);
  }

  // Rack permits.

  @Override
  public boolean requestPromise(PromiseAsk ask) {
    return controller.requestPromise(ask);
  }

  @Override
  public void firstPromiseReceived() {
    stateReceived();
  }

  @Override
  public void permitsChanged() {
    discovery.permitsChanged();
  }

  // Actions, by the policy.

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    controller.vote(build, stage, verdict);
  }

  @Override
  public void sendToPeers(byte[] contents) {
    peers.sendToAll(contents);
  }

  @Override
  public void sendToPeer(int relay, byte[] contents) {
    peers.send(relay, contents);
  }

  @Override
  public void subscribe() {
    discovery.subscribe();
  }

  /** Closes the relay's parts in the order in which they depend on each other. */
  private final class ShutdownTarget implements GracefulShutdown.Target {
    @Override
    public void stopAccepting() {
      fleetTasks.releaseLeases(); // first: others may do the fleet's tasks meanwhile
      clients.stopAccepting();
    }

    @Override
    public void abortOpenRequests() {
      clients.abortOpenRequests();
    }

    @Override
    public void closeAll() {
      rackPermits.stop();
      fleetTasks.stopReporting();
      controller.stop();
      discovery.stop();
      peers.stop();
      fleetTasks.stopGranting();
      tlsConnections.stop();
      clients.finish();
      metricsMonitor.logTotals();
    }
  }
}
