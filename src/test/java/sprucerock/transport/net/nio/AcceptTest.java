package sprucerock.transport.net.nio;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/** How soon a loop accepts connections that have come while it has much else to do. */
public class AcceptTest {
  private static final int CONNECTIONS = 40;

  /** Of several turns. */
  private static final int TASKS = 4000;

  /** More than one turn runs, and much less than all. */
  private static final int TASKS_BEFORE_LOOK = 1500;

  private static final long MAX_SECONDS = 30;

  private final List<Socket> sockets = new ArrayList<>();
  private NioLoop loop;
  private int accepted;

  private final class Counter implements ConnectionListener {
    @Override
    public void connected(Connection connection) {
      accepted++;
    }

    @Override
    public void received(ByteBuffer bytes) {}

    @Override
    public void closed(String why) {}
  }

  @BeforeMethod
  public void start() throws Exception {
    loop = new NioLoop("accepting", Throwable::printStackTrace);
  }

  @AfterMethod
  public void end() throws Exception {
    loop.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Guards against clients that wait to be accepted, one a round of all other tasks. */
  @Test
  public void connectionsThatHaveComeAreAcceptedBeforeTheTasksThatWait() throws Exception {
    CompletableFuture<Net.Listener> listening = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            listening.complete(
                loop.listen(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    CONNECTIONS,
                    1 << 16,
                    Counter::new));
          } catch (Exception e) {
            listening.completeExceptionally(e);
          }
        });
    Net.Listener listener = listening.get(MAX_SECONDS, TimeUnit.SECONDS);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            go.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    for (int i = 0; i < CONNECTIONS; i++) {
      Socket socket = new Socket();
      socket.connect(listener.address());
      sockets.add(socket);
    }
    CompletableFuture<Integer> seen = new CompletableFuture<>();
    for (int i = 0; i < TASKS; i++) {
      int number = i;
      loop.post(
          () -> {
            if (number == TASKS_BEFORE_LOOK) {
              seen.complete(accepted);
            }
          });
    }
    go.countDown();
    assertEquals((int) seen.get(MAX_SECONDS, TimeUnit.SECONDS), CONNECTIONS);
  }
}
