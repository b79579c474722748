package sprucerock.transport.net.nio;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/** The loop over loopback sockets. Each wait is for an event that must come, however late. */
public class NioLoopTest {
  private static final TimeSpan TIMEOUT = TimeSpan.ofMs(20_000);

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final List<Throwable> errors = new ArrayList<>();
  private NioLoop loop;
  private Net.Listener listener;

  @BeforeMethod
  public void begin() throws IOException {
    events.clear();
    errors.clear();
    loop = new NioLoop("test", errors::add);
  }

  @AfterMethod
  public void end() {
    loop.close();
    assertEquals(errors, List.of());
  }

  private String nextEvent() throws InterruptedException {
    String event = events.poll(30, TimeUnit.SECONDS);
    return event == null ? "nothing came" : event;
  }

  /** Sends back what it receives, and records why it was closed. */
  private class EchoServer implements ConnectionListener {
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
      int maxConnections, long maxUnsentBytes, Supplier<ConnectionListener> listeners)
      throws Exception {
    loop.post(
        () -> {
          try {
            listener =
                loop.listen(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    maxConnections,
                    maxUnsentBytes,
                    listeners);
            events.add("listens");
          } catch (IOException e) {
            events.add(e.toString());
          }
        });
    assertEquals(nextEvent(), "listens");
    return listener.address();
  }

  @Test
  public void echoesAMegabyteUnchangedAndFinishSendsAllOfIt() throws Exception {
    InetSocketAddress server = listen(10, 8 << 20, EchoServer::new);
    byte[] sent = new byte[1 << 20];
    for (int i = 0; i < sent.length; i++) {
      sent[i] = (byte) (i * 31 >> 3);
    }
    byte[] echoed = new byte[sent.length];
    loop.post(
        () ->
            loop.connect(
                server,
                TIMEOUT,
                8 << 20,
                new ConnectionListener() {
                  private Connection connection;
                  private int receivedBytes;

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
                    bytes.get(echoed, receivedBytes, count);
                    receivedBytes += count;
                    if (receivedBytes < echoed.length) {
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
    assertEquals(nextEvent(), "all");
    assertEquals(echoed, sent);
    assertEquals(
        List.of(nextEvent(), nextEvent()).stream().sorted().toList(),
        List.of("client: done", "server: closed by the other side"));
  }

  @Test
  public void peerThatDoesNotReadIsCutAtItsLimitAndDelaysNoOther() throws Exception {
    InetSocketAddress server =
        listen(
            10,
            1 << 16,
            () ->
                new EchoServer() {
                  @Override
                  public void received(ByteBuffer bytes) {
                    // as fast as it can, far more than a socket's own buffers hold
                    for (int i = 0; i < 3000; i++) {
                      connection.append(new byte[16_384]);
                    }
                  }
                });
    InetSocketAddress other = listen(10, 1 << 16, EchoServer::new);
    Socket unresponsive = new Socket(server.getAddress(), server.getPort());
    unresponsive.getOutputStream().write(1);
    assertEquals(nextEvent(), "server: does not read: more than 65536 bytes wait for it");
    try (Socket responsive = new Socket(other.getAddress(), other.getPort())) {
      responsive.getOutputStream().write(7);
      assertEquals(responsive.getInputStream().read(), 7);
    }
    unresponsive.close();
    assertEquals(nextEvent(), "server: closed by the other side");
  }

  @Test
  public void timersRunInOrderAndNowIsConstantWithinATurn() throws Exception {
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
    List<String> recorded = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      recorded.add(nextEvent());
    }
    assertEquals(
        recorded,
        List.of("still true", "end", "t0", "t0", "t1", "t1", "t2", "t2", "t3", "t3", "t4", "t4"));
  }

  @Test
  public void refusedAndSurplusConnectionsAreClosedOnce() throws Exception {
    InetSocketAddress server = listen(1, 1000, EchoServer::new);
    InetSocketAddress unboundAddress;
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unboundAddress = (InetSocketAddress) probe.getLocalSocketAddress();
    }
    loop.post(() -> loop.connect(unboundAddress, TIMEOUT, 1000, new EchoServer()));
    assertTrue(nextEvent().startsWith("server: no connection"));
    try (Socket first = new Socket(server.getAddress(), server.getPort())) {
      first.getOutputStream().write(1);
      assertEquals(first.getInputStream().read(), 1);
      try (Socket second = new Socket(server.getAddress(), server.getPort())) {
        assertEquals(second.getInputStream().read(), -1);
      }
    }
    assertEquals(nextEvent(), "server: closed by the other side");
  }

  /** Guards against bytes that are lost, doubled or out of order around a pause. */
  @Test
  public void whatCameWhileReadingWasPausedIsPassedOnAfterwards() throws Exception {
    InetSocketAddress server =
        listen(
            1,
            1 << 20,
            () ->
                new EchoServer() {
                  private int received;

                  /** Takes one byte a call, and pauses after each. */
                  @Override
                  public void received(ByteBuffer bytes) {
                    if (!bytes.hasRemaining()) {
                      return;
                    }
                    received++;
                    connection.append(new byte[] {bytes.get()});
                    connection.pauseReading();
                    if (received % 2 == 0) {
                      loop.post(connection::resumeReading);
                    } else {
                      connection.resumeReading();
                    }
                  }
                });
    byte[] sent = new byte[40_000];
    for (int i = 0; i < sent.length; i++) {
      sent[i] = (byte) (i * 31 >> 3);
    }
    try (Socket client = new Socket(server.getAddress(), server.getPort())) {
      client.getOutputStream().write(sent);
      assertEquals(client.getInputStream().readNBytes(sent.length), sent);
    }
    assertEquals(nextEvent(), "server: closed by the other side");
  }

  @Test
  public void aPartOfAnArrayIsSentWithoutTheRest() throws Exception {
    InetSocketAddress server =
        listen(
            1,
            1 << 20,
            () ->
                new EchoServer() {
                  @Override
                  public void received(ByteBuffer bytes) {
                    byte[] large = new byte[300_000];
                    Arrays.fill(large, 100, 200_100, (byte) 7);
                    connection.append(new byte[] {1});
                    connection.append(large, 100, 200_000);
                    connection.append(new byte[] {2});
                  }
                });
    try (Socket client = new Socket(server.getAddress(), server.getPort())) {
      client.getOutputStream().write(1);
      byte[] expected = new byte[200_002];
      Arrays.fill(expected, (byte) 7);
      expected[0] = 1;
      expected[200_001] = 2;
      assertEquals(client.getInputStream().readNBytes(200_002), expected);
    }
    assertEquals(nextEvent(), "server: closed by the other side");
  }

  /** Guards against a connection that stays open after a fault, and that nobody reads any more. */
  @Test
  public void aListenerThatFailsHasItsConnectionClosed() throws Exception {
    InetSocketAddress server =
        listen(
            1,
            1 << 20,
            () ->
                new EchoServer() {
                  @Override
                  public void received(ByteBuffer bytes) {
                    throw new IllegalStateException("a fault");
                  }
                });
    try (Socket client = new Socket(server.getAddress(), server.getPort())) {
      client.getOutputStream().write(1);
      assertEquals(client.getInputStream().read(), -1);
    }
    assertTrue(nextEvent().startsWith("server: fault of this program"));
    assertEquals(errors.size(), 1);
    errors.clear();
  }

  /** Guards against a loop that goes on with what it left half done for want of memory. */
  @Test
  public void wantOfMemoryEndsTheThread() throws Exception {
    loop.post(
        () ->
            Thread.currentThread()
                .setUncaughtExceptionHandler((thread, fault) -> events.add("ended: " + fault)));
    loop.post(
        () -> {
          throw new OutOfMemoryError("a test");
        });
    assertEquals(nextEvent(), "ended: java.lang.OutOfMemoryError: a test");
  }

  /** Guards against buffers of closed connections that only the garbage collector would free. */
  @Test
  public void buffersOfConnectionsThatWereCutAreUsedAgain() throws Exception {
    InetSocketAddress server =
        listen(
            10,
            1 << 16,
            () ->
                new EchoServer() {
                  @Override
                  public void received(ByteBuffer bytes) {
                    for (int i = 0; i < 8; i++) {
                      connection.reserve(16_000);
                    }
                  }
                });
    int afterFirst = 0;
    for (int i = 0; i < 20; i++) {
      try (Socket client = new Socket(server.getAddress(), server.getPort())) {
        client.getOutputStream().write(1);
        assertTrue(nextEvent().startsWith("server: does not read"));
      }
      loop.post(() -> events.add("buffers " + loop.allocatedBuffers()));
      int now = Integer.parseInt(nextEvent().substring("buffers ".length()));
      afterFirst = i == 0 ? now : afterFirst;
      assertEquals(now, afterFirst);
    }
  }
}
