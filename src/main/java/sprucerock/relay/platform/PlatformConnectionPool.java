package sprucerock.relay.platform;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.time.Timestamp;
import sprucerock.time.TimeSpan;

/**
 * The connections to one unit, each for one pick at a time: made as picks need them, kept while
 * they are used. A pick that finds none waits for one, for as long as a connection may take. Which
 * unit gets a pick is none of its business.
 */
final class PlatformConnectionPool {
  final Endpoint unit;
  final InetSocketAddress address;
  private final PlatformConnectionPools doors;
  private final Set<PlatformEndpointConnection> links = new LinkedHashSet<>();

  /** Idle ones, the one used last in front. */
  private final ArrayDeque<PlatformEndpointConnection> idle = new ArrayDeque<>();

  private final ArrayDeque<PgExchange> waiting = new ArrayDeque<>();
  private boolean left;

  PlatformConnectionPool(Endpoint unit, InetSocketAddress address, PlatformConnectionPools doors) {
    this.unit = unit;
    this.address = address;
    this.doors = doors;
  }

  Timestamp clock() {
    return doors.clock();
  }

  void later(Runnable what) {
    doors.later(what);
  }

  void send(PgExchange exchange) {
    PlatformEndpointConnection link = ready();
    if (link != null) {
      link.send(exchange);
      return;
    }
    boolean opens = starting() <= waiting.size();
    if (opens && !doors.mayOpen()) {
      opens = false;
      if (links.stream().noneMatch(PlatformEndpointConnection::settling)) {
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
      links.add(made);
      doors.open(made, address);
    }
  }

  private int starting() {
    int count = 0;
    for (PlatformEndpointConnection link : links) {
      if (link.starting()) {
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
      PlatformEndpointConnection link = idle.poll();
      doors.used(link);
      if (!doors.idleTooLong(link)) {
        return link;
      }
      link.close();
    }
    return null;
  }

  void idle(PlatformEndpointConnection link) {
    PgExchange next = null;
    while (next == null && !waiting.isEmpty()) {
      next = waiting.poll();
      next.waiting.cancel();
      if (!next.mayStart(doors.clock())) {
        doors.endsSoon(next, AttemptOutcome.MOOT);
        next = null;
      }
    }
    if (next != null) {
      link.send(next);
    } else if (left) {
      link.close();
    } else {
      idle.addFirst(link);
      doors.idle(link, this);
    }
  }

  /** An idle one gives way to others, or was not used for long. */
  void drop(PlatformEndpointConnection link) {
    idle.remove(link);
    link.close();
  }

  void down(PlatformEndpointConnection link, AttemptOutcome startFailed, String why) {
    links.remove(link);
    idle.remove(link);
    doors.used(link);
    if (!link.starting()) {
      return;
    }
    doors.lost(unit, why);
    if (waiting.size() <= starting()) {
      return; // each waiting pick has its own in the making still
    }
    PgExchange first = waiting.poll();
    first.waiting.cancel();
    doors.endsSoon(first, startFailed);
  }

  void gone(PlatformEndpointConnection link) {
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
    doors.spoilt(unit, why);
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
    if (exchange.link != null) {
      return exchange.link.giveUp();
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
    for (PlatformEndpointConnection link : new ArrayList<>(idle)) {
      drop(link);
    }
    // guards against what was placed in the turn in which this came: it would be written after the
    // unit was told of as leaving
    for (PlatformEndpointConnection link : new ArrayList<>(links)) {
      if (link.unsent()) {
        link.cut("its unit takes nothing new");
      }
    }
  }

  /** It is listed as serving once more. */
  void back() {
    left = false;
  }
}
