package sprucerock.transport.net.nio;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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

  /** Whether a second request, sent as the connection closes, was read and not answered. */
  private boolean losesARequest() throws Exception {
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
        return false;
      }
      Thread.sleep(SETTLE_MS);
      socket.getOutputStream().write(3); // fails where the end before it came with bytes unread
      return true;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Guards against a request that is read as its connection closes, and gets no answer. */
  @Test
  public void aRequestThatIsReadAsItsConnectionClosesIsAnswered() throws Exception {
    AtomicInteger lost = new AtomicInteger();
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  for (int n = 0; n < CONNECTIONS / CLIENTS; n++) {
                    lost.addAndGet(losesARequest() ? 1 : 0);
                  }
                  done.countDown();
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              },
              "client " + i);
      thread.setDaemon(true);
      thread.start();
    }
    assertTrue(done.await(MAX_SECONDS, TimeUnit.SECONDS), "the clients do not end");
    assertEquals(lost.get(), 0);
  }
}
