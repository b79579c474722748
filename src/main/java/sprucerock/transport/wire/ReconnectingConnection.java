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
  private static final TimeSpan FIRST =
      TimeSpan.ofMs(50); // a restart on the same machine takes about a second
  private static final TimeSpan MOST =
      TimeSpan.ofMs(2000); // what comes back is known again within this
  private static final TimeSpan CONNECT = TimeSpan.ofMs(1000);

  /** How connections are made: by default as they are, or by TLS. */
  public interface Connector {
    void connect(InetSocketAddress to, TimeSpan within, long mostUnsent, ConnectionListener user);
  }

  private final Net net;
  private final Connector connector;
  private final InetSocketAddress to;
  private final Hello mine;
  private final Limits limits;
  private final Tap tap;
  private final ExponentialBackoff pauses;
  private final FrameListener user;
  private FrameConnection connection;
  private boolean stopped;

  public ReconnectingConnection(
      Net net,
      InetSocketAddress to,
      Hello mine,
      Limits limits,
      Tap tap,
      DeterministicRandom chance,
      FrameListener user) {
    this(net, net::connect, to, mine, limits, tap, chance, user);
  }

  public ReconnectingConnection(
      Net net,
      Connector connector,
      InetSocketAddress to,
      Hello mine,
      Limits limits,
      Tap tap,
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

  public void dial() {
    if (stopped) {
      return;
    }
    connection = new FrameConnection(net, mine, limits, tap, this);
    connector.connect(to, CONNECT, limits.unsent(), connection);
  }

  public boolean usable() {
    return connection != null && connection.usable();
  }

  public long unsent() {
    return connection.unsent();
  }

  /** Sends if the link is there; false where it is not. */
  public boolean send(Kind kind, MessageLite head, byte[] body) {
    if (!usable()) {
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
  public void greeted(FrameConnection made, Hello other) {
    pauses.reset();
    user.greeted(made, other);
  }

  @Override
  public void frame(Kind kind, MessageLite head, byte[] body) {
    user.frame(kind, head, body);
  }

  @Override
  public void closed(String why) {
    user.closed(why);
    if (stopped) {
      return;
    }
    net.at(net.now().plus(pauses.nextPause()), this::dial);
  }
}
