package sprucerock.relay.frames;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sprucerock.config.RelayConfig;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.wire.v1.Hello;

/**
 * The connections to one unit. They are made as picks need them, up to a number; a pick that finds
 * none with room waits for one, for as long as a connection may take. After a connection failed
 * none is tried for a pause that grows: picks end at once as never connected. Which unit gets a
 * pick is none of its business.
 */
final class EndpointConnectionPool {
  /** What the links need of the relay. */
  interface PoolListener {
    void open(EndpointConnection connection, InetSocketAddress to, String name);

    void attemptEnded(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome, byte[] body);

    /** The same, but told once the module has returned from what it does now. */
    void attemptEndsAfterTurn(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome);

    /** It is on a connection now. */
    void attemptWritten(sprucerock.relay.engine.AttemptExchange exchange);

    /** A result came for a pick that had ended before. */
    void late(AttemptOutcome outcome);

    Timestamp now();

    sprucerock.transport.net.Timers.Timer at(Timestamp when, Runnable what);

    void lost(Endpoint endpoint, String why);

    void misnamed(Endpoint endpoint, Hello other);

    /** It was not proven to be the one meant, for that reason. */
    void refused(Endpoint endpoint, String why);
  }

  final Endpoint endpoint;
  private final InetSocketAddress address;
  private final String name;
  private final RelayConfig config;
  private final PoolListener owner;
  private final DeterministicRandom chance;
  private final List<EndpointConnection> connections = new ArrayList<>();
  private final ArrayDeque<FrameExchange> waiting = new ArrayDeque<>();
  private TimeSpan pause;
  private Timestamp notBefore;
  private boolean left;

  /** While old connections are replaced: until when, and which ones are left. */
  private Timestamp movedBy;

  private final ArrayDeque<EndpointConnection> old = new ArrayDeque<>();
  private EndpointConnection replacement;

  EndpointConnectionPool(
      Endpoint endpoint,
      InetSocketAddress address,
      String name,
      RelayConfig config,
      DeterministicRandom chance,
      PoolListener owner) {
    this.endpoint = endpoint;
    this.address = address;
    this.name = name;
    this.config = config;
    this.chance = chance;
    this.owner = owner;
    pause = config.firstBackoff;
  }

  boolean at(InetSocketAddress there, String called) {
    return address.equals(there) && name.equals(called);
  }

  /** That its certificate has to carry. */
  InetSocketAddress address() {
    return address;
  }

  String name() {
    return name;
  }

  void send(FrameExchange exchange) {
    EndpointConnection best = null;
    int connecting = 0;
    for (EndpointConnection connection : connections) {
      if (connection.retired) {
        continue;
      }
      if (!connection.greeted) {
        connecting++;
      } else if (connection.load() < config.attemptsPerConnection
          && (best == null || connection.load() < best.load())) {
        best = connection;
      }
    }
    if (best != null) {
      best.send(exchange, owner.now());
      return;
    }
    Timestamp now = owner.now();
    boolean paused = notBefore != null && notBefore.after(now);
    boolean more = connections.size() < config.connectionsPerEndpoint && !paused;
    if (waiting.size() >= config.waitingPerEndpoint || paused && connections.isEmpty()) {
      owner.attemptEndsAfterTurn(exchange, AttemptOutcome.NOT_CONNECTED);
      return;
    }
    waiting.add(exchange);
    exchange.waiting =
        owner.at(
            now.plus(config.connectTimeout),
            () -> {
              if (waiting.remove(exchange)) {
                owner.attemptEnded(exchange, AttemptOutcome.NOT_CONNECTED, new byte[0]);
              }
            });
    if (more && connecting * config.attemptsPerConnection < waiting.size()) {
      open(now);
    }
  }

  private EndpointConnection open(Timestamp now) {
    EndpointConnection connection = new EndpointConnection(this, now);
    connections.add(connection);
    owner.open(connection, address, name);
    return connection;
  }

  /**
   * What proves this relay and its units has changed: connections are replaced by new ones within a
   * time, one after another, each old one only once the new one is there, and from a moment that is
   * drawn, so that units see no storm.
   */
  void move(TimeSpan within) {
    if (left) {
      return;
    }
    Timestamp now = owner.now();
    movedBy = now.plus(within);
    old.clear();
    for (EndpointConnection connection : connections) {
      if (connection.greeted && !connection.retired) {
        old.add(connection);
      }
    }
    replacement = null;
    owner.at(now.plus(within.times(0.5 * chance.next())), this::moveNext);
  }

  private void moveNext() {
    old.removeIf(connection -> connection.retired || !connections.contains(connection));
    if (left || old.isEmpty() || replacement != null) {
      return;
    }
    if (!movedBy.after(owner.now())) {
      // the new one can't be had, and what the old one was proven by counts no
      // more
      while (!old.isEmpty()) {
        old.poll().drain();
      }
      return;
    }
    replacement = open(owner.now());
  }

  private void moved(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    EndpointConnection gone = old.poll();
    if (gone != null) {
      gone.drain();
    }
    moveNext();
  }

  private void notMoved(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    owner.at(owner.now().plus(config.maxBackoff), this::moveNext);
  }

  void up(EndpointConnection connection) {
    pause = config.firstBackoff;
    notBefore = null;
    drain(connection);
    moved(connection);
    owner.at(owner.now().plus(config.idleTimeout), () -> closeIdle(connection));
  }

  private void drain(EndpointConnection connection) {
    while (!waiting.isEmpty()
        && !connection.retired
        && connection.greeted
        && connection.load() < config.attemptsPerConnection) {
      FrameExchange next = waiting.poll();
      next.waiting.cancel();
      if (!next.mayStart(owner.now())) {
        owner.attemptEndsAfterTurn(next, AttemptOutcome.MOOT);
      } else {
        connection.send(next, owner.now());
      }
    }
  }

  private void closeIdle(EndpointConnection connection) {
    if (!connections.contains(connection)) {
      return;
    }
    TimeSpan unused = owner.now().since(connection.usedLast);
    if (connection.idle() && !config.idleTimeout.over(unused)) {
      connection.retire();
    } else {
      owner.at(owner.now().plus(config.idleTimeout), () -> closeIdle(connection));
    }
  }

  /** A pick on it ended: there is room, or a unit that leaves is done with. */
  void emptied(EndpointConnection connection) {
    // a unit that answers nothing fills its connection with picks that nobody waits for: another is
    // made
    boolean stuck = connection.idle() && 2 * connection.load() >= config.attemptsPerConnection;
    if ((left || connection.retired) && connection.idle() || stuck) {
      connection.retire();
    }
    drain(connection);
  }

  void down(EndpointConnection connection, String why) {
    connections.remove(connection);
    if (left) {
      return;
    }
    notMoved(connection);
    if (why.startsWith("TLS: ")) {
      owner.refused(endpoint, why);
    } else if (!connection.greeted || !connection.idle()) {
      owner.lost(endpoint, why);
    }
    if (connection.greeted && connection.idle()) {
      // closed in good order
      if (!waiting.isEmpty() && connections.isEmpty()) {
        open(owner.now());
      }
      return;
    }
    Timestamp now = owner.now();
    notBefore = now.plus(pause.times(0.5 + 0.5 * chance.next()));
    pause = pause.times(2).atMost(config.maxBackoff);
    boolean hope = connections.stream().anyMatch(other -> !other.retired);
    while (!hope && !waiting.isEmpty()) {
      FrameExchange next = waiting.poll();
      next.waiting.cancel();
      owner.attemptEndsAfterTurn(next, AttemptOutcome.NOT_CONNECTED);
    }
  }

  void misnamed(Hello other) {
    owner.misnamed(endpoint, other);
  }

  void written(FrameExchange exchange) {
    owner.attemptWritten(exchange);
  }

  void late(AttemptOutcome outcome) {
    owner.late(outcome);
  }

  void ended(FrameExchange exchange, AttemptOutcome outcome, byte[] body) {
    owner.attemptEnded(exchange, outcome, body);
  }

  /**
   * Called off, or out of time: whoever called says with which outcome it ends. True where it was
   * never sent.
   */
  boolean giveUp(FrameExchange exchange, boolean tellUnit) {
    if (exchange.connection != null) {
      exchange.connection.forsake(exchange, tellUnit);
      return false;
    }
    waiting.remove(exchange);
    if (exchange.waiting != null) {
      exchange.waiting.cancel();
    }
    return true;
  }

  /**
   * The unit drains, is gone or became another: what is out ends as it may, then the connections
   * close.
   */
  void leave() {
    left = true;
    while (!waiting.isEmpty()) {
      // not sent yet, so not to be sent any more
      FrameExchange next = waiting.poll();
      next.waiting.cancel();
      owner.attemptEndsAfterTurn(next, AttemptOutcome.NOT_CONNECTED);
    }
    for (EndpointConnection connection : new ArrayList<>(connections)) {
      if (connection.idle()) {
        connection.retire();
      }
    }
  }
}
