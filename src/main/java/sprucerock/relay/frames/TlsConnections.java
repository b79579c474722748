package sprucerock.relay.frames;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Locale;
import sprucerock.accounting.MethodAccounts;
import sprucerock.config.RelayConfig;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Names;
import sprucerock.transport.tls.Refusal;
import sprucerock.transport.tls.RefusedException;
import sprucerock.transport.tls.Tls;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.ReconnectingConnection;

/**
 * Decides which of a relay's connections use TLS and whom each has to prove, and counts and logs
 * handshakes and reloads of credentials. For the event loop's thread.
 */
final class TlsConnections implements Tls.Owner {
  /** Replaces connections once credentials have changed. */
  interface ConnectionReplacer {
    void replaceConnections(TimeSpan within);
  }

  private final RelayConfig config;
  private final Net net;
  private final EventLog eventLog;
  private final MethodAccounts accounts;
  private ConnectionReplacer replacer;
  private Tls tls;

  TlsConnections(RelayConfig config, Net net, EventLog eventLog, MethodAccounts accounts) {
    this.config = config;
    this.net = net;
    this.eventLog = eventLog;
    this.accounts = accounts;
  }

  /**
   * Reads the credentials; does nothing where TLS is not configured.
   *
   * @throws Material.BadMaterialException if they can't be used
   */
  void start(Aside aside, ConnectionReplacer whom) throws Material.BadMaterialException {
    replacer = whom;
    if (config.tlsSetup != null) {
      tls = new Tls(net, config.tlsSetup, aside, Instant::now, this);
    }
  }

  void stop() {
    if (tls != null) {
      tls.stop();
    }
  }

  /** The TLS context; null where TLS is not configured. */
  Tls tls() {
    return tls;
  }

  /** Connects to an endpoint, by TLS where that is configured. */
  void connectToEndpoint(long endpoint, InetSocketAddress to, String name, FrameConnection user) {
    if (tls == null || !config.tlsToEndpoints) {
      net.connect(to, config.connectTimeout, config.connectionLimits.maxUnsentBytes(), user);
    } else {
      tls.connect(
          endpoint,
          name,
          to,
          config.connectTimeout,
          config.connectionLimits.maxUnsentBytes(),
          user);
    }
  }

  /** How connections to another relay are made. */
  ReconnectingConnection.Connector peerConnector(int number) {
    if (!config.tlsPeers) {
      return net::connect;
    }
    return (to, within, mostUnsent, user) ->
        tls.connect("relay " + number, config.peerNames.get(number), to, within, mostUnsent, user);
  }

  /** Wraps an accepted connection's listener in TLS, where that is configured for clients. */
  ConnectionListener accepted(FrameClientConnection client, FrameConnection user) {
    if (!config.tlsClients) {
      return user;
    }
    TlsConnection connection = tls.take(config.clientsAuthenticated, user);
    client.tls(connection);
    return connection;
  }

  /**
   * Whether the other side's certificate carries the name of the relay that it says it is; true
   * where peers need none.
   */
  boolean isProvenRelay(int number, TlsConnection by) {
    if (!config.tlsPeers) {
      return true;
    }
    String name = config.peerNames.get(number);
    try {
      return name != null && by != null && by.peer() != null && Names.carries(by.peer(), name);
    } catch (RefusedException e) {
      return false;
    }
  }

  @Override
  public void handshakeBegun() {
    accounts.postNew(accounts.handshakes, 0, accounts.handshakes.pendingColumn());
  }

  @Override
  public void handshakeDone(boolean resumed) {
    accounts.postTransfer(
        accounts.handshakes, 0, accounts.handshakes.pendingColumn(), resumed ? 2 : 1);
  }

  @Override
  public void handshakeRefused(Refusal why) {
    accounts.postTransfer(
        accounts.handshakes,
        0,
        accounts.handshakes.pendingColumn(),
        accounts.handshakes.columns().indexOf(why.name().toLowerCase(Locale.ROOT)));
  }

  @Override
  public void loaded(String wrong) {
    accounts.postNew(accounts.tlsFiles, 0, wrong == null ? 1 : 2);
    if (wrong == null) {
      eventLog.info(
          EventLog.Event.TLS_FILES,
          "new key and trust are in use; the certificate has " + tls.daysLeft() + " days left");
    } else {
      eventLog.error(EventLog.Event.TLS_FILES, wrong + "; key and trust stay as they were");
    }
  }

  @Override
  public void changed() {
    replacer.replaceConnections(tls.moveWithin());
  }
}
