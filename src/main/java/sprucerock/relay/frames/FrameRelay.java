package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.lease.FencingTokenRegistry;
import sprucerock.lease.GrantorListener;
import sprucerock.lease.LeaseManager;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Verdict;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Refusal;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Fitter;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Seen;
import sprucerock.transport.wire.v1.Tallied;
import sprucerock.transport.wire.v1.Worth;

/**
 * The router: tells the module what happens on its links and carries out what it chooses. Where a
 * limit is reached it has the answers that the configuration states, and none else; it chooses no
 * unit, no further pick and no vote. All of it runs on the loop's thread.
 */
public final class FrameRelay extends RelayEngine
    implements EndpointConnectionPool.PoolListener,
        HealthChecker.Owner,
        RackPermits.PermitListener,
        HardwareReporter.Owner {
  // rows of figures; what is beyond counts as other. A monitor bears some thousand series a relay
  private static final int BUILDS = 16;
  private static final int UNITS = 1024;
  private static final int CUSTOMERS = 64;
  private static final TimeSpan CHECK = TimeSpan.ofMs(1000);
  // some ten microseconds at a thousand units
  private static final TimeSpan FIGURES = TimeSpan.ofMs(10_000);
  // seldom enough for a log, often enough for a first look

  private final RelayConfig config;
  private final FrameTap tap;
  private final MethodAccounts accounts;
  private final Hello mine;
  private final DeterministicRandom chance;
  private final TlsConnections secured;
  private final PeerConnections peers;
  private final ControllerConnection desk;
  private final DiscoveryConnection roster;
  private final RackPermits racks;
  private final HardwareReporter fitting;
  // null: it takes no part in that
  private final LeaseManager leases;
  // null: none are configured
  private GrantorListener granter;
  private final FencingTokenRegistry fence = new FencingTokenRegistry();
  private final Set<FrameClientConnection> clients = new LinkedHashSet<>();
  private Net.Listener listener;
  private HealthChecker looks;
  // null: it does not stand for that lease
  private boolean taking;
  private boolean finishing;
  private volatile Long tlsDaysLeft;
  private volatile boolean tlsBroken;
  private volatile boolean hasMetricsDrift;
  // written by the loop, read by whoever scrapes
  private Runnable finished;

  /** The configuration as it was read last: what the schema marks as live is looked up here. */
  private RelayConfig live;

  /** Nothing is opened yet, see {@link #start}. */
  public FrameRelay(RelayConfig config, Net net, FrameTap tap) {
    super(
        net,
        config.settings,
        new RequestTracker(
            config.settings,
            new MethodAccounts(
                config.methodNames,
                new MethodAccounts.Capacity(
                    BUILDS, Math.min(config.maxEndpoints, UNITS), CUSTOMERS))),
        new EventLog(net));
    this.config = config;
    live = config;
    this.tap = tap;
    accounts = requestTracker.accounts();
    // the doors' dice, apart from the module's, whose draws must not depend on links
    chance = new DeterministicRandom(config.seed ^ 0x5bd1e995L);
    mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(config.settings.index)
            .setName(config.name)
            .build();
    secured = new TlsConnections(config, net, eventLog, accounts);
    peers = new PeerConnections(net, config, mine, tap, eventLog, chance, accounts, secured);
    racks = new RackPermits(net, config, eventLog, chance, this);
    desk =
        new ControllerConnection(
            net,
            config,
            mine,
            tap,
            requestTracker,
            eventLog,
            chance,
            reply -> policy.voteAnswered(reply),
            promised -> racks.promiseReceived(promised),
            this::learnt);
    roster =
        new DiscoveryConnection(
            net,
            config,
            mine,
            tap,
            requestTracker,
            eventLog,
            chance,
            this,
            racks,
            () -> policy.endpointListFailed(),
            this::learnt,
            this::unitChanged);
    LeaseManager.Log say =
        new LeaseManager.Log() {
          @Override
          public void info(String what) {
            eventLog.info(EventLog.Event.LEASE, what);
          }

          @Override
          public void warn(String what) {
            eventLog.warn(EventLog.Event.GRANTER_LOST, what);
          }
        };
    leases =
        config.leases == null
            ? null
            : new LeaseManager(
                net,
                config.leases,
                config.name,
                LeaseManager.newIncarnation(),
                tap,
                System::currentTimeMillis,
                say);
    boolean fits = config.leases != null && config.leases.hardwareFitInterval() != null;
    fitting =
        !fits
            ? null
            : new HardwareReporter(
                net,
                config.settings.index,
                config.leases.hardwareFitInterval(),
                System::currentTimeMillis,
                build -> build < requestTracker.newestRolloutBuild(),
                eventLog,
                this);
    if (config.leases != null && config.leases.grantorNumber() >= 0) {
      granter = new GrantorListener(net, config.leases, config.name, tap, say);
    }
  }

  /**
   * Listens and links up, without TLS. On the loop's thread.
   *
   * @throws IOException if the address to listen at can't be had
   */
  public void start(PolicyFactory maker) throws IOException {
    try {
      start(maker, null);
    } catch (Material.BadMaterialException e) {
      throw new IOException(e.getMessage());
    }
  }

  /**
   * Listens and links up. On the loop's thread.
   *
   * @throws IOException if the address to listen at can't be had
   * @throws Material.BadMaterialException if TLS is configured, and its files can't be used
   */
  public void start(PolicyFactory maker, Aside aside)
      throws IOException, Material.BadMaterialException {
    secured.start(aside, this::moveUnits);
    createPolicy(maker, config.seed);
    listener =
        net.bind(
            config.listen,
            config.maxClientConnections,
            config.connectionLimits.maxUnsentBytes(),
            () -> {
              FrameClientConnection client = new FrameClientConnection(this);
              clients.add(client);
              return secured.taken(
                  client, new FrameConnection(net, mine, config.connectionLimits, tap, client));
            });
    roster.start();
    desk.start();
    racks.start();
    if (granter != null) {
      granter.start();
    }
    if (leases != null) {
      leases.start();
      if (fitting != null) {
        fitting.start(aside);
        leases.campaign(HardwareReporter.LEASE, fitting);
      }
      if (config.leases.healthCheckInterval() != null) {
        looks =
            new HealthChecker(
                net, requestTracker, eventLog, config.leases.healthCheckInterval(), chance, this);
        leases.campaign(HealthChecker.LEASE, looks);
      }
    }
    net.at(
        net.now().plus(config.discoveryTimeout),
        () -> letClientsIn("without list or news, which did not come in time"));
    net.at(net.now().plus(FIGURES), this::figures);
    checkFigures();
  }

  /**
   * A relay that has just started knows no unit and could only push back what comes: so clients
   * wait in the system's queue until the first list and news are there, or for as long as
   * configured.
   */
  private void letClientsIn(String how) {
    if (taking || finishing) {
      return;
    }
    taking = true;
    listener.startAccepting();
    eventLog.info(
        EventLog.Event.STARTED,
        "relay "
            + config.name
            + ", number "
            + config.settings.index
            + " of "
            + config.settings.relays
            + ", listens at "
            + listener.address()
            + ", "
            + how);
  }

  /** The first list has come, or the first news. */
  void learnt() {
    if (roster.listed() && desk.hasNews() && racks.mayHavePermits()) {
      letClientsIn("with list and news");
    }
  }

  private void unitChanged(Endpoint endpoint) {
    if (looks != null) {
      looks.listed(endpoint);
    }
  }

  private void moveUnits(TimeSpan within) {
    for (Endpoint endpoint : requestTracker.endpoints()) {
      if (endpoint.attachment != null) {
        ((EndpointConnectionPool) endpoint.attachment).move(within);
      }
    }
  }

  boolean proven(int relay, TlsConnection by) {
    return secured.provenRelay(relay, by);
  }

  /** Days until the own certificate ends; null without TLS. From any thread, as it was last. */
  public Long tlsDaysLeft() {
    return tlsDaysLeft;
  }

  /** Whether the TLS files as they are now can't be used, so that older ones are. */
  public boolean tlsBroken() {
    return tlsBroken;
  }

  /** Says that something is the matter with the file of figures, which never stops routing. */
  public void metricsFileProblem(String what) {
    eventLog.warn(EventLog.Event.FIGURES_FILE, what);
  }

  /** Some sum did not hold since this start; it stays so until the next. */
  public boolean hasMetricsDrift() {
    return hasMetricsDrift;
  }

  private void checkFigures() {
    if (secured.tls() != null) {
      tlsDaysLeft = secured.tls().daysLeft();
      tlsBroken = secured.tls().broken();
    }
    if (accounts.postingsDisabled()) {
      return;
    }
    List<MethodAccounts.Imbalance> drifts = accounts.check();
    long open = accounts.sum(accounts.rpcs, accounts.rpcs.pending());
    hasMetricsDrift |= !drifts.isEmpty() || open != requestTracker.openRpcs();
    if (open != requestTracker.openRpcs()) {
      eventLog.error(
          EventLog.Event.DRIFT,
          "rpcs open: " + open + " by the accounts, " + requestTracker.openRpcs() + " by count");
    }
    if (!drifts.isEmpty()) {
      eventLog.error(
          EventLog.Event.DRIFT,
          drifts.get(0) + (drifts.size() > 1 ? "; and " + (drifts.size() - 1) + " more" : ""));
    }
    if (!finishing) {
      net.at(net.now().plus(CHECK), this::checkFigures);
    }
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  public RequestTracker requestTracker() {
    return requestTracker;
  }

  /**
   * No new RPC is taken; each open one gets its one answer, by its deadline or when the configured
   * time is over. Then {@code done} runs.
   */
  public void shutdown(Runnable done) {
    if (finishing) {
      return;
    }
    finishing = true;
    finished = done;
    if (leases != null) {
      leases.stop();
      // before its last RPCs end: others may do the fleet's tasks meanwhile
    }
    listener.close();
    eventLog.info(EventLog.Event.FINISHING, requestTracker.openRpcs() + " RPCs are open");
    net.at(net.now().plus(live.shutdownTimeout), this::abortOpen);
    lookWhetherDone();
  }

  /** Settings that were read anew, of which only such differ as the schema marks as live. */
  public void reload(RelayConfig anew) {
    live = anew;
    eventLog.info(
        EventLog.Event.SETTINGS,
        "taken over: limits/open "
            + anew.maxOpenRequests
            + ", limits/open-per-client "
            + anew.maxOpenRequestsPerClient
            + ", limits/finish-within "
            + anew.shutdownTimeout.ms()
            + "ms");
  }

  /** Settings that were read anew can't be taken over; what holds goes on. */
  public void reloadFailed(String why) {
    eventLog.error(EventLog.Event.SETTINGS, why + "; what was read before holds");
  }

  private void abortOpen() {
    // the time that operators allow is over: an abort promises nothing, so it is always true
    for (FrameClientConnection client : Set.copyOf(clients)) {
      client.abortAll();
    }
    end();
  }

  private void lookWhetherDone() {
    if (requestTracker.openRpcs() == 0) {
      end();
    } else {
      net.at(net.now().plus(TimeSpan.ofMs(5)), this::lookWhetherDone);
    }
  }

  private void end() {
    if (finished == null) {
      return;
    }
    Runnable done = finished;
    finished = null;
    racks.stop();
    if (fitting != null) {
      fitting.stop();
    }
    desk.stop();
    roster.stop();
    peers.stop();
    if (granter != null) {
      granter.stop();
    }
    secured.stop();
    for (FrameClientConnection client : clients) {
      client.finish();
    }
    figures();
    eventLog.info(EventLog.Event.FINISHED, "every RPC taken has its answer");
    net.at(net.now().plus(TimeSpan.ofMs(100)), done);
    // the last answers go out in this turn
  }

  private void figures() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < accounts.rpcs.columns().size(); i++) {
      text.append(accounts.rpcs.columns().get(i))
          .append(' ')
          .append(accounts.sum(accounts.rpcs, i))
          .append(' ');
    }
    eventLog.info(
        EventLog.Event.FIGURES,
        text
            + "picks "
            + accounts.sum(accounts.attempts, 0)
            + " turned-away "
            + accounts.value(accounts.calls, 0, 2)
            + " messages-dropped "
            + accounts.value(accounts.messages, 0, 2)
            + " units "
            + requestTracker.endpoints().size()
            + " clients "
            + clients.size());
    if (!finishing) {
      net.at(net.now().plus(FIGURES), this::figures);
    }
  }

  // What comes in from clients and peers.

  /**
   * An RPC: turned away unseen where a limit is reached, which is safe as it has not run; else the
   * module's.
   */
  void called(FrameRequest asked, Call call) {
    if (call.getMethod() < 0 || call.getMethod() >= config.settings.methods.size()) {
      accounts.postNew(accounts.calls, 0, 3);
      asked.client.answer(asked, Ending.ABORTED, 0, 0, FrameClientConnection.NO_BODY);
      eventLog.warn(
          EventLog.Event.CLIENT_REFUSED,
          "an RPC of method "
              + call.getMethod()
              + ", there are "
              + config.settings.methods.size()
              + "; it was aborted");
      return;
    }
    String full =
        config.rejectsOnMetricsDrift && hasMetricsDrift
            ? "figures drift, and figures/strict is set"
            : finishing
                ? "the relay is finishing"
                : requestTracker.openRpcs() >= live.maxOpenRequests
                    ? "limits/open is reached"
                    : asked.client.open() > live.maxOpenRequestsPerClient
                        ? "limits/open-per-client is reached"
                        : null;
    if (full != null) {
      accounts.postNew(accounts.calls, 0, 2);
      asked.client.answer(asked, Ending.PUSHED_BACK, 0, 0, FrameClientConnection.NO_BODY);
      eventLog.warn(EventLog.Event.TURNED_AWAY, full);
      return;
    }
    Timestamp now = net.now();
    // an unsigned number on the wire: more than a day counts as a day
    long dayUs = 86_400_000_000L;
    double left =
        (Long.compareUnsigned(call.getLeftUs(), dayUs) > 0 ? dayUs : call.getLeftUs()) / 1000.0;
    TimeSpan hint = call.getHintUs() <= 0 ? null : TimeSpan.ofMs(call.getHintUs() / 1000.0);
    Timestamp deadline = now.plus(TimeSpan.ofMs(left));
    int tenant = call.getCustomer() < 0 ? Integer.MAX_VALUE : call.getCustomer();
    // unsigned on the wire
    requestArrived(
        asked,
        config.settings.methods.get(call.getMethod()),
        tenant,
        call.getKey(),
        deadline,
        hint);
  }

  void flagged(long endpoint, long agoUs) {
    requestTracker.flagged(endpoint, TimeSpan.ofMs(Math.max(0, agoUs) / 1000.0), net.now());
  }

  void peerTold(int sender, byte[] contents) {
    if (sender >= 0 && sender < config.settings.relays) {
      policy.peerMessageReceived(sender, contents);
    }
  }

  /**
   * Another relay looked at a unit; who looks under a lower number than was heard stood still
   * meanwhile.
   */
  void peerSaw(Seen seen) {
    if (fence.admits(HealthChecker.LEASE, seen.getNumber())) {
      requestTracker.healthChecked(seen.getUnit(), seen.getAnswered());
    }
  }

  /** What another relay says of hardware; false where it is about something else. */
  boolean aboutHardware(int relay, FrameKind kind, MessageLite head) {
    if (fitting == null
        || kind != FrameKind.FITTER && kind != FrameKind.TALLIED && kind != FrameKind.WORTH) {
      return false;
    }
    if (kind == FrameKind.FITTER) {
      fitting.fitter(relay, (Fitter) head);
    } else if (kind == FrameKind.TALLIED) {
      fitting.tallied(relay, (Tallied) head);
    } else {
      fitting.worth((Worth) head);
    }
    return true;
  }

  @Override
  public void tellFitter(Fitter fitter) {
    peers.tellAll(FrameKind.FITTER, fitter);
  }

  @Override
  public void tellTally(int relay, Tallied tally) {
    peers.tell(relay, FrameKind.TALLIED, tally);
  }

  @Override
  public void tellWorth(Worth worth) {
    peers.tellAll(FrameKind.WORTH, worth);
    desk.tell(worth);
  }

  @Override
  public void attemptEnded(
      sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    boolean first = !exchange.hasEnded();
    super.attemptEnded(exchange, outcome, body);
    if (first && outcome == AttemptOutcome.OK && fitting != null) {
      fitting.ended(exchange.attempt(), ((FrameExchange) exchange).others);
    }
  }

  @Override
  public void look(Endpoint endpoint, FrameListener user, HealthChecker.LinkTaker taker) {
    FrameConnection connection = new FrameConnection(net, mine, config.connectionLimits, tap, user);
    taker.take(connection);
    EndpointConnectionPool door = (EndpointConnectionPool) endpoint.attachment;
    secured.toUnit(endpoint.id, door.address(), door.name(), connection);
  }

  @Override
  public void seen(long endpoint, boolean answered, long number) {
    Seen seen = Seen.newBuilder().setUnit(endpoint).setAnswered(answered).setNumber(number).build();
    peerSaw(seen);
    peers.seen(seen);
  }

  /**
   * Leases that were taken, lost and are held since the start; null where none are configured. From
   * any thread.
   */
  public LeaseManager.Counts leases() {
    return leases == null ? null : leases.counts();
  }

  void gone(FrameClientConnection client, boolean peer, String why) {
    clients.remove(client);
    if (!why.equals("closed by the other side") && !finishing) {
      eventLog.warn(
          EventLog.Event.CLIENT_CUT,
          (peer ? "a relay's" : "a client's") + " connection ended: " + why);
    }
  }

  // What the units' connections tell.

  @Override
  public void open(EndpointConnection connection, InetSocketAddress to, String name) {
    connection.connection =
        new FrameConnection(net, mine, config.connectionLimits, tap, connection);
    secured.toUnit(connection.unit().id, to, name, connection.connection);
  }

  @Override
  public void refused(Endpoint endpoint, String why) {
    boolean misnamed = why.startsWith("TLS: " + Refusal.WRONG_NAME.words());
    eventLog.warn(
        misnamed ? EventLog.Event.UNIT_MISNAMED : EventLog.Event.UNIT_REFUSED,
        "unit " + endpoint.id + ": " + why);
  }

  @Override
  public void late(AttemptOutcome outcome) {
    requestTracker.lateResult(outcome);
  }

  @Override
  public Timer at(Timestamp when, Runnable what) {
    return net.at(when, what);
  }

  @Override
  public void lost(Endpoint endpoint, String why) {
    eventLog.warn(EventLog.Event.UNIT_LOST, "unit " + endpoint.id + ": " + why);
  }

  @Override
  public void misnamed(Endpoint endpoint, Hello other) {
    eventLog.warn(
        EventLog.Event.UNIT_MISNAMED,
        "unit "
            + endpoint.id
            + " was connected to, "
            + other.getRole()
            + " "
            + Integer.toUnsignedString(other.getNumber())
            + " answered");
  }

  @Override
  protected FrameExchange newExchange(Attempt attempt, Timestamp ends) {
    return new FrameExchange(attempt, ends);
  }

  @Override
  public boolean requestPromise(PromiseAsk ask) {
    return desk.requestPromise(ask);
  }

  @Override
  public void firstPromiseReceived() {
    learnt();
  }

  @Override
  public void permitsChanged() {
    roster.racksChanged();
  }

  @Override
  protected void sendToEndpoint(sprucerock.relay.engine.AttemptExchange exchange) {
    // guards against a process that stood still between the module's choice and now; the pick never
    // ran
    if (!racks.mayStillPlace(exchange.attempt().endpoint)) {
      attemptEndsAfterTurn((FrameExchange) exchange, AttemptOutcome.NOT_CONNECTED);
    } else {
      connections(exchange).send((FrameExchange) exchange);
    }
  }

  @Override
  protected boolean abandon(sprucerock.relay.engine.AttemptExchange exchange, boolean told) {
    return connections(exchange).giveUp((FrameExchange) exchange, told);
  }

  private static EndpointConnectionPool connections(
      sprucerock.relay.engine.AttemptExchange exchange) {
    return (EndpointConnectionPool) exchange.attempt().endpoint.attachment;
  }

  @Override
  protected void answer(
      sprucerock.relay.engine.Request asked,
      sprucerock.relay.engine.RequestOutcome ending,
      TimeSpan wait,
      long endpoint,
      byte[] body) {
    Ending told =
        switch (ending) {
          case OK -> Ending.OK;
          case REJECTED -> Ending.PUSHED_BACK;
          case ABORTED -> Ending.ABORTED;
        };
    ((FrameRequest) asked)
        .client.answer((FrameRequest) asked, told, (long) (wait.ms() * 1000), endpoint, body);
  }

  // What the module does.

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    desk.vote(build, stage, verdict);
  }

  @Override
  public void sendToPeers(byte[] contents) {
    peers.tellAll(contents);
  }

  @Override
  public void sendToPeer(int relay, byte[] contents) {
    peers.tell(relay, contents);
  }

  @Override
  public void subscribe() {
    roster.subscribe();
  }
}
