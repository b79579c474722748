package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.accounting.MethodAccounts;
import sprucerock.config.RelayConfig;
import sprucerock.relay.engine.EventLog;
import sprucerock.stats.DeterministicRandom;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Seen;
import sprucerock.transport.wire.v1.Told;

/**
 * The connections to the other relays, opened when the first message is to be sent. A message that
 * can't be sent at once is dropped, as the policy expects. For the event loop's thread.
 */
final class PeerConnections {
  private final Net net;
  private final RelayConfig config;
  private final Hello localHello;
  private final FrameTap tap;
  private final EventLog eventLog;
  private final DeterministicRandom random;
  private final Map<Integer, ReconnectingConnection> connections = new TreeMap<>();
  private final MethodAccounts accounts;
  private final TlsConnections tlsConnections;
  private boolean isStopping;

  PeerConnections(
      Net net,
      RelayConfig config,
      Hello localHello,
      FrameTap tap,
      EventLog eventLog,
      DeterministicRandom random,
      MethodAccounts accounts,
      TlsConnections tlsConnections) {
    this.accounts = accounts;
    this.tlsConnections = tlsConnections;
    this.net = net;
    this.config = config;
    this.localHello = localHello;
    this.tap = tap;
    this.eventLog = eventLog;
    this.random = random;
  }

  /** Sends the policy's message to one relay, or drops it; either is counted. */
  void send(int number, byte[] contents) {
    countMessage(send(number, FrameKind.TOLD, Told.getDefaultInstance(), contents));
  }

  private boolean send(int number, FrameKind kind, MessageLite head, byte[] contents) {
    InetSocketAddress address = config.peers.get(number);
    if (address == null || isStopping) {
      return false;
    }
    ReconnectingConnection connection = connections.get(number);
    if (connection == null) {
      connection =
          new ReconnectingConnection(
              net,
              tlsConnections.peerConnector(number),
              address,
              localHello,
              config.connectionLimits,
              tap,
              random,
              new PeerListener(number));
      connections.put(number, connection);
      connection.connect();
    }
    // a relay that reads slowly loses messages, as the policy expects, and stays connected
    boolean hasCapacity =
        connection.isReady()
            && connection.unsentBytes() + contents.length <= config.maxPeerUnsentBytes;
    return hasCapacity && connection.send(kind, head, contents);
  }

  /** Sends a frame to one relay, or drops it. */
  void send(int number, FrameKind kind, MessageLite head) {
    send(number, kind, head, FrameClientConnection.NO_BODY);
  }

  /** Sends the policy's message to all relays. */
  void sendToAll(byte[] contents) {
    for (int number : config.peers.keySet()) {
      send(number, contents);
    }
  }

  /** Sends a frame to all relays, or drops it. */
  void sendToAll(FrameKind kind, MessageLite head) {
    for (int number : config.peers.keySet()) {
      send(number, kind, head, FrameClientConnection.NO_BODY);
    }
  }

  /** Sends a health check's result to all relays. */
  void sendProbeResult(Seen seen) {
    sendToAll(FrameKind.SEEN, seen);
  }

  private void countMessage(boolean sent) {
    accounts.postNew(accounts.messages, 0, sent ? 1 : 2);
  }

  void stop() {
    isStopping = true;
    for (ReconnectingConnection connection : connections.values()) {
      connection.stop();
    }
  }

  private final class PeerListener implements FrameListener {
    private final int number;

    PeerListener(int number) {
      this.number = number;
    }

    @Override
    public void helloReceived(FrameConnection connection, Hello other) {
      if (other.getRole() != Role.RELAY || other.getNumber() != number) {
        connection.cut("another one answers there");
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      connections.get(number).cut("a relay tells over links of its own");
    }

    @Override
    public void closed(String why) {
      if (!isStopping) {
        eventLog.warn(
            EventLog.Event.PEER_LOST,
            "relay " + number + ": " + why + "; messages to it are dropped");
      }
    }
  }
}
