package sprucerock.scale;

import com.google.protobuf.MessageLite;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;

/**
 * Prints what so many other relays cost in memory: one process that holds both ends of each
 * connection on real sockets, as a relay of a full mesh holds one that it made and one that it
 * took. Not a test.
 */
public final class LinksCount {
  private LinksCount() {}

  public static void main(String[] args) throws Exception {
    System.out.println("links heapB directB (both ends)");
    for (String arg : args) {
      count(Integer.parseInt(arg));
    }
  }

  private static long direct() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  private static void count(int connections) throws Exception {
    long heapBefore = ListsCount.heap();
    long directBefore = direct();
    NioLoop loop = new NioLoop("links", Throwable::printStackTrace);
    CountDownLatch greeted = new CountDownLatch(2 * connections);
    List<Object> held = new ArrayList<>();
    FrameLimits limits = new FrameLimits(1 << 20, 4 << 20, TimeSpan.ofMs(600_000));
    Hello mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(1)
            .setName("r1")
            .build();
    FrameListener user =
        new FrameListener() {
          @Override
          public void helloReceived(FrameConnection connection, Hello other) {
            greeted.countDown();
          }

          @Override
          public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {}

          @Override
          public void closed(String why) {}
        };
    InetSocketAddress[] at = new InetSocketAddress[1];
    CountDownLatch bound = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            at[0] =
                loop.listen(
                        new InetSocketAddress("127.0.0.1", 0),
                        connections,
                        4 << 20,
                        () -> {
                          FrameConnection connection =
                              new FrameConnection(loop, mine, limits, FrameTap.NONE, user);
                          held.add(connection);
                          return connection;
                        })
                    .address();
          } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
          bound.countDown();
        });
    bound.await();
    DeterministicRandom chance = new DeterministicRandom(1);
    for (int i = 0; i < connections; i += 50) { // no more at once than a listener's queue holds
      int from = i;
      CountDownLatch dialled = new CountDownLatch(1);
      loop.post(
          () -> {
            for (int j = from; j < Math.min(from + 50, connections); j++) {
              ReconnectingConnection redial =
                  new ReconnectingConnection(
                      loop, at[0], mine, limits, FrameTap.NONE, chance, user);
              held.add(redial);
              redial.connect();
            }
            dialled.countDown();
          });
      dialled.await();
      long want = 2L * (connections - Math.min(from + 50, connections));
      for (long until = System.nanoTime() + 30_000_000_000L;
          greeted.getCount() > want && System.nanoTime() < until; ) {
        Thread.sleep(2);
      }
    }
    boolean all = greeted.await(60, TimeUnit.SECONDS);
    System.out.printf(
        "%d %d %d%s%n",
        connections,
        ListsCount.heap() - heapBefore,
        direct() - directBefore,
        all ? "" : " not all greeted: " + greeted.getCount());
    if (held.isEmpty()) {
      throw new IllegalStateException();
    }
    loop.close();
    Thread.sleep(200);
  }
}
