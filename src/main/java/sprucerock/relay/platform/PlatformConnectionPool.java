package sprucerock.relay.platform;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Timers.Timer;

/**
 * The connections to one unit, each for one pick at a time: made as picks need them, kept while
 * they are used. A pick that finds none waits for one, for as long as a connection may take. Which
 * unit gets a pick is none of its business.
 */
final class PlatformConnectionPool {
  final Endpoint endpoint;
  final InetSocketAddress address;
  private final PlatformConnectionPools doors;
  private final Set<PlatformEndpointConnection> connections = new LinkedHashSet<>();

  /** Idle ones, the one used last in front. */
  private final ArrayDeque<PlatformEndpointConnection> idle = new ArrayDeque<>();

  private final ArrayDeque<PgExchange> waiting = new ArrayDeque<>();
  private boolean left;

  PlatformConnectionPool(
      Endpoint endpoint, InetSocketAddress address, PlatformConnectionPools doors) {
    this.endpoint = endpoint;
    this.address = address;
    this.doors = doors;
  }

  BufferBudget.Account openAccount(BufferBudget.Holder holder) {
    return doors.openAccount(holder);
  }

  Timestamp now() {
    return doors.now();
  }

  Timestamp clock() {
    return doors.clock();
  }

  void later(Runnable what) {
    doors.later(what);
  }

  void send(PgExchange exchange) {
    PlatformEndpointConnection connection = ready();
    if (connection != null) {
      connection.send(exchange);
      return;
    }
    boolean opens = starting() <= waiting.size();
    if (opens && !doors.mayOpen()) {
      opens = false;
      if (connections.stream().noneMatch(PlatformEndpointConnection::settling)) {
        doors.endsSoon(exchange, AttemptOutcome.NOT_CONNECTED);
        return;
      }
    }
    waiting.add(exchange);
    exchange.waiting =
        doors.patiently(
            doors.connectWithin(),
            () -> {
              if (waiting.remove(exchange)) {
                doors.ended(exchange, AttemptOutcome.NOT_CONNECTED, new byte[0]);
              }
            });
    if (opens) {
      PlatformEndpointConnection made = new PlatformEndpointConnection(this);
      connections.add(made);
      doors.open(made, address);
    }
  }

  private int starting() {
    int count = 0;
    for (PlatformEndpointConnection connection : connections) {
      if (connection.starting()) {
        count++;
      }
    }
    return count;
  }

  /**
   * The idle one used last; closes those that were to be closed by now, where a loop that stood
   * still has not come to it.
   */
  private PlatformEndpointConnection ready() {
    while (!idle.isEmpty()) {
      PlatformEndpointConnection connection = idle.poll();
      doors.used(connection);
      if (!doors.idleTooLong(connection)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  void idle(PlatformEndpointConnection connection) {
    PgExchange next = null;
    while (next == null && !waiting.isEmpty()) {
      next = waiting.poll();
      next.waiting.cancel();
      if (!doors.mayWrite(next)) {
        doors.endsSoon(next, AttemptOutcome.MOOT);
        next = null;
      }
    }
    if (next != null) {
      connection.send(next);
    } else if (left) {
      connection.close();
    } else {
      idle.addFirst(connection);
      doors.idle(connection, this);
    }
  }

  /** An idle one gives way to others, or was not used for long. */
  void drop(PlatformEndpointConnection connection) {
    idle.remove(connection);
    connection.close();
  }

  void down(PlatformEndpointConnection connection, AttemptOutcome startFailed, String why) {
    connections.remove(connection);
    idle.remove(connection);
    doors.used(connection);
    if (!connection.starting()) {
      return;
    }
    doors.lost(endpoint, why);
    if (waiting.size() <= starting()) {
      return; // each waiting pick has its own in the making still
    }
    PgExchange first = waiting.poll();
    first.waiting.cancel();
    doors.endsSoon(first, startFailed);
  }

  void gone(PlatformEndpointConnection connection) {
    doors.closed();
  }

  Timer within(TimeSpan time, Runnable what) {
    return doors.patiently(time, what);
  }

  Timestamp heardUpTo() {
    return doors.heardUpTo();
  }

  TimeSpan turnSoFar() {
    return doors.clock().since(doors.now());
  }

  void spoilt(String why) {
    doors.spoilt(endpoint, why);
  }

  boolean mayWrite(PgExchange exchange) {
    return doors.mayWrite(exchange);
  }

  void written(PgExchange exchange) {
    doors.written(exchange);
  }

  void ended(PgExchange exchange, AttemptOutcome outcome, byte[] body) {
    doors.ended(exchange, outcome, body);
  }

  void endsSoon(PgExchange exchange, AttemptOutcome outcome) {
    doors.endsSoon(exchange, outcome);
  }

  /** Called off, or out of time; true where it was never sent. */
  boolean giveUp(PgExchange exchange) {
    if (exchange.connection != null) {
      return exchange.connection.giveUp();
    }
    waiting.remove(exchange);
    if (exchange.waiting != null) {
      exchange.waiting.cancel();
    }
    return true;
  }

  /**
   * The unit drains, is gone or became another: what is out ends as it may, what never left does
   * not leave, the rest closes.
   */
  void leave() {
    if (left) {
      return;
    }
    left = true;
    while (!waiting.isEmpty()) {
      PgExchange next = waiting.poll();
      next.waiting.cancel();
      doors.endsSoon(next, AttemptOutcome.NOT_CONNECTED);
    }
    for (PlatformEndpointConnection connection : new ArrayList<>(idle)) {
      drop(connection);
    }
    // guards against what was placed in the turn in which this came: it would be written after the
    // unit was told of as leaving
    for (PlatformEndpointConnection connection : new ArrayList<>(connections)) {
      if (connection.unsent()) {
        connection.cut("its unit takes nothing new");
      }
    }
  }

  /** It is listed as serving once more. */
  void back() {
    left = false;
  }
}
