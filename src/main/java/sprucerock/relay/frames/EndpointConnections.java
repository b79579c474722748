package sprucerock.relay.frames;

import java.net.InetSocketAddress;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.tls.Refusal;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;

/**
 * The relay's side towards its endpoints: opens connections for the pools, hands what became of
 * attempts to the engine, and logs what goes wrong. For the event loop's thread.
 */
final class EndpointConnections implements EndpointConnectionPool.PoolListener {
  private final FrameRelay relay;
  private final Net net;
  private final RelayConfig config;
  private final Hello localHello;
  private final FrameTap tap;
  private final TlsConnections tlsConnections;
  private final MemoryLimit answerMemory;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;

  EndpointConnections(
      FrameRelay relay,
      Net net,
      RelayConfig config,
      Hello localHello,
      FrameTap tap,
      TlsConnections tlsConnections,
      MemoryLimit answerMemory,
      RequestTracker requestTracker,
      EventLog eventLog) {
    this.relay = relay;
    this.net = net;
    this.config = config;
    this.localHello = localHello;
    this.tap = tap;
    this.tlsConnections = tlsConnections;
    this.answerMemory = answerMemory;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
  }

  /** The pool of the endpoint that an attempt goes to. */
  static EndpointConnectionPool poolOf(AttemptExchange exchange) {
    return (EndpointConnectionPool) exchange.attempt().endpoint.attachment;
  }

  /** Replaces all connections within a time, as credentials have changed. */
  void replaceConnections(TimeSpan within) {
    for (Endpoint endpoint : requestTracker.endpoints()) {
      if (endpoint.attachment != null) {
        ((EndpointConnectionPool) endpoint.attachment).replaceConnections(within);
      }
    }
  }

  /** A connection beside the pool's, as a health check needs it. */
  void openProbeConnection(
      Endpoint endpoint, FrameListener listener, HealthChecker.ConnectionTaker taker) {
    FrameConnection connection =
        new FrameConnection(net, localHello, config.connectionLimits, answerMemory, tap, listener);
    taker.take(connection);
    EndpointConnectionPool pool = (EndpointConnectionPool) endpoint.attachment;
    tlsConnections.connectToEndpoint(endpoint.id, pool.address(), pool.tlsName(), connection);
  }

  @Override
  public void openConnection(EndpointConnection connection, InetSocketAddress to, String name) {
    connection.connection =
        new FrameConnection(
            net, localHello, config.connectionLimits, answerMemory, tap, connection);
    tlsConnections.connectToEndpoint(connection.endpoint().id, to, name, connection.connection);
  }

  @Override
  public boolean mayWrite(AttemptExchange exchange, Timestamp now) {
    return relay.mayWrite(exchange, now);
  }

  @Override
  public void attemptEnded(AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    relay.attemptEnded(exchange, outcome, body);
  }

  @Override
  public void attemptEndsAfterTurn(AttemptExchange exchange, AttemptOutcome outcome) {
    relay.attemptEndsAfterTurn(exchange, outcome);
  }

  @Override
  public void attemptWritten(AttemptExchange exchange) {
    relay.attemptWritten(exchange);
  }

  @Override
  public void lateResult(AttemptOutcome outcome) {
    requestTracker.lateResultReceived(outcome);
  }

  @Override
  public Timestamp now() {
    return net.now();
  }

  @Override
  public Timer schedule(Timestamp when, Runnable what) {
    return net.at(when, what);
  }

  @Override
  public void endpointLost(Endpoint endpoint, String why) {
    eventLog.warn(EventLog.Event.UNIT_LOST, "unit " + endpoint.id + ": " + why);
  }

  @Override
  public void wrongEndpoint(Endpoint endpoint, Hello other) {
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
  public void endpointRefused(Endpoint endpoint, String why) {
    boolean isMisnamed = why.startsWith("TLS: " + Refusal.WRONG_NAME.words());
    eventLog.warn(
        isMisnamed ? EventLog.Event.UNIT_MISNAMED : EventLog.Event.UNIT_REFUSED,
        "unit " + endpoint.id + ": " + why);
  }
}
