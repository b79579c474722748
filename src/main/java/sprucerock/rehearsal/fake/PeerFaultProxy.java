package sprucerock.rehearsal.fake;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;

/** Stands between the relays: what one tells another passes here, late or never. */
public final class PeerFaultProxy {
  private final Net net;
  private final TraceWriter trace;
  private final FrameLimits limits;
  private final SplittableRandom chance;
  private final DeterministicRandom pauses;
  private final Map<Integer, InetSocketAddress> relays = new HashMap<>();
  private final Map<Long, ReconnectingConnection> onward = new HashMap<>();
  private FakeTls secure;
  private double lost;
  private TimeSpan delay = TimeSpan.ofMs(1);

  public PeerFaultProxy(Net net, TraceWriter trace, FrameLimits limits, long seed) {
    this.net = net;
    this.trace = trace;
    this.limits = limits;
    chance = new SplittableRandom(seed);
    pauses = new DeterministicRandom(seed);
  }

  /** Speaks TLS with relays on either side, for all of them. */
  public void secure(FakeTls with) {
    secure = with;
  }

  /** Opens a port for messages to a relay that is at an address. */
  public int port(int relay, InetSocketAddress at) throws IOException {
    relays.put(relay, at);
    return net.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1000,
            limits.maxUnsentBytes(),
            () -> {
              From from = new From(relay);
              from.connection = new FrameConnection(net, hello(relay), limits, trace, from);
              return secure == null
                  ? from.connection
                  : secure.taken(secure.allRelays(), true, from.connection);
            })
        .address()
        .getPort();
  }

  private static Hello hello(int relay) {
    return Hello.newBuilder()
        .setVersion(FrameConnection.VERSION)
        .setRole(Role.RELAY)
        .setNumber(relay)
        .setName("switch")
        .build();
  }

  /** This share of all messages is lost from now on. */
  public void lose(double share) {
    lost = share;
  }

  public void delay(TimeSpan each) {
    delay = each;
  }

  private final class From implements FrameListener {
    private final int to;
    private FrameConnection connection;

    From(int to) {
      this.to = to;
    }

    @Override
    public void helloReceived(FrameConnection made, Hello other) {}

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind != FrameKind.TOLD || chance.nextDouble() < lost) {
        return;
      }
      int sender = connection.remoteHello().getNumber();
      ReconnectingConnection onwards =
          onward.computeIfAbsent(
              (long) sender << 32 | to,
              key -> {
                ReconnectingConnection.Connector way =
                    secure == null ? net::connect : secure.asRelays(FakeTls.relayName(to));
                ReconnectingConnection made =
                    new ReconnectingConnection(
                        net, way, relays.get(to), hello(sender), limits, trace, pauses, new Deaf());
                made.connect();
                return made;
              });
      net.at(net.now().plus(delay), () -> onwards.send(kind, head, body));
    }

    @Override
    public void closed(String why) {}
  }

  private static final class Deaf implements FrameListener {
    @Override
    public void helloReceived(FrameConnection made, Hello other) {}

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {}

    @Override
    public void closed(String why) {}
  }
}
