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
 * Keeps a connection to one address: whenever it is lost, another is made, after an exponential
 * backoff with jitter. For the event loop's thread.
 */
public final class ReconnectingConnection implements FrameListener {
  /** A restart on the same machine takes about a second. */
  private static final TimeSpan FIRST_BACKOFF = TimeSpan.ofMs(50);

  /** Whoever comes back is connected to again within this. */
  private static final TimeSpan MAX_BACKOFF = TimeSpan.ofMs(2000);

  private static final TimeSpan CONNECT_TIMEOUT = TimeSpan.ofMs(1000);

  /** Makes the connections: plain ones, or by TLS. */
  public interface Connector {
    /** Begins a connection; {@code listener} is told when it is up, or why it failed. */
    void connect(
        InetSocketAddress to, TimeSpan timeout, long maxUnsentBytes, ConnectionListener listener);
  }

  private final Net net;
  private final Connector connector;
  private final InetSocketAddress to;
  private final Hello localHello;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final ExponentialBackoff backoff;
  private final FrameListener listener;
  private FrameConnection connection;
  private boolean isStopped;

  /** Keeps plain connections; nothing is opened before {@link #connect}. */
  public ReconnectingConnection(
      Net net,
      InetSocketAddress to,
      Hello localHello,
      FrameLimits limits,
      FrameTap tap,
      DeterministicRandom random,
      FrameListener listener) {
    this(net, net::connect, to, localHello, limits, tap, random, listener);
  }

  /** Keeps connections that {@code connector} makes. */
  public ReconnectingConnection(
      Net net,
      Connector connector,
      InetSocketAddress to,
      Hello localHello,
      FrameLimits limits,
      FrameTap tap,
      DeterministicRandom random,
      FrameListener listener) {
    this.net = net;
    this.connector = connector;
    this.to = to;
    this.localHello = localHello;
    this.limits = limits;
    this.tap = tap;
    backoff = new ExponentialBackoff(FIRST_BACKOFF, MAX_BACKOFF, random::next);
    this.listener = listener;
  }

  /** Connects, and from now on whenever the connection is lost. */
  public void connect() {
    if (isStopped) {
      return;
    }
    connection = new FrameConnection(net, localHello, limits, tap, this);
    connector.connect(to, CONNECT_TIMEOUT, limits.maxUnsentBytes(), connection);
  }

  /** Whether there is a connection on which both sides have greeted. */
  public boolean isReady() {
    return connection != null && connection.isReady();
  }

  /** Bytes that the other side has not read yet. */
  public long unsentBytes() {
    return connection.unsentBytes();
  }

  /** Sends a frame if the connection is ready; false where it is not. */
  public boolean send(FrameKind kind, MessageLite head, byte[] body) {
    if (!isReady()) {
      return false;
    }
    connection.send(kind, head, body);
    return true;
  }

  /** Closes once all has been sent, and stays closed. */
  public void stop() {
    isStopped = true;
    if (connection != null) {
      connection.finish();
    }
  }

  /** Closes the present connection at once; another is made. */
  public void cut(String why) {
    connection.cut(why);
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    backoff.reset();
    listener.helloReceived(made, other);
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    listener.frameReceived(kind, head, body);
  }

  @Override
  public void closed(String why) {
    listener.closed(why);
    if (isStopped) {
      return;
    }
    net.at(net.now().plus(backoff.nextPause()), this::connect);
  }
}
