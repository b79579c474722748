package sprucerock.benchmark;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Result;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Work;

/** Units that answer at once with what they were sent, and the roster and desk that name them. */
final class Fleet implements AutoCloseable {
  static final FrameLimits LIMITS =
      new FrameLimits(1 << 20, 64 << 20, sprucerock.time.TimeSpan.ofMs(5000));
  private static final byte[] NO_BODY = {};

  private final NioLoop[] loops;
  private final int[] ports;
  private int rosterPort;
  private int deskPort;

  Fleet(int endpoints, int threads) throws IOException, InterruptedException {
    this(endpoints, threads, null);
  }

  /** Units that are reached by TLS, unless that is null. */
  Fleet(int endpoints, int threads, BenchTls tls) throws IOException, InterruptedException {
    loops = new NioLoop[threads];
    for (int i = 0; i < threads; i++) {
      loops[i] = new NioLoop("units-" + i, Throwable::printStackTrace);
    }
    ports = new int[endpoints];
    TlsConnection.Place[] places = new TlsConnection.Place[threads];
    for (int i = 0; i < threads && tls != null; i++) {
      places[i] = BenchTls.place(loops[i]);
    }
    for (int i = 0; i < endpoints; i++) {
      int id = i;
      ports[i] =
          listen(
              loops[i % threads],
              Role.UNIT,
              i,
              tls,
              places[i % threads],
              connection ->
                  new FrameListener() {
                    @Override
                    public void helloReceived(FrameConnection made, Hello other) {}

                    @Override
                    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
                      if (kind != FrameKind.WORK) {
                        return;
                      }
                      connection[0].send(
                          FrameKind.DONE,
                          Done.newBuilder()
                              .setId(((Work) head).getId())
                              .setResult(Result.DONE)
                              .build(),
                          body);
                    }

                    @Override
                    public void closed(String why) {}
                  });
    }
    Listing.Builder listing = Listing.newBuilder().setForm(Form.WHOLE);
    for (int i = 0; i < endpoints; i++) {
      listing.addEntries(
          Entry.newBuilder()
              .setUnit(i)
              .setRun(1)
              .setHost("127.0.0.1")
              .setPort(ports[i])
              .setBuild(1)
              .setHealth(Health.READY)
              .setWeight(1)
              .setName(BenchTls.unit(i)));
    }
    rosterPort =
        listen(
            loops[0],
            Role.ROSTER,
            0,
            null,
            null,
            connection ->
                new FrameListener() {
                  @Override
                  public void helloReceived(FrameConnection made, Hello other) {}

                  @Override
                  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
                    connection[0].send(FrameKind.LISTING, listing.build(), NO_BODY);
                  }

                  @Override
                  public void closed(String why) {}
                });
    deskPort =
        listen(
            loops[0],
            Role.DESK,
            0,
            null,
            null,
            connection ->
                new FrameListener() {
                  @Override
                  public void helloReceived(FrameConnection made, Hello other) {
                    made.send(
                        FrameKind.NEWS,
                        News.newBuilder()
                            .setBuild(1)
                            .setStage(0)
                            .setStanding(Stand.RELEASED)
                            .setCap(1)
                            .setLastedUs(60_000_000)
                            .build(),
                        NO_BODY);
                  }

                  @Override
                  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {}

                  @Override
                  public void closed(String why) {}
                });
  }

  private interface Made {
    FrameListener user(FrameConnection[] connection);
  }

  private static int listen(
      NioLoop loop, Role role, int number, BenchTls tls, TlsConnection.Place place, Made made)
      throws IOException, InterruptedException {
    Hello hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(role)
            .setNumber(number)
            .build();
    return Loops.on(
        loop,
        () -> {
          Net.Listener listener =
              loop.listen(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                  10_000,
                  LIMITS.maxUnsentBytes(),
                  () -> {
                    FrameConnection[] connection = new FrameConnection[1];
                    connection[0] =
                        new FrameConnection(
                            loop, hello, LIMITS, FrameTap.NONE, made.user(connection));
                    return tls == null ? connection[0] : tls.server(place, connection[0]);
                  });
          return listener.address().getPort();
        });
  }

  int[] ports() {
    return ports;
  }

  int rosterPort() {
    return rosterPort;
  }

  int deskPort() {
    return deskPort;
  }

  @Override
  public void close() {
    for (NioLoop loop : loops) {
      loop.close();
    }
  }
}
