package sprucerock.relay.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import sprucerock.accounting.RequestTracker;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.EndpointListState;
import sprucerock.model.Method;
import sprucerock.model.Verdict;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.relay.engine.Request;
import sprucerock.relay.engine.RequestOutcome;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Datagrams;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;

/**
 * A relay on the operators' platform: clients and units over PostgreSQL's protocol, discovery and
 * release desk over HTTP, other relays by datagrams. It chooses no unit, no further pick and no
 * vote. All of it runs on the loop's thread.
 */
public final class PlatformRelay extends RelayEngine
    implements ClientListener.Owner, PlatformConnectionPools.Owner {
  /** Descriptors for the program itself, discovery, the release API and the peers. */
  private static final int OWN_DESCRIPTORS = 40;

  /** Of all descriptors; usual clients hold a third at most, and the rest is for endpoints. */
  private static final double CLIENT_DESCRIPTOR_SHARE = 3.0 / 8;

  /** Three in four of a third: beyond it quiet clients give way before others find no place. */
  private static final double UNCROWDED_CLIENT_SHARE = 1.0 / 4;

  /**
   * From the process's start. A restarted relay has to be ready within 10 s; the rest is for the
   * virtual machine's own start and the first answer.
   */
  private static final TimeSpan MAX_TIME_TO_LISTEN = TimeSpan.ofMs(8000);

  /** Once the relay is told to end, new connections come for 400 ms at most. */
  static final TimeSpan ACCEPT_WHILE_ENDING = TimeSpan.ofMs(600);

  /** The kill comes no sooner than the longest deadline, of which so much counts ... */
  static final TimeSpan MAX_COUNTED_DEADLINE = TimeSpan.ofMs(3000);

  /** ... and this. */
  private static final TimeSpan KILL_GRACE = TimeSpan.ofMs(700);

  /**
   * Of the time to the kill, in which clients are served: what is open then has ended before it.
   */
  private static final double SERVING_SHARE = 0.6;

  /** Before the kill; a loop under load is some 50 ms late. */
  private static final TimeSpan KILL_MARGIN = TimeSpan.ofMs(250);

  private static final TimeSpan FIGURES_INTERVAL = TimeSpan.ofMs(5000);
  private static final TimeSpan REFUSALS_INTERVAL = TimeSpan.ofMs(1000);
  private static final int MAX_DATAGRAM_BYTES = 256;

  /** How late a beat comes tells how far the loop is behind. */
  private static final TimeSpan BEAT_INTERVAL = TimeSpan.ofMs(50);

  /** For a file on the own machine; the old addresses end within 1.5 s. */
  private static final TimeSpan SETTINGS_READ_INTERVAL = TimeSpan.ofMs(500);

  /** The rules forgive less. */
  private static final TimeSpan LOGGED_DELAY = TimeSpan.ofMs(300);

  private static final TimeSpan END_CHECK_INTERVAL = TimeSpan.ofMs(5);

  /** Of a command that holds memory while others wait for some: refused, it does no harm. */
  private static final TimeSpan CLIENT_STALL_LIMIT = TimeSpan.ofMs(100);

  /** The same of an answer, whose request may have run and would fail. */
  private static final TimeSpan ENDPOINT_STALL_LIMIT = TimeSpan.ofMs(1000);

  private final PlatformConfig config;
  private final DeterministicRandom chance;
  private final Runnable askSettings;
  private Timestamp askedSettings;
  private final PlatformConnectionPools endpoints;
  private final MemoryLimit commandMemory;
  private final ClientListener clients;
  private final Discovery discovery;
  private final ReleaseApiClient desk;
  private final Map<InetSocketAddress, Integer> peers = new HashMap<>();
  private Datagrams datagrams;
  private Consumer<IOException> listenFailureHandler;
  private Timestamp startedAt;
  private boolean finishing;

  /**
   * {@code unixMs}: the wall's clock now, in milliseconds of Unix time; {@code askSettings} has the
   * configuration read again, aside from the loop: what comes of it is told by {@link #reload} or
   * {@link #notReloaded}.
   */
  public PlatformRelay(PlatformConfig config, Net net, double unixMs, Runnable askSettings) {
    this(config, net, unixMs, askSettings, new EventLog(net));
  }

  PlatformRelay(
      PlatformConfig config, Net net, double unixMs, Runnable askSettings, EventLog events) {
    super(net, config.settings, new RequestTracker(config.settings), events);
    this.config = config;
    this.askSettings = askSettings;
    // the doors' dice, apart from the module's, whose draws must not depend on links
    chance = new DeterministicRandom(config.seed ^ 0x5bd1e995L);
    Map<String, Method> methods = new HashMap<>();
    for (Method method : settings.methods) {
      methods.put(config.methodNames.get(method.index), method);
    }
    int forClients = (int) (config.sockets * CLIENT_DESCRIPTOR_SHARE);
    commandMemory = MemoryLimit.ofHeap(REQUEST_MEMORY_SHARE, () -> 0);
    BufferBudget commandBudget = new BufferBudget(net, commandMemory, CLIENT_STALL_LIMIT);
    BufferBudget answerBudget =
        new BufferBudget(
            net,
            MemoryLimit.ofHeap(ANSWER_MEMORY_SHARE, net::unsentOnAccepted),
            ENDPOINT_STALL_LIMIT);
    clients =
        new ClientListener(
            net,
            events,
            this,
            methods,
            commandBudget,
            answerBudget,
            (int) (config.sockets * UNCROWDED_CLIENT_SHARE),
            forClients,
            config.seed);
    endpoints =
        new PlatformConnectionPools(
            net,
            events,
            this,
            answerBudget,
            config.sockets - forClients - OWN_DESCRIPTORS,
            settings.idleTimeout,
            config.connectWithin);
    Timestamp unix = net.now().minus(TimeSpan.ofMs(unixMs));
    discovery =
        new Discovery(
            net,
            config,
            requestTracker,
            events,
            endpoints,
            unix,
            chance::next,
            new EndpointListConfirmation(net, this::endpointListStateChanged),
            this::endpointListLost);
    desk =
        new ReleaseApiClient(
            net,
            config,
            requestTracker,
            events,
            chance::next,
            discovery::endpoint,
            reply -> policy.voteAnswered(reply),
            this::askSettings);
    for (int i = 0; i < config.peers.size(); i++) {
      peers.put(config.peers.get(i), i);
    }
  }

  /**
   * Connects to discovery and the release desk. Listens for clients once discovery has confirmed
   * the endpoint list, or the time in which a relay has to be ready is over: what is accepted
   * before it can be read would wait for too long. On the loop's thread.
   *
   * @param startupTime that has passed since the process began
   * @param listenFailureHandler is told if the address for clients can't be listened at
   * @throws IOException if the address for other relays can't be listened at
   */
  public void start(
      PolicyFactory maker, TimeSpan startupTime, Consumer<IOException> listenFailureHandler)
      throws IOException {
    this.listenFailureHandler = listenFailureHandler;
    startedAt = net.now().minus(startupTime);
    createPolicy(maker, config.seed);
    policy.endpointListStateChanged(EndpointListState.UNCONFIRMED);
    if (settings.gossipAllowed && config.peerListen != null) {
      datagrams = net.datagrams(config.peerListen, this::told);
    }
    endpoints.start();
    discovery.start(config.known);
    desk.start(config.news);
    net.at(
        startedAt.plus(MAX_TIME_TO_LISTEN),
        () ->
            acceptClients(
                "without discovery, which did not answer in time: requests are rejected until it does"));
    net.at(net.now().plus(FIGURES_INTERVAL), this::figures);
    net.at(net.now().plus(REFUSALS_INTERVAL), this::logRefusals);
    beat(net.now());
  }

  /** Where it listens for clients, with the port that was chosen; null before it does. */
  public InetSocketAddress listenAddress() {
    return clients.address();
  }

  /**
   * Says when the loop stood still, and for how long: whatever came meanwhile was acted on that
   * late.
   */
  private void beat(Timestamp due) {
    TimeSpan late = net.now().since(due);
    if (late.over(LOGGED_DELAY)) {
      eventLog.warn(
          EventLog.Event.HELD_UP,
          "for " + Math.round(late.ms()) + " ms; " + requestTracker.openRpcs() + " RPCs are open");
    }
    clients.figures().sample(net.unsentOnAccepted(), commandMemory.heldBytes(), late);
    Timestamp next = net.now().plus(BEAT_INTERVAL);
    net.at(next, () -> beat(next));
  }

  /** Each second while clients are refused: what fills the memory may do so within seconds. */
  private void logRefusals() {
    if (clients.figures().hasRefused()) {
      eventLog.info(EventLog.Event.CLIENTS, clients.figures().line());
    }
    net.at(net.now().plus(REFUSALS_INTERVAL), this::logRefusals);
  }

  private void endpointListStateChanged(EndpointListState state) {
    policy.endpointListStateChanged(state);
    if (state == EndpointListState.CONFIRMED) {
      eventLog.info(EventLog.Event.ROSTER_BACK, "discovery has confirmed the list");
      acceptClients("with a list");
    } else {
      eventLog.error(
          EventLog.Event.ROSTER_LOST,
          "nothing came from discovery's new address; requests are rejected until it tells");
    }
  }

  private void endpointListLost() {
    policy.endpointListFailed();
    askSettings();
  }

  /**
   * Guards against a configuration that was replaced unnoticed: while this relay started, as no
   * signal comes before it is ready, or by a signal that was lost. Else it would go on by a list
   * that nobody tells any more, to units long gone.
   */
  private void askSettings() {
    Timestamp now = net.now();
    if (finishing
        || askedSettings != null && !now.since(askedSettings).over(SETTINGS_READ_INTERVAL)) {
      return;
    }
    askedSettings = now;
    askSettings.run();
  }

  private void acceptClients(String how) {
    if (isListening() || finishing) {
      return;
    }
    try {
      clients.start(config.listen);
    } catch (IOException e) {
      finishing = true;
      listenFailureHandler.accept(e);
      return;
    }
    eventLog.info(
        EventLog.Event.STARTED,
        "relay "
            + config.name
            + ", number "
            + settings.relayIndex
            + " of "
            + settings.relayCount
            + ", listens at "
            + clients.address()
            + ", "
            + how
            + ", "
            + Math.round(net.now().since(startedAt).ms())
            + " ms after its start");
    askSettings();
  }

  private boolean isListening() {
    return clients.address() != null;
  }

  private void figures() {
    Runtime machine = Runtime.getRuntime();
    eventLog.info(
        EventLog.Event.FIGURES,
        "open "
            + requestTracker.openRpcs()
            + " known "
            + requestTracker.trackedRpcs()
            + " clients "
            + clients.size()
            + " to-units "
            + endpoints.open()
            + " units "
            + requestTracker.endpoints().size()
            + " heap-kb "
            + (machine.totalMemory() - machine.freeMemory()) / 1024
            + " list-silent-ms "
            + Math.round(discovery.silent().ms())
            + " desk-silent-ms "
            + Math.round(desk.silent().ms()));
    eventLog.info(EventLog.Event.CLIENTS, clients.figures().line());
    net.at(net.now().plus(FIGURES_INTERVAL), this::figures);
  }

  /**
   * A new configuration: the addresses of discovery and desk are taken over, the rest holds from
   * the start.
   */
  public void reload(PlatformConfig anew) {
    boolean moves = discovery.move(anew.discovery);
    moves |= desk.move(anew.desk);
    if (moves) {
      eventLog.info(
          EventLog.Event.SETTINGS,
          "discovery is at " + anew.discovery + ", the desk at " + anew.desk);
    }
  }

  /** A new configuration can't be used; the old one holds. */
  public void notReloaded(String why) {
    eventLog.error(EventLog.Event.SETTINGS, why + "; what was read before holds");
  }

  /**
   * Each open RPC gets its answer, clients that still come too; then {@code done} runs, once all
   * clients have read theirs, or as the time to the kill is over.
   */
  public void shutdown(Runnable done) {
    if (finishing) {
      return;
    }
    finishing = true;
    eventLog.info(EventLog.Event.FINISHING, requestTracker.openRpcs() + " RPCs are open");
    if (!isListening()) {
      end("no client had come", done);
      return;
    }
    Timestamp now = net.now();
    TimeSpan time = config.longest.atMost(MAX_COUNTED_DEADLINE).plus(KILL_GRACE);
    TimeSpan last = time.times(SERVING_SHARE).atLeast(ACCEPT_WHILE_ENDING);
    clients.shutdown(ACCEPT_WHILE_ENDING, last);
    net.at(
        now.plus(time.minus(KILL_MARGIN).atLeast(last)),
        () -> {
          clients.refuse();
          for (PlatformRequest asked : clients.openRequests()) {
            abort(asked);
          }
        });
    net.at(now.plus(last), () -> endIfDone(now.plus(time), done));
  }

  private void endIfDone(Timestamp by, Runnable done) {
    boolean all = requestTracker.openRpcs() == 0 && clients.size() == 0;
    if (!all && by.after(net.now())) {
      net.at(net.now().plus(END_CHECK_INTERVAL), () -> endIfDone(by, done));
      return;
    }
    end(
        all
            ? "every RPC taken has its answer"
            : clients.size() + " clients have not read their answers in time",
        done);
  }

  private void end(String how, Runnable done) {
    discovery.stop();
    desk.stop();
    if (datagrams != null) {
      datagrams.close();
    }
    eventLog.info(EventLog.Event.FINISHED, how);
    done.run();
  }

  // Clients.

  @Override
  public void arrived(PlatformRequest asked) {
    Statement said = asked.statement;
    requestArrived(
        asked,
        said.method,
        0,
        said.key,
        asked.readAt.plus(TimeSpan.ofMs(said.deadlineMs)).laterOf(net.now()),
        null);
  }

  @Override
  public void left(PlatformRequest asked) {
    super.clientLeft(asked);
  }

  @Override
  protected void answer(
      Request asked, RequestOutcome ending, TimeSpan wait, long endpoint, byte[] body) {
    ((PlatformRequest) asked).client.answer((PlatformRequest) asked, ending, wait, body);
  }

  // Units.

  @Override
  protected AttemptExchange newExchange(Attempt attempt, Timestamp ends) {
    return new PgExchange(attempt, ends);
  }

  @Override
  protected void sendToEndpoint(AttemptExchange exchange) {
    clients.sentOn((PlatformRequest) exchange.attempt().rpc.attachment);
    ((PlatformConnectionPool) exchange.attempt().endpoint.attachment).send((PgExchange) exchange);
  }

  @Override
  protected boolean abandon(AttemptExchange exchange, boolean told) {
    return ((PlatformConnectionPool) exchange.attempt().endpoint.attachment)
        .giveUp((PgExchange) exchange);
  }

  // Release desk, discovery, peers.

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    desk.vote(build, stage, verdict);
  }

  @Override
  public void subscribe() {
    // discovery tells all changes by itself, for as long as it can be reached
  }

  private void told(InetSocketAddress from, byte[] contents) {
    Integer number = peers.get(from);
    if (number != null && number != settings.relayIndex) {
      policy.peerMessageReceived(number, contents);
    }
  }

  @Override
  public void sendToPeers(byte[] contents) {
    tell(config.peersAll, contents);
  }

  @Override
  public void sendToPeer(int relay, byte[] contents) {
    tell(relay < config.peers.size() ? config.peers.get(relay) : null, contents);
  }

  private void tell(InetSocketAddress to, byte[] contents) {
    if (datagrams == null || to == null || contents.length > MAX_DATAGRAM_BYTES) {
      return;
    }
    datagrams.send(to, contents);
  }
}
