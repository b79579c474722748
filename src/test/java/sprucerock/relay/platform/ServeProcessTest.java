package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucerock.cli.Commands;

/**
 * A relay as its own process, whose surroundings change while it starts; nothing hangs on how fast.
 */
public class ServeProcessTest {
  private static final String LIST = "{\"version\":4,\"full\":true,\"servers\":[]}\n";

  /** Answers every call with a watch that tells one list; says when it was asked first. */
  private static final class Agent implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final CountDownLatch asked = new CountDownLatch(1);
    private volatile Socket last;

    Agent() throws IOException {
      Thread thread = new Thread(this::serve, "agent");
      thread.setDaemon(true);
      thread.start();
    }

    private void serve() {
      try {
        while (true) {
          Socket taken = server.accept();
          last = taken;
          InputStream in = taken.getInputStream();
          if (in.read() < 0) {
            continue;
          }
          taken
              .getOutputStream()
              .write(
                  ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + Integer.toHexString(LIST.length())
                          + "\r\n"
                          + LIST
                          + "\r\n")
                      .getBytes(StandardCharsets.US_ASCII));
          asked.countDown();
        }
      } catch (IOException e) {
        // closed: nobody is told anything here any more
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
      if (last != null) {
        last.close();
      }
    }
  }

  private static String config(String discovery, String desk, int listen) {
    return """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c","limits":{"sockets":256},"release_api":{"address":"%s","news":{}},
             "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
              "classes":[{"name":"look","effect":"read_like","on_time":300,"worth":1}],
              "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
              "permissions":{"cancel":true,"connect_timeout":100,"keepalive":3000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
              "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
            """
        .formatted(listen, discovery, desk);
  }

  /**
   * No signal comes before a relay is ready: what was replaced until then it has to find by itself.
   */
  @Test
  public void aConfigurationReplacedWithoutASignalIsFoundOnceTheOldAddressesEnd() throws Exception {
    Path file = Files.createTempFile("serve", ".json");
    int listen;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = free.getLocalPort();
    }
    Agent old = new Agent();
    Files.writeString(file, config(old.address(), old.address(), listen));
    ProcessBuilder builder =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "sprucerock.Main",
                    "serve"))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.environment().put("LB_CONFIG", file.toString());
    Process relay = builder.start();
    try (Agent next = new Agent()) {
      assertTrue(old.asked.await(30, TimeUnit.SECONDS), "it never asked where it was told to");
      Files.writeString(file, config(next.address(), next.address(), listen));
      old.close();
      assertTrue(next.asked.await(30, TimeUnit.SECONDS), "it never asked at the new address");
    } finally {
      relay.destroyForcibly();
      old.close();
      Files.delete(file);
    }
  }

  /** Guards against a failure to listen that nobody hears of, as it comes behind the start. */
  @Test
  public void anAddressThatIsTakenEndsItWithItsReason() throws Exception {
    Path file = Files.createTempFile("serve", ".json");
    ServeProcess relay = null;
    try (Agent agent = new Agent();
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Files.writeString(file, config(agent.address(), agent.address(), taken.getLocalPort()));
      relay = ServeProcess.start(file, taken.getLocalPort());
      relay.awaitLog("an address can't be listened at: ");
      assertEquals(relay.awaitExit(), Commands.FAILED);
    } finally {
      if (relay != null) {
        relay.kill();
      }
      Files.delete(file);
    }
  }
}
