package sprucerock.relay.platform;

import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;

/**
 * What the connections to all units share: their number is bounded, and idle ones give way or close
 * in time.
 */
final class PlatformConnectionPools {
  /** What the doors need of the relay. */
  interface Owner {
    boolean mayWrite(sprucerock.relay.engine.AttemptExchange exchange, Timestamp clock);

    void attemptEnded(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome, byte[] body);

    void attemptEndsAfterTurn(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome);

    void attemptWritten(sprucerock.relay.engine.AttemptExchange exchange);
  }

  private static final long UNSENT = 512 * 1024;
  private static final TimeSpan LOOK = TimeSpan.ofMs(100);

  private final Net net;
  private final EventLog events;
  private final Owner owner;
  private final BufferBudget answerBudget;
  private final int most;
  private final TimeSpan keepIdle;
  private final TimeSpan connectWithin;

  /** The one idle for longest first. */
  private final Map<PlatformEndpointConnection, PlatformConnectionPool> idle =
      new LinkedHashMap<>();

  private int open;

  /**
   * {@code answerBudget}: what all units' answers may hold; {@code idleEnds}: units close what
   * stands idle for so long; here it is closed well before.
   */
  PlatformConnectionPools(
      Net net,
      EventLog events,
      Owner owner,
      BufferBudget answerBudget,
      int most,
      TimeSpan idleEnds,
      TimeSpan connectWithin) {
    this.net = net;
    this.events = events;
    this.owner = owner;
    this.answerBudget = answerBudget;
    this.most = most;
    // two thirds: a query must not cross the other side's close, which would end it as broken
    keepIdle = idleEnds.times(2.0 / 3);
    this.connectWithin = connectWithin;
  }

  void start() {
    for (Iterator<Map.Entry<PlatformEndpointConnection, PlatformConnectionPool>> each =
            idle.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<PlatformEndpointConnection, PlatformConnectionPool> next = each.next();
      if (!idleTooLong(next.getKey())) {
        break;
      }
      each.remove();
      next.getValue().drop(next.getKey());
    }
    net.at(net.now().plus(LOOK), this::start);
  }

  /** Its unit may be about to close it; by the clock read anew, as a turn may take long. */
  boolean idleTooLong(PlatformEndpointConnection connection) {
    return net.readClock().since(connection.idleSince).over(keepIdle);
  }

  int open() {
    return open;
  }

  BufferBudget.Account openAccount(BufferBudget.Holder holder) {
    return answerBudget.open(holder);
  }

  Timestamp now() {
    return net.now();
  }

  Timestamp clock() {
    return net.readClock();
  }

  Timestamp heardUpTo() {
    return net.previousTurnStart();
  }

  void later(Runnable what) {
    net.atTurnsEnd(what);
  }

  Timer patiently(TimeSpan time, Runnable what) {
    return net.stallTolerantTimeout(time, what);
  }

  TimeSpan connectWithin() {
    return connectWithin;
  }

  /** Whether one more connection may be made; the one idle for longest gives way for it. */
  boolean mayOpen() {
    if (open < most) {
      return true;
    }
    Iterator<Map.Entry<PlatformEndpointConnection, PlatformConnectionPool>> first =
        idle.entrySet().iterator();
    if (!first.hasNext()) {
      return false;
    }
    Map.Entry<PlatformEndpointConnection, PlatformConnectionPool> goes = first.next();
    first.remove();
    goes.getValue().drop(goes.getKey());
    return true;
  }

  void open(PlatformEndpointConnection connection, InetSocketAddress to) {
    open++;
    connection.connecting(net.connect(to, connectWithin, UNSENT, connection));
    net.stallTolerantTimeout(
        connectWithin,
        () -> { // it may be connected, and never welcomed
          if (connection.starting()) {
            connection.cut("no welcome in time");
          }
        });
  }

  void closed() {
    open--;
  }

  void idle(PlatformEndpointConnection connection, PlatformConnectionPool door) {
    idle.put(connection, door);
  }

  void used(PlatformEndpointConnection connection) {
    idle.remove(connection);
  }

  void lost(Endpoint endpoint, String why) {
    events.warn(EventLog.Event.UNIT_LOST, "unit " + endpoint.id + ": " + why);
  }

  void spoilt(Endpoint endpoint, String why) {
    events.warn(EventLog.Event.PLATFORM_UNREADABLE, "unit " + endpoint.id + " sent " + why);
  }

  /** By the clock read anew, as a turn may take long. */
  boolean mayWrite(PgExchange exchange) {
    return owner.mayWrite(exchange, net.readClock());
  }

  void written(PgExchange exchange) {
    owner.attemptWritten(exchange);
  }

  void ended(PgExchange exchange, AttemptOutcome outcome, byte[] body) {
    owner.attemptEnded(exchange, outcome, body);
  }

  void endsSoon(PgExchange exchange, AttemptOutcome outcome) {
    owner.attemptEndsAfterTurn(exchange, outcome);
  }
}
