package sprucerock.relay.frames;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sprucerock.config.RelayConfig;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.v1.Hello;

/**
 * The connections to one endpoint, opened as attempts need them, up to the configured number. An
 * attempt that finds none with capacity waits for one, for as long as a connection may take, in a
 * queue with a bound. After a connection failed none is tried for a backoff that grows: without any
 * other connection, attempts end at once as NOT_CONNECTED. For the event loop's thread.
 */
final class EndpointConnectionPool {
  /** What the pool needs of the relay, and tells it. */
  interface PoolListener {
    /** Begins a connection, by TLS to that name where configured, and hands it its frames. */
    void openConnection(EndpointConnection connection, InetSocketAddress to, String name);

    /** Whether an attempt that waited for a connection may be written now. */
    boolean mayWrite(AttemptExchange exchange, Timestamp now);

    /** An attempt has its outcome. */
    void attemptEnded(AttemptExchange exchange, AttemptOutcome outcome, byte[] body);

    /** The same, but told at the end of this turn of the loop. */
    void attemptEndsAfterTurn(AttemptExchange exchange, AttemptOutcome outcome);

    /** An attempt was handed to a connection. */
    void attemptWritten(AttemptExchange exchange);

    /** A result came for an attempt that had ended before. */
    void lateResult(AttemptOutcome outcome);

    /** The event loop's clock. */
    Timestamp now();

    /** Runs something at a time, unless the timer is cancelled. */
    Timer schedule(Timestamp when, Runnable what);

    /** A connection failed, or closed with attempts on it. */
    void endpointLost(Endpoint endpoint, String why);

    /** Another process than the endpoint answers at its address. */
    void wrongEndpoint(Endpoint endpoint, Hello other);

    /** A TLS handshake did not prove the endpoint to be the one meant. */
    void endpointRefused(Endpoint endpoint, String why);
  }

  private static final byte[] NO_BODY = {};

  final Endpoint endpoint;
  private final InetSocketAddress address;
  private final String tlsName;
  private final RelayConfig config;
  private final PoolListener listener;
  private final DeterministicRandom random;
  private final List<EndpointConnection> connections = new ArrayList<>();
  private final ArrayDeque<FrameExchange> waiting = new ArrayDeque<>();
  private TimeSpan backoff;
  private Timestamp retryAt;
  private boolean isClosing;

  private RollingReplacement replacement; // null until credentials change for the first time

  EndpointConnectionPool(
      Endpoint endpoint,
      InetSocketAddress address,
      String name,
      RelayConfig config,
      DeterministicRandom random,
      PoolListener owner) {
    this.endpoint = endpoint;
    this.address = address;
    this.tlsName = name;
    this.config = config;
    this.random = random;
    this.listener = owner;
    backoff = config.firstBackoff;
  }

  /** Whether these are the address and name that the connections go to. */
  boolean isFor(InetSocketAddress address, String tlsName) {
    return this.address.equals(address) && this.tlsName.equals(tlsName);
  }

  InetSocketAddress address() {
    return address;
  }

  /** The name that the endpoint's certificate has to carry; may be empty without TLS. */
  String tlsName() {
    return tlsName;
  }

  /** Sends the attempt on the connection with the least load, or has it wait for one. */
  void send(FrameExchange exchange) {
    EndpointConnection best = null;
    int connecting = 0;
    for (EndpointConnection connection : connections) {
      if (connection.isRetired) {
        continue;
      }
      if (!connection.isReady) {
        connecting++;
      } else if (connection.load() < config.attemptsPerConnection
          && (best == null || connection.load() < best.load())) {
        best = connection;
      }
    }
    if (best != null) {
      best.send(exchange, listener.now());
      return;
    }
    Timestamp now = listener.now();
    boolean isBackingOff = retryAt != null && retryAt.after(now);
    final boolean mayOpen = connections.size() < config.connectionsPerEndpoint && !isBackingOff;
    if (waiting.size() >= config.waitingPerEndpoint || isBackingOff && connections.isEmpty()) {
      listener.attemptEndsAfterTurn(exchange, AttemptOutcome.NOT_CONNECTED);
      return;
    }
    waiting.add(exchange);
    exchange.connectTimer =
        listener.schedule(
            now.plus(config.connectTimeout),
            () -> {
              if (waiting.remove(exchange)) {
                listener.attemptEnded(exchange, AttemptOutcome.NOT_CONNECTED, NO_BODY);
              }
            });
    if (mayOpen && connecting * config.attemptsPerConnection < waiting.size()) {
      open(now);
    }
  }

  /** Begins a connection beside those that there are. */
  EndpointConnection open(Timestamp now) {
    EndpointConnection connection = new EndpointConnection(this, now);
    connections.add(connection);
    listener.openConnection(connection, address, tlsName);
    return connection;
  }

  /** Replaces all connections within a time, as credentials have changed. */
  void replaceConnections(TimeSpan within) {
    if (isClosing) {
      return;
    }
    if (replacement == null) {
      replacement = new RollingReplacement(this, listener, random, config.maxBackoff);
    }
    replacement.begin(connections, within);
  }

  boolean contains(EndpointConnection connection) {
    return connections.contains(connection);
  }

  boolean isClosing() {
    return isClosing;
  }

  /** A connection's endpoint has greeted: what waits for one is sent on it. */
  void connectionReady(EndpointConnection connection) {
    backoff = config.firstBackoff;
    retryAt = null;
    sendWaiting(connection);
    if (replacement != null) {
      replacement.connectionReady(connection);
    }
    listener.schedule(listener.now().plus(config.idleTimeout), () -> closeIdle(connection));
  }

  private void sendWaiting(EndpointConnection connection) {
    while (!waiting.isEmpty()
        && !connection.isRetired
        && connection.isReady
        && connection.load() < config.attemptsPerConnection) {
      FrameExchange next = waiting.poll();
      next.connectTimer.cancel();
      if (!listener.mayWrite(next, listener.now())) {
        listener.attemptEndsAfterTurn(next, AttemptOutcome.MOOT);
      } else {
        connection.send(next, listener.now());
      }
    }
  }

  private void closeIdle(EndpointConnection connection) {
    if (!connections.contains(connection)) {
      return;
    }
    TimeSpan unused = listener.now().since(connection.lastUsed);
    if (connection.isIdle() && !config.idleTimeout.over(unused)) {
      connection.retire();
    } else {
      listener.schedule(listener.now().plus(config.idleTimeout), () -> closeIdle(connection));
    }
  }

  /** An attempt on the connection ended: others may be sent, or it is done with and closes. */
  void capacityFreed(EndpointConnection connection) {
    // an endpoint that answers nothing fills its connection with attempts that nobody waits for:
    // another is made
    boolean isStuck = connection.isIdle() && 2 * connection.load() >= config.attemptsPerConnection;
    if ((isClosing || connection.isRetired) && connection.isIdle() || isStuck) {
      connection.retire();
    }
    sendWaiting(connection);
  }

  /** A connection failed, was refused, or closed in good order. */
  void connectionClosed(EndpointConnection connection, String why) {
    connections.remove(connection);
    if (isClosing) {
      return;
    }
    if (replacement != null) {
      replacement.connectionClosed(connection);
    }
    if (why.startsWith("TLS: ")) {
      listener.endpointRefused(endpoint, why);
    } else if (!connection.isReady || !connection.isIdle()) {
      listener.endpointLost(endpoint, why);
    }
    if (connection.isReady && connection.isIdle()) { // closed in good order
      if (!waiting.isEmpty() && connections.isEmpty()) {
        open(listener.now());
      }
      return;
    }
    Timestamp now = listener.now();
    retryAt = now.plus(backoff.times(0.5 + 0.5 * random.next()));
    backoff = backoff.times(2).atMost(config.maxBackoff);
    boolean hasOthers = connections.stream().anyMatch(other -> !other.isRetired);
    while (!hasOthers && !waiting.isEmpty()) {
      FrameExchange next = waiting.poll();
      next.connectTimer.cancel();
      listener.attemptEndsAfterTurn(next, AttemptOutcome.NOT_CONNECTED);
    }
  }

  void wrongEndpoint(Hello other) {
    listener.wrongEndpoint(endpoint, other);
  }

  void answerDropped() {
    listener.endpointLost(endpoint, "no memory for an answer of it");
  }

  void attemptWritten(FrameExchange exchange) {
    listener.attemptWritten(exchange);
  }

  void lateResult(AttemptOutcome outcome) {
    listener.lateResult(outcome);
  }

  void attemptEnded(FrameExchange exchange, AttemptOutcome outcome, byte[] body) {
    listener.attemptEnded(exchange, outcome, body);
  }

  /**
   * Stops waiting for an attempt; the caller says with which outcome it ends.
   *
   * @return true where it was never sent
   */
  boolean abandon(FrameExchange exchange, boolean notifyEndpoint) {
    if (exchange.connection != null) {
      exchange.connection.abandon(exchange, notifyEndpoint);
      return false;
    }
    waiting.remove(exchange);
    if (exchange.connectTimer != null) {
      exchange.connectTimer.cancel();
    }
    return true;
  }

  /**
   * The endpoint drains, is gone or was restarted: what waits is not sent any more, what is in
   * flight ends as it may, then the connections close.
   */
  void close() {
    isClosing = true;
    while (!waiting.isEmpty()) {
      FrameExchange next = waiting.poll();
      next.connectTimer.cancel();
      listener.attemptEndsAfterTurn(next, AttemptOutcome.NOT_CONNECTED);
    }
    for (EndpointConnection connection : new ArrayList<>(connections)) {
      if (connection.isIdle()) {
        connection.retire();
      }
    }
  }
}
