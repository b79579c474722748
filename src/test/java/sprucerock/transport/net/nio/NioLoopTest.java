package sprucerock.transport.net.nio;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/** The loop over real loopback sockets. Waits are for what must come, however long it takes. */
public class NioLoopTest {
  private static final TimeSpan LONG = TimeSpan.ofMs(20_000);

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final List<Throwable> broken = new ArrayList<>();
  private NioLoop loop;
  private Net.Listener listener;

  @BeforeMethod
  public void begin() throws IOException {
    events.clear();
    broken.clear();
    loop = new NioLoop("test", broken::add);
  }

  @AfterMethod
  public void end() {
    loop.close();
    assertEquals(broken, List.of());
  }

  private String next() throws InterruptedException {
    String event = events.poll(30, TimeUnit.SECONDS);
    return event == null ? "nothing came" : event;
  }

  /** Sends back what comes, or says what it is. */
  private class Echo implements ConnectionListener {
    Connection connection;

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      connection.append(copy);
    }

    @Override
    public void closed(String why) {
      events.add("server: " + why);
    }
  }

  private InetSocketAddress listen(
      int most, long unsent, java.util.function.Supplier<ConnectionListener> users)
      throws Exception {
    loop.post(
        () -> {
          try {
            listener =
                loop.listen(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    most,
                    unsent,
                    users);
            events.add("listens");
          } catch (IOException e) {
            events.add(e.toString());
          }
        });
    assertEquals(next(), "listens");
    return listener.address();
  }

  @Test
  public void aMegabyteComesBackAsItWasAndFinishSendsAllOfIt() throws Exception {
    InetSocketAddress at = listen(10, 8 << 20, Echo::new);
    byte[] sent = new byte[1 << 20];
    for (int i = 0; i < sent.length; i++) {
      sent[i] = (byte) (i * 31 >> 3);
    }
    byte[] came = new byte[sent.length];
    loop.post(
        () ->
            loop.connect(
                at,
                LONG,
                8 << 20,
                new ConnectionListener() {
                  private Connection connection;
                  private int have;

                  @Override
                  public void connected(Connection made) {
                    connection = made;
                    for (int i = 0; i < sent.length / 2; i += 512) {
                      connection.reserve(512).put(sent, i, 512);
                    }
                    connection.append(Arrays.copyOfRange(sent, sent.length / 2, sent.length));
                  }

                  @Override
                  public void received(ByteBuffer bytes) {
                    int count = bytes.remaining();
                    bytes.get(came, have, count);
                    have += count;
                    if (have < came.length) {
                      return;
                    }
                    events.add("all");
                    connection.finish();
                  }

                  @Override
                  public void closed(String why) {
                    events.add("client: " + why);
                  }
                }));
    assertEquals(next(), "all");
    assertEquals(came, sent);
    assertEquals(
        List.of(next(), next()).stream().sorted().toList(),
        List.of("client: done", "server: closed by the other side"));
  }

  @Test
  public void aPeerThatDoesNotReadIsCutAtItsBoundAndHoldsNobodyUp() throws Exception {
    InetSocketAddress at =
        listen(
            10,
            1 << 16,
            () ->
                new Echo() {
                  @Override
                  public void received(ByteBuffer bytes) {
                    // as fast as it can, far more than a socket's own buffers hold
                    for (int i = 0; i < 3000; i++) {
                      connection.append(new byte[16_384]);
                    }
                  }
                });
    InetSocketAddress other = listen(10, 1 << 16, Echo::new);
    java.net.Socket deaf = new java.net.Socket(at.getAddress(), at.getPort());
    deaf.getOutputStream().write(1);
    assertEquals(next(), "server: does not read: more than 65536 bytes wait for it");
    try (java.net.Socket well = new java.net.Socket(other.getAddress(), other.getPort())) {
      well.getOutputStream().write(7);
      assertEquals(well.getInputStream().read(), 7);
    }
    deaf.close();
    assertEquals(next(), "server: closed by the other side");
  }

  @Test
  public void timersRunInOrderAndTheClockStandsStillWithinATurn() throws Exception {
    loop.post(
        () -> {
          var now = loop.now();
          for (int i = 9; i >= 0; i--) {
            int order = i;
            loop.at(now.plus(TimeSpan.ofMs(3 * (i / 2))), () -> events.add("t" + order / 2));
          }
          loop.at(now, () -> events.add("cancelled")).cancel();
          long until = System.nanoTime() + 2_000_000;
          while (System.nanoTime() < until) {
            Thread.onSpinWait();
          }
          events.add("still " + (loop.now() == now));
          loop.atTurnsEnd(() -> events.add("end"));
        });
    List<String> seen = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      seen.add(next());
    }
    assertEquals(
        seen,
        List.of("still true", "end", "t0", "t0", "t1", "t1", "t2", "t2", "t3", "t3", "t4", "t4"));
  }

  @Test
  public void refusedAndSurplusConnectionsAreToldOnce() throws Exception {
    InetSocketAddress at = listen(1, 1000, Echo::new);
    InetSocketAddress nobody;
    try (java.net.ServerSocket probe =
        new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      nobody = (InetSocketAddress) probe.getLocalSocketAddress();
    }
    loop.post(() -> loop.connect(nobody, LONG, 1000, new Echo()));
    assertTrue(next().startsWith("server: no connection"));
    try (java.net.Socket first = new java.net.Socket(at.getAddress(), at.getPort())) {
      first.getOutputStream().write(1);
      assertEquals(first.getInputStream().read(), 1);
      try (java.net.Socket second = new java.net.Socket(at.getAddress(), at.getPort())) {
        assertEquals(second.getInputStream().read(), -1);
      }
    }
    assertEquals(next(), "server: closed by the other side");
  }
}
