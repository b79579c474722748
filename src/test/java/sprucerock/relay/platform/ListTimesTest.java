package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.SimulatedNet;

/**
 * How long a relay is without its list: what a silent watch misses counts as told 6 s after it fell
 * silent, and what a new address has 4 s after SIGHUP. On scripted time, with the platform's own
 * constants; 0.3 s are kept for a loop under load.
 */
public class ListTimesTest {
  private static final double AFTER_SILENCE = 6000 - 300;
  private static final double AFTER_SIGNAL = 4000 - 300;
  private static final InetSocketAddress FIRST = new InetSocketAddress("127.0.0.1", 200);
  private static final InetSocketAddress SECOND = new InetSocketAddress("127.0.0.1", 201);
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:100","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"sockets":128},
         "release_api":{"address":"127.0.0.1:500","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
         "known":{"version":4,"full":true,"servers":[]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":300,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":100,"keepalive":3000,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";

  /** What a watch that is asked for meets. */
  private enum Meets {
    REFUSED,
    HANGS,
    SILENT,
    HEAD,
    HALF,
    LIST
  }

  private SimulatedNet net;
  private PlatformRelay serving;
  private Net.Listener listener;
  private final ArrayDeque<Meets> to = new ArrayDeque<>();
  private Connection heard;
  private double toldAt;
  private double nowMs;

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(0, 1);
    nowMs = 0;
    to.clear();
    listen(FIRST);
    net.listen(new InetSocketAddress("127.0.0.1", 500), 100, 1 << 20, Bulletin::new);
    to.add(Meets.LIST);
    serving = new PlatformRelay(config(FIRST), net, 5000, () -> {});
    SimulatedPeers.start(net, serving);
    pass(500);
    toldAt = -1;
  }

  /** The desk's: a sign of life each second, so that only discovery is asked for anew. */
  private final class Bulletin implements ConnectionListener {
    private Connection connection;

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      connection.append(HEAD.getBytes(StandardCharsets.US_ASCII));
      lives();
    }

    private void lives() {
      connection.append(chunk(":\n").getBytes(StandardCharsets.US_ASCII));
      net.at(net.now().plus(TimeSpan.ofMs(1000)), this::lives);
    }

    @Override
    public void closed(String why) {}
  }

  private static PlatformConfig config(InetSocketAddress discovery) throws Exception {
    return PlatformConfig.of(
        Path.of("test"),
        CONFIG.formatted(discovery.getPort()).getBytes(StandardCharsets.UTF_8),
        Map.of());
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private void listen(InetSocketAddress at) throws IOException {
    listener =
        net.listen(
            at,
            100,
            1 << 20,
            () ->
                new ConnectionListener() {
                  private Connection connection;

                  @Override
                  public void connected(Connection made) {
                    connection = made;
                  }

                  @Override
                  public void received(ByteBuffer bytes) {
                    Meets meets = to.poll();
                    next();
                    if (meets == Meets.SILENT || meets == null) {
                      return;
                    }
                    heard = connection;
                    String half =
                        meets == Meets.HEAD
                            ? ""
                            : meets == Meets.HALF
                                ? chunk("{\"version\":5,\"full\":false,\"serv")
                                : chunk("{\"version\":5,\"full\":false,\"servers\":[]}\n");
                    connection.append((HEAD + half).getBytes(StandardCharsets.US_ASCII));
                    if (meets == Meets.LIST) {
                      toldAt = net.now().ms();
                    }
                  }

                  @Override
                  public void closed(String why) {}
                });
  }

  /** What can't be met by a server that listens is set up before it comes: refused, or never up. */
  private void next() {
    net.setConnectsHang(to.peek() == Meets.HANGS);
    if (to.peek() == Meets.REFUSED) {
      listener.close();
    }
  }

  /** Passes time; connections that are refused or hang are counted off as they are begun. */
  private void pass(double ms) throws Exception {
    for (double until = nowMs + ms; nowMs < until; nowMs++) {
      int before = net.connectCount();
      net.pass(1);
      for (int i = before; i < net.connectCount(); i++) {
        Meets peek = to.peek();
        if (peek != Meets.REFUSED && peek != Meets.HANGS) {
          break;
        }
        to.poll();
        if (peek == Meets.REFUSED && to.peek() != Meets.REFUSED) {
          listen(there);
        }
        next();
      }
    }
  }

  private InetSocketAddress there = FIRST;

  @DataProvider
  public Object[][] ways() {
    return new Object[][] {
      {List.of(Meets.LIST)},
      {List.of(Meets.SILENT, Meets.LIST)},
      {List.of(Meets.SILENT, Meets.SILENT, Meets.LIST)},
      {List.of(Meets.HALF, Meets.LIST)},
      {List.of(Meets.HALF, Meets.SILENT, Meets.LIST)},
      {List.of(Meets.SILENT, Meets.HALF, Meets.LIST)},
      {
        List.of(
            Meets.REFUSED, Meets.REFUSED, Meets.REFUSED, Meets.REFUSED, Meets.REFUSED, Meets.LIST)
      },
      {List.of(Meets.HANGS, Meets.HANGS, Meets.HANGS, Meets.LIST)},
      {List.of(Meets.SILENT, Meets.HANGS, Meets.REFUSED, Meets.SILENT, Meets.LIST)},
    };
  }

  /**
   * The watch falls silent behind a whole list, or behind half of one, and so do those that are
   * asked for after it.
   */
  @Test(dataProvider = "ways")
  public void aSilentWatchIsMadeGoodInTime(List<Meets> met) throws Exception {
    for (boolean half : new boolean[] {false, true}) {
      begin();
      String said = half ? "{\"version\":5,\"full\":false,\"serv" : "\n";
      net.turn(() -> heard.append(chunk(said).getBytes(StandardCharsets.US_ASCII)));
      net.settle();
      double silentSince = net.now().ms();
      to.addAll(met);
      next();
      pass(10_000);
      assertTrue(toldAt >= 0, met + " told never");
      assertTrue(
          toldAt - silentSince <= AFTER_SILENCE,
          met + " told after " + (toldAt - silentSince) + " ms");
      assertTrue(to.isEmpty(), "not met: " + to);
    }
  }

  @Test(dataProvider = "ways")
  public void aNewAddressIsHeardInTime(List<Meets> met) throws Exception {
    to.addAll(met);
    there = SECOND;
    try {
      listen(SECOND);
      next();
      PlatformConfig anew = config(SECOND);
      double signal = net.now().ms();
      int before = net.connectCount();
      net.turn(() -> serving.reload(anew));
      if (net.connectCount() > before && (to.peek() == Meets.REFUSED || to.peek() == Meets.HANGS)) {
        Meets first = to.poll();
        if (first == Meets.REFUSED && to.peek() != Meets.REFUSED) {
          listen(there);
        }
        next();
      }
      pass(10_000);
      assertTrue(toldAt >= 0, met + " told never");
      assertTrue(toldAt - signal <= AFTER_SIGNAL, met + " told after " + (toldAt - signal) + " ms");
      assertTrue(to.isEmpty(), "not met: " + to);
    } finally {
      there = FIRST;
    }
  }

  /**
   * Guards against a loop that is late as the silence is over, and gives the whole time once more.
   */
  @Test
  public void aLoopThatIsLateAsTheSilenceIsOverDoesNotWaitForAnother() throws Exception {
    double silentSince = net.now().ms() - 500; // its list came as it began
    to.add(Meets.LIST);
    pass(2400);
    net.stall(200);
    pass(6000);
    assertTrue(
        toldAt - silentSince <= AFTER_SILENCE, "told after " + (toldAt - silentSince) + " ms");
  }

  /**
   * For an agent that begins its answer with its first line, up to two seconds later: each third
   * watch may take the whole silence.
   */
  @Test
  public void ofThreeWatchesThatSayNothingTheThirdIsGivenTheWholeTime() throws Exception {
    int before = net.connectCount();
    pass(7500); // at 8 s since its list came
    assertEquals(net.connectCount() - before, 3); // at 3, 4 and 5 s
    pass(200);
    assertEquals(net.connectCount() - before, 4);
  }
}
