package sprucerock.benchmark;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Work;

/**
 * Clients that ask a relay, or units straight. Either as fast as answers come, with so many RPCs
 * open, or at a rate of its own whatever the answers do; times count from when each RPC was meant
 * to start, so that what waits for a late one is not left out.
 */
final class Load implements AutoCloseable {
  private static final TimeSpan TICK = TimeSpan.ofMs(0.1);

  private final NioLoop[] loops;
  private final boolean straight;
  private final byte[] body;
  private final List<Lane> lanes = new ArrayList<>();
  private final List<TlsConnection.Place> places = new ArrayList<>();
  private volatile boolean counting;
  private volatile long gapNanos;
  private int methods = 1;

  /** One loop's connections. */
  private final class Lane {
    final NioLoop loop;
    final List<Client> clients = new ArrayList<>();
    final Histogram times = new Histogram(60_000_000_000L, 3);
    long ok;
    long notOk;
    long nextAt;
    int turn;
    boolean open;

    Lane(NioLoop loop) {
      this.loop = loop;
    }

    void openLoop() {
      long now = System.nanoTime();
      while (open && nextAt <= now) {
        clients.get(turn++ % clients.size()).ask(nextAt);
        nextAt += gapNanos;
      }
      if (open) {
        loop.at(loop.now().plus(TICK), this::openLoop);
      }
    }
  }

  private final class Client implements FrameListener {
    final Lane lane;
    FrameConnection connection;
    private long[] started = new long[1024];
    private long lastId;
    private boolean closedLoop;

    Client(Lane lane) {
      this.lane = lane;
    }

    void ask(long meant) {
      long id = ++lastId;
      started[(int) (id & started.length - 1)] = meant;
      if (straight) {
        connection.send(
            FrameKind.WORK,
            Work.newBuilder().setId(id).setLeftUs(5_000_000).setKey(id).build(),
            body);
      } else {
        connection.send(
            FrameKind.CALL,
            Call.newBuilder()
                .setId(id)
                .setMethod((int) (id % methods))
                .setLeftUs(5_000_000)
                .setKey(id)
                .build(),
            body);
      }
    }

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      up.incrementAndGet();
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] bytes) {
      long id = straight ? ((Done) head).getId() : ((Answer) head).getId();
      boolean fine = straight || ((Answer) head).getEnding() == Ending.OK;
      long now = System.nanoTime();
      if (counting) {
        if (fine) {
          lane.ok++;
        } else {
          lane.notOk++;
        }
        lane.times.recordValue(Math.max(1, now - started[(int) (id & started.length - 1)]));
      }
      if (closedLoop) {
        ask(now);
      }
    }

    @Override
    public void closed(String why) {
      if (!over) {
        System.err.println("a connection of the load ended: " + why);
      }
    }
  }

  private final AtomicInteger up = new AtomicInteger();
  private volatile boolean over;

  Load(int threads, int connections, int[] ports, boolean straight, int bodyBytes)
      throws IOException, InterruptedException {
    this(threads, connections, ports, straight, bodyBytes, null);
  }

  /** A load whose connections are by TLS, unless that is null. */
  Load(int threads, int connections, int[] ports, boolean straight, int bodyBytes, BenchTls tls)
      throws IOException, InterruptedException {
    this.straight = straight;
    body = new byte[bodyBytes];
    loops = new NioLoop[Math.min(threads, connections)];
    Hello hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(straight ? Role.RELAY : Role.CLIENT)
            .build();
    for (int i = 0; i < loops.length; i++) {
      loops[i] = new NioLoop("load-" + i, Throwable::printStackTrace);
      lanes.add(new Lane(loops[i]));
      if (tls != null) {
        places.add(BenchTls.place(loops[i]));
      }
    }
    for (int i = 0; i < connections; i++) {
      Lane lane = lanes.get(i % lanes.size());
      int port = ports[i % ports.length];
      Loops.on(
          lane.loop,
          () -> {
            Client client = new Client(lane);
            client.connection =
                new FrameConnection(lane.loop, hello, Fleet.LIMITS, FrameTap.NONE, client);
            lane.clients.add(client);
            ConnectionListener user =
                tls == null
                    ? client.connection
                    : tls.client(
                        places.get(lanes.indexOf(lane)), BenchTls.RELAY, port, client.connection);
            return lane.loop.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                TimeSpan.ofMs(10_000),
                Fleet.LIMITS.maxUnsentBytes(),
                user);
          });
    }
    for (int i = 0; up.get() < connections; i++) {
      if (i > 3000) {
        throw new IOException("only " + up.get() + " of " + connections + " connections came up");
      }
      Thread.sleep(10);
    }
  }

  /** Asks of so many methods in turn; before it asks at all. */
  void methods(int many) {
    methods = many;
  }

  /** Keeps so many RPCs open, shared out over the connections, until {@link #stop}. */
  void closed(int openInAll) throws IOException, InterruptedException {
    int clients = lanes.stream().mapToInt(lane -> lane.clients.size()).sum();
    int each = Math.max(1, openInAll / clients);
    for (Lane lane : lanes) {
      Loops.on(
          lane.loop,
          () -> {
            for (Client client : lane.clients) {
              client.closedLoop = true;
              for (int i = 0; i < each; i++) {
                client.ask(System.nanoTime());
              }
            }
            return null;
          });
    }
  }

  /** Asks at this rate in all, until {@link #stop}. */
  void open(double perSecond) throws IOException, InterruptedException {
    gapNanos = (long) (1e9 * lanes.size() / perSecond);
    for (Lane lane : lanes) {
      Loops.on(
          lane.loop,
          () -> {
            lane.open = true;
            lane.nextAt = System.nanoTime();
            lane.openLoop();
            return null;
          });
    }
  }

  void stop() throws IOException, InterruptedException {
    for (Lane lane : lanes) {
      Loops.on(
          lane.loop,
          () -> {
            lane.open = false;
            lane.clients.forEach(client -> client.closedLoop = false);
            return null;
          });
    }
  }

  /** What came in a time: RPCs ok and not, and their times in nanoseconds. */
  record Took(long ok, long notOk, double seconds, Histogram times) {
    double perSecond() {
      return ok / seconds;
    }

    double us(double percentile) {
      return times.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  Took count(double seconds) throws IOException, InterruptedException {
    for (Lane lane : lanes) {
      Loops.on(
          lane.loop,
          () -> {
            lane.ok = 0;
            lane.notOk = 0;
            lane.times.reset();
            return null;
          });
    }
    counting = true;
    long from = System.nanoTime();
    Thread.sleep((long) (1000 * seconds));
    counting = false;
    double took = (System.nanoTime() - from) / 1e9;
    Histogram all = new Histogram(60_000_000_000L, 3);
    long[] sums = new long[2];
    for (Lane lane : lanes) {
      Loops.on(
          lane.loop,
          () -> {
            all.add(lane.times);
            sums[0] += lane.ok;
            sums[1] += lane.notOk;
            return null;
          });
    }
    return new Took(sums[0], sums[1], took, all);
  }

  @Override
  public void close() {
    over = true;
    for (NioLoop loop : loops) {
      loop.close();
    }
  }
}
