package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.ExponentialBackoff;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.v1.Hello;

/**
 * Keeps a link to one address: whenever it is gone, another is made, after a pause that grows and
 * is drawn.
 */
public final class ReconnectingConnection implements FrameListener {
  private static final TimeSpan FIRST = TimeSpan.ofMs(50);
  // a restart on the same machine takes about a second
  private static final TimeSpan MOST = TimeSpan.ofMs(2000);
  // what comes back is known again within this
  private static final TimeSpan CONNECT = TimeSpan.ofMs(1000);

  /** How connections are made: by default as they are, or by TLS. */
  public interface Connector {
    void connect(InetSocketAddress to, TimeSpan within, long mostUnsent, ConnectionListener user);
  }

  private final Net net;
  private final Connector connector;
  private final InetSocketAddress to;
  private final Hello mine;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final ExponentialBackoff pauses;
  private final FrameListener user;
  private FrameConnection connection;
  private boolean stopped;

  public ReconnectingConnection(
      Net net,
      InetSocketAddress to,
      Hello mine,
      FrameLimits limits,
      FrameTap tap,
      DeterministicRandom chance,
      FrameListener user) {
    this(net, net::connect, to, mine, limits, tap, chance, user);
  }

  public ReconnectingConnection(
      Net net,
      Connector connector,
      InetSocketAddress to,
      Hello mine,
      FrameLimits limits,
      FrameTap tap,
      DeterministicRandom chance,
      FrameListener user) {
    this.net = net;
    this.connector = connector;
    this.to = to;
    this.mine = mine;
    this.limits = limits;
    this.tap = tap;
    pauses = new ExponentialBackoff(FIRST, MOST, chance::next);
    this.user = user;
  }

  public void connect() {
    if (stopped) {
      return;
    }
    connection = new FrameConnection(net, mine, limits, tap, this);
    connector.connect(to, CONNECT, limits.maxUnsentBytes(), connection);
  }

  public boolean isReady() {
    return connection != null && connection.isReady();
  }

  public long unsentBytes() {
    return connection.unsentBytes();
  }

  /** Sends if the link is there; false where it is not. */
  public boolean send(FrameKind kind, MessageLite head, byte[] body) {
    if (!isReady()) {
      return false;
    }
    connection.send(kind, head, body);
    return true;
  }

  /** Closes, and stays closed. */
  public void stop() {
    stopped = true;
    if (connection != null) {
      connection.finish();
    }
  }

  public void cut(String why) {
    connection.cut(why);
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    pauses.reset();
    user.helloReceived(made, other);
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    user.frameReceived(kind, head, body);
  }

  @Override
  public void closed(String why) {
    user.closed(why);
    if (stopped) {
      return;
    }
    net.at(net.now().plus(pauses.nextPause()), this::connect);
  }
}
