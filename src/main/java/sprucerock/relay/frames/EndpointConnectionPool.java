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
    void openConnection(EndpointConnection connection, InetSocketAddress to, String name);

    void attemptEnded(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome, byte[] body);

    /** The same, but told once the module has returned from what it does now. */
    void attemptEndsAfterTurn(
        sprucerock.relay.engine.AttemptExchange exchange, AttemptOutcome outcome);

    /** It is on a connection now. */
    void attemptWritten(sprucerock.relay.engine.AttemptExchange exchange);

    /** A result came for a pick that had ended before. */
    void lateResult(AttemptOutcome outcome);

    Timestamp now();

    sprucerock.transport.net.Timers.Timer schedule(Timestamp when, Runnable what);

    void endpointLost(Endpoint endpoint, String why);

    void wrongEndpoint(Endpoint endpoint, Hello other);

    /** It was not proven to be the one meant, for that reason. */
    void endpointRefused(Endpoint endpoint, String why);
  }

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

  /** While old connections are replaced: until when, and which ones are left. */
  private Timestamp replaceBy;

  private final ArrayDeque<EndpointConnection> toReplace = new ArrayDeque<>();
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
    this.tlsName = name;
    this.config = config;
    this.random = chance;
    this.listener = owner;
    backoff = config.pauseFirst;
  }

  boolean isFor(InetSocketAddress there, String called) {
    return address.equals(there) && tlsName.equals(called);
  }

  /** That its certificate has to carry. */
  InetSocketAddress address() {
    return address;
  }

  String tlsName() {
    return tlsName;
  }

  void send(FrameExchange exchange) {
    EndpointConnection best = null;
    int connecting = 0;
    for (EndpointConnection connection : connections) {
      if (connection.isRetired) {
        continue;
      }
      if (!connection.isReady) {
        connecting++;
      } else if (connection.load() < config.picksEach
          && (best == null || connection.load() < best.load())) {
        best = connection;
      }
    }
    if (best != null) {
      best.send(exchange, listener.now());
      return;
    }
    Timestamp now = listener.now();
    boolean paused = retryAt != null && retryAt.after(now);
    boolean more = connections.size() < config.connectionsPerUnit && !paused;
    if (waiting.size() >= config.waitingPerUnit || paused && connections.isEmpty()) {
      listener.attemptEndsAfterTurn(exchange, AttemptOutcome.NOT_CONNECTED);
      return;
    }
    waiting.add(exchange);
    exchange.connectTimer =
        listener.schedule(
            now.plus(config.connectWithin),
            () -> {
              if (waiting.remove(exchange)) {
                listener.attemptEnded(exchange, AttemptOutcome.NOT_CONNECTED, new byte[0]);
              }
            });
    if (more && connecting * config.picksEach < waiting.size()) {
      open(now);
    }
  }

  private EndpointConnection open(Timestamp now) {
    EndpointConnection connection = new EndpointConnection(this, now);
    connections.add(connection);
    listener.openConnection(connection, address, tlsName);
    return connection;
  }

  /**
   * What proves this relay and its units has changed: connections are replaced by new ones within a
   * time, one after another, each old one only once the new one is there, and from a moment that is
   * drawn, so that units see no storm.
   */
  void replaceConnections(TimeSpan within) {
    if (isClosing) {
      return;
    }
    Timestamp now = listener.now();
    replaceBy = now.plus(within);
    toReplace.clear();
    for (EndpointConnection connection : connections) {
      if (connection.isReady && !connection.isRetired) {
        toReplace.add(connection);
      }
    }
    replacement = null;
    listener.schedule(now.plus(within.times(0.5 * random.next())), this::replaceNext);
  }

  private void replaceNext() {
    toReplace.removeIf(connection -> connection.isRetired || !connections.contains(connection));
    if (isClosing || toReplace.isEmpty() || replacement != null) {
      return;
    }
    if (!replaceBy.after(
        listener.now())) { // the new one can't be had, and what the old one was proven by counts no
      // more
      while (!toReplace.isEmpty()) {
        toReplace.poll().drain();
      }
      return;
    }
    replacement = open(listener.now());
  }

  private void replacementReady(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    EndpointConnection gone = toReplace.poll();
    if (gone != null) {
      gone.drain();
    }
    replaceNext();
  }

  private void replacementFailed(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    listener.schedule(listener.now().plus(config.pauseMost), this::replaceNext);
  }

  void connectionReady(EndpointConnection connection) {
    backoff = config.pauseFirst;
    retryAt = null;
    sendWaiting(connection);
    replacementReady(connection);
    listener.schedule(listener.now().plus(config.idle), () -> closeIdle(connection));
  }

  private void sendWaiting(EndpointConnection connection) {
    while (!waiting.isEmpty()
        && !connection.isRetired
        && connection.isReady
        && connection.load() < config.picksEach) {
      FrameExchange next = waiting.poll();
      next.connectTimer.cancel();
      if (!next.mayStart(listener.now())) {
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
    if (connection.isIdle() && !config.idle.over(unused)) {
      connection.retire();
    } else {
      listener.schedule(listener.now().plus(config.idle), () -> closeIdle(connection));
    }
  }

  /** A pick on it ended: there is room, or a unit that leaves is done with. */
  void capacityFreed(EndpointConnection connection) {
    // a unit that answers nothing fills its connection with picks that nobody waits for: another is
    // made
    boolean stuck = connection.isIdle() && 2 * connection.load() >= config.picksEach;
    if ((isClosing || connection.isRetired) && connection.isIdle() || stuck) {
      connection.retire();
    }
    sendWaiting(connection);
  }

  void connectionClosed(EndpointConnection connection, String why) {
    connections.remove(connection);
    if (isClosing) {
      return;
    }
    replacementFailed(connection);
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
    backoff = backoff.times(2).atMost(config.pauseMost);
    boolean hope = connections.stream().anyMatch(other -> !other.isRetired);
    while (!hope && !waiting.isEmpty()) {
      FrameExchange next = waiting.poll();
      next.connectTimer.cancel();
      listener.attemptEndsAfterTurn(next, AttemptOutcome.NOT_CONNECTED);
    }
  }

  void wrongEndpoint(Hello other) {
    listener.wrongEndpoint(endpoint, other);
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
   * Called off, or out of time: whoever called says with which outcome it ends. True where it was
   * never sent.
   */
  boolean abandon(FrameExchange exchange, boolean tellUnit) {
    if (exchange.connection != null) {
      exchange.connection.abandon(exchange, tellUnit);
      return false;
    }
    waiting.remove(exchange);
    if (exchange.connectTimer != null) {
      exchange.connectTimer.cancel();
    }
    return true;
  }

  /**
   * The unit drains, is gone or became another: what is out ends as it may, then the connections
   * close.
   */
  void close() {
    isClosing = true;
    while (!waiting.isEmpty()) { // not sent yet, so not to be sent any more
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
