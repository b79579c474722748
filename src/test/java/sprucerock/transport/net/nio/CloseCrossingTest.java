package sprucerock.transport.net.nio;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/** A connection that closes between two requests as a request comes. */
public class CloseCrossingTest {
  private static final int CONNECTIONS = 3000;
  private static final int CLIENTS = 6;
  private static final int MAX_DELAY_MICROS = 300;
  private static final int SETTLE_MS = 5;

  /** Neither an answer nor an end for so long. */
  private static final int SILENT_MS = 20_000;

  private static final long MAX_SECONDS = 120;

  private enum End {
    ANSWERED,
    READ_AND_CLOSED,
    UNREAD,
    SILENT
  }

  private NioLoop loop;
  private Net.Listener listener;
  private final ScheduledExecutorService closer = Executors.newScheduledThreadPool(2);

  /** Answers each byte, and closes some microseconds behind its first answer unless it is asked. */
  private final class Echo implements ConnectionListener {
    private Connection connection;
    private boolean closing;

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      connection.append(new byte[bytes.remaining()]);
      bytes.position(bytes.limit());
      if (closing) {
        connection.finish();
        return;
      }
      closing = true;
      closer.schedule(
          () -> loop.post(connection::finishUnlessReceived),
          ThreadLocalRandom.current().nextInt(MAX_DELAY_MICROS),
          TimeUnit.MICROSECONDS);
    }

    @Override
    public void closed(String why) {}
  }

  @BeforeMethod
  public void start() throws Exception {
    loop = new NioLoop("closing", Throwable::printStackTrace);
    CountDownLatch listens = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            listener =
                loop.listen(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    CONNECTIONS,
                    1 << 16,
                    Echo::new);
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
          listens.countDown();
        });
    assertTrue(listens.await(MAX_SECONDS, TimeUnit.SECONDS));
  }

  @AfterMethod
  public void end() {
    closer.shutdownNow();
    loop.close();
  }

  /** What a client sees of a second request, which it sends as the connection closes. */
  private End askAsItCloses() throws Exception {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(SILENT_MS);
      socket.setTcpNoDelay(true);
      socket.connect(listener.address());
      socket.getOutputStream().write(1);
      socket.getInputStream().read();
      long until =
          System.nanoTime() + ThreadLocalRandom.current().nextInt(MAX_DELAY_MICROS) * 1000L;
      while (System.nanoTime() < until) {
        Thread.onSpinWait();
      }
      socket.getOutputStream().write(2);
      if (socket.getInputStream().read() >= 0) {
        return End.ANSWERED;
      }
      Thread.sleep(SETTLE_MS);
      socket.getOutputStream().write(3); // fails where the end before it came with bytes unread
      return End.READ_AND_CLOSED;
    } catch (SocketTimeoutException e) {
      return End.SILENT;
    } catch (IOException e) {
      return End.UNREAD;
    }
  }

  /** How many connections ended in which way. */
  private Map<End, Integer> play() throws Exception {
    Map<End, Integer> ends = new ConcurrentHashMap<>();
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  for (int n = 0; n < CONNECTIONS / CLIENTS; n++) {
                    End end = askAsItCloses();
                    ends.merge(end, 1, Integer::sum);
                    if (end == End.SILENT) {
                      break;
                    }
                  }
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                } finally {
                  done.countDown();
                }
              },
              "client " + i);
      thread.setDaemon(true);
      thread.start();
    }
    assertTrue(done.await(MAX_SECONDS, TimeUnit.SECONDS), "the clients do not end");
    return ends;
  }

  /** Guards against a request that is read as its connection closes, and gets no answer. */
  @Test
  public void aRequestThatIsReadAsItsConnectionClosesIsAnswered() throws Exception {
    Map<End, Integer> ends = play();
    assertFalse(ends.containsKey(End.READ_AND_CLOSED), ends.toString());
  }

  /** Guards against events that stay in the channel group's queue while its thread waits. */
  @Test
  public void connectionsAreServedWhileOthersClose() throws Exception {
    Map<End, Integer> ends = play();
    assertFalse(ends.containsKey(End.SILENT), ends.toString());
  }
}
