package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;

/** One answer without end, from a server that tells nothing or comes and goes. */
public class ReconnectingWatchTest {
  private static final InetSocketAddress AT = new InetSocketAddress("127.0.0.1", 200);
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private SimulatedNet net;
  private final List<Connection> asked = new ArrayList<>();
  private final List<String> lost = new ArrayList<>();

  /** What each watch told, in the order in which they were asked for. */
  private final List<StringBuilder> told = new ArrayList<>();

  private int closed;

  @BeforeMethod
  public void begin() {
    net = new SimulatedNet(0, 1);
    asked.clear();
    lost.clear();
    told.clear();
    closed = 0;
  }

  private ReconnectingWatch feed() throws Exception {
    net.listen(
        AT,
        100,
        1 << 20,
        () ->
            new ConnectionListener() {
              @Override
              public void connected(Connection connection) {
                asked.add(connection);
              }

              @Override
              public void received(ByteBuffer bytes) {}

              @Override
              public void closed(String why) {
                closed++;
              }
            });
    ReconnectingWatch feed =
        new ReconnectingWatch(
            net,
            AT,
            TimeSpan.ofMs(3000),
            TimeSpan.ofMs(1000),
            TimeSpan.ofMs(200),
            () -> 0.5,
            new ReconnectingWatch.Reader() {
              @Override
              public ReconnectingWatch.Answer asks() {
                StringBuilder text = new StringBuilder();
                told.add(text);
                return new ReconnectingWatch.Answer() {
                  @Override
                  public String path() {
                    return "/";
                  }

                  @Override
                  public boolean piece(ByteBuffer bytes) {
                    text.append(StandardCharsets.US_ASCII.decode(bytes));
                    return !text.toString().endsWith("(");
                  }
                };
              }

              @Override
              public void lost(String why) {
                lost.add(why);
              }
            });
    net.turn(feed::dial);
    net.settle();
    return feed;
  }

  private String told(int watch) {
    return told.get(watch).toString();
  }

  private void says(int watch, String text) {
    net.turn(() -> asked.get(watch).append(text.getBytes(StandardCharsets.US_ASCII)));
    net.settle();
  }

  /**
   * Guards against a look at a silent watch that is due again at once: it took a processor's time
   * for as long as the silence.
   */
  @Test
  public void silenceIsToldAndAskedAboutOnceInItsTimeAndTwoWatchesAtMostAreOpen() throws Exception {
    feed();
    says(0, HEAD + "1\r\na\r\n");
    net.pass(30_500);
    assertEquals(
        asked.size(),
        1 + 18); // at 3 s; of three in a row that say nothing two have a second, the third has
    // three
    assertEquals(
        lost.size(), 10, lost.size() + " times in half a minute"); // the heard one, every 3 s
    assertEquals(asked.size() - closed, 2);
    says(0, "1\r\nb\r\n"); // the first is heard still
    assertEquals(told(0), "ab");
    int last = asked.size() - 1;
    says(last, HEAD + "1\r\nc\r\n");
    says(0, "1\r\nd\r\n");
    assertEquals(told(0), "ab");
    assertEquals(told(last), "c");
    assertEquals(String.join("", told), "abc"); // no other was heard
    assertEquals(asked.size() - closed, 1);
  }

  /** A heard watch that is lost while its successor is asked for leaves the successor alone. */
  @Test
  public void aLostWatchIsNotAskedForBesideItsSuccessor() throws Exception {
    feed();
    says(0, HEAD + "1\r\na\r\n");
    net.pass(3100);
    assertEquals(asked.size(), 2);
    net.turn(() -> asked.get(0).cut("gone"));
    net.pass(500);
    assertEquals(asked.size(), 2);
    says(1, HEAD + "1\r\nb\r\n");
    assertEquals(told(0) + told(1), "ab");
  }
}
