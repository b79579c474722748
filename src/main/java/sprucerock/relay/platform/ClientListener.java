package sprucerock.relay.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucerock.model.Method;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;

/**
 * Where clients come in. Their number is bounded: when full, one that never spoke or stands idle
 * gives way, else a new one does.
 */
final class ClientListener {
  /** What the listener needs of the relay. */
  interface Owner {
    void arrived(PlatformRequest asked);

    void left(PlatformRequest asked);
  }

  /** A client in good order needs some milliseconds. */
  private static final TimeSpan MAX_SILENCE = TimeSpan.ofMs(2000);

  private static final TimeSpan CHECK_INTERVAL = TimeSpan.ofMs(100);

  /** One that was just accepted or answered may be about to ask. */
  private static final TimeSpan MIN_QUIET = TimeSpan.ofMs(100);

  /** Beside the largest number: some are being closed while new ones come. */
  private static final int CLOSING_CONNECTIONS = 8;

  private static final long MAX_UNSENT_BYTES = 512 * 1024;

  private final Net net;
  private final EventLog events;
  private final ClientFigures figures = new ClientFigures();
  private final Owner owner;
  private final Map<String, Method> methods;
  private final BufferBudget commandBudget;
  private final BufferBudget answerBudget;
  private final int uncrowded;
  private final int maxConnections;
  private final Set<PlatformClientConnection> connections = new LinkedHashSet<>();
  private final Map<String, PlatformRequest> open = new HashMap<>();
  private final RecentIds sentOn;
  private Net.Listener listener;
  private boolean isLeaving;
  private boolean isRefusing;

  /**
   * {@code uncrowded}: beyond it quiet ones give way, so that clients with a bound of their own can
   * come; {@code maxConnections} is never passed. {@code commandBudget}: what all clients' commands
   * may hold; {@code answerBudget}: the same for their answers; {@code seed} of the fingerprints of
   * ids.
   */
  ClientListener(
      Net net,
      EventLog events,
      Owner owner,
      Map<String, Method> methods,
      BufferBudget commandBudget,
      BufferBudget answerBudget,
      int uncrowded,
      int maxConnections,
      long seed) {
    this.net = net;
    this.events = events;
    this.owner = owner;
    this.methods = methods;
    this.commandBudget = commandBudget;
    this.answerBudget = answerBudget;
    this.uncrowded = uncrowded;
    this.maxConnections = maxConnections;
    sentOn = new RecentIds(seed);
  }

  /**
   * Listens, and accepts connections at once: what the system accepts is read without delay.
   *
   * @throws IOException if the address can't be bound
   */
  void start(InetSocketAddress at) throws IOException {
    listener =
        net.listen(
            at,
            maxConnections + CLOSING_CONNECTIONS,
            MAX_UNSENT_BYTES,
            () -> {
              PlatformClientConnection connection =
                  new PlatformClientConnection(this, net.now(), isLeaving);
              connections.add(connection);
              figures.accepted();
              return connection;
            });
    listener.onRejected(
        () -> {
          figures.rejected();
          events.warn(
              EventLog.Event.TURNED_AWAY,
              "a client as it came: "
                  + (maxConnections + CLOSING_CONNECTIONS)
                  + " connections are open");
        });
    checkConnections();
  }

  /** Where it listens, with the port that was chosen; null before it does. */
  InetSocketAddress address() {
    return listener == null ? null : listener.address();
  }

  int size() {
    return connections.size();
  }

  /** It was accepted. */
  void connected(PlatformClientConnection connection) {
    if (connections.size() > uncrowded) {
      atTurnsEnd(() -> makeRoom(connection));
    }
  }

  /**
   * One that never spoke goes first, else the one on which nothing was asked for longest: guards
   * against clients that ask once and stay, until others find no place. Where all are being
   * answered and no more may come the newest goes, unless it has asked too: whose request was taken
   * is never cut off.
   */
  private void makeRoom(PlatformClientConnection newest) {
    PlatformClientConnection goes = quietest(newest);
    if (goes != null) {
      goes.giveWay();
    } else if (connections.size() > maxConnections && newest.isQuietFor(TimeSpan.ZERO)) {
      newest.giveWay();
    }
  }

  private PlatformClientConnection quietest(PlatformClientConnection but) {
    PlatformClientConnection found = null;
    for (PlatformClientConnection connection : connections) {
      if (connection == but || !connection.isQuietFor(MIN_QUIET)) {
        continue;
      }
      if (found == null
          || !connection.isStarted() && found.isStarted()
          || connection.isStarted() == found.isStarted()
              && connection.quietSince().ms() < found.quietSince().ms()) {
        found = connection;
      }
    }
    return found;
  }

  private void checkConnections() {
    for (PlatformClientConnection connection : new ArrayList<>(connections)) {
      connection.checkSilence(MAX_SILENCE);
    }
    // not only as one comes: clients that have reached a bound of their own send none
    int over = connections.size() - uncrowded;
    for (PlatformClientConnection quiet = quietest(null);
        over > 0 && quiet != null;
        quiet = quietest(null), over--) {
      quiet.giveWay();
    }
    net.at(net.now().plus(CHECK_INTERVAL), this::checkConnections);
  }

  Timestamp now() {
    return net.now();
  }

  Timestamp heardUpTo() {
    return net.previousTurnStart();
  }

  void atTurnsEnd(Runnable action) {
    net.atTurnsEnd(action);
  }

  /** Runs an action after a time that a loop which stood still does not shorten. */
  Timer afterSilence(TimeSpan time, Runnable action) {
    return net.stallTolerantTimeout(time, action);
  }

  Timer after(TimeSpan time, Runnable action) {
    return net.at(net.now().plus(time), action);
  }

  BufferBudget.Account openAccount(BufferBudget.Holder holder) {
    return commandBudget.open(holder);
  }

  /** Whether answers of units wait for memory, which clients that do not read hold. */
  boolean answersWaitForMemory() {
    return answerBudget.hasWaiting();
  }

  Statement parse(byte[] bytes, int length) throws Statement.UnreadableException {
    return Statement.read(bytes, length, methods);
  }

  /** Null where it may be asked; else why not. */
  String open(PlatformRequest asked) {
    if (sentOn.contains(asked.statement.id)) {
      return "a request of the same id was sent on before";
    }
    if (open.putIfAbsent(asked.statement.id, asked) == null) {
      return null;
    }
    return "a request of the same id is open";
  }

  /** An attempt of a request is about to be sent. */
  void sentOn(PlatformRequest asked) {
    sentOn.add(asked.statement.id);
  }

  void closeRequest(PlatformRequest asked) {
    open.remove(asked.statement.id, asked);
  }

  void requestArrived(PlatformRequest asked) {
    owner.arrived(asked);
  }

  void clientLeft(PlatformRequest asked) {
    owner.left(asked);
  }

  void logRefusal(RefusalReason reason, String why) {
    figures.refused(reason);
    events.warn(EventLog.Event.CLIENT_REFUSED, why);
  }

  /** A client closed its connection with a request open. */
  void logLeft(PlatformRequest request, String why) {
    figures.leftOpen();
    events.info(
        EventLog.Event.CLIENT_LEFT,
        "request "
            + request.statement.id
            + " was open with "
            + request.attemptsOut()
            + " attempts out: "
            + why);
  }

  /** The connection broke, or was cut by this relay. */
  void logCut(String why) {
    events.warn(EventLog.Event.CLIENT_CUT, why);
  }

  /** What becomes of clients. */
  ClientFigures figures() {
    return figures;
  }

  void closed(PlatformClientConnection connection) {
    connections.remove(connection);
  }

  /**
   * New connections are taken for {@code still}. Those that are open serve on, as others may not be
   * able to take all at once, and close one after another until {@code last}, each between two
   * commands; who comes later is served once.
   */
  void shutdown(TimeSpan still, TimeSpan last) {
    List<PlatformClientConnection> all = new ArrayList<>(connections);
    for (int i = 0; i < all.size(); i++) {
      net.at(
          net.now().plus(still.plus(last.minus(still).times((double) i / all.size()))),
          all.get(i)::closeOnceIdle);
    }
    net.at(net.now().plus(still), listener::close);
    net.at(
        net.now().plus(last),
        () -> {
          isLeaving = true;
          for (PlatformClientConnection connection : new ArrayList<>(connections)) {
            connection.closeOnceIdle();
          }
        });
  }

  /** From now on what comes is refused, and what has nothing open closes. */
  void refuse() {
    isRefusing = true;
    for (PlatformClientConnection connection : new ArrayList<>(connections)) {
      connection.closeNow();
    }
  }

  boolean isRefusing() {
    return isRefusing;
  }

  /** Those that have begun: at the end of the relay's time they get an answer without a promise. */
  List<PlatformRequest> openRequests() {
    return open.values().stream().filter(request -> request.requestId() != 0).toList();
  }
}
