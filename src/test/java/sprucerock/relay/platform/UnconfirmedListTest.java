package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static sprucerock.relay.platform.SimulatedPeers.address;
import static sprucerock.relay.platform.SimulatedPeers.entry;
import static sprucerock.relay.platform.SimulatedPeers.value;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.relay.platform.SimulatedPeers.Client;
import sprucerock.relay.platform.SimulatedPeers.UnitEnd;
import sprucerock.relay.platform.SimulatedPeers.Watch;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.SimulatedNet;

/**
 * A relay whose endpoint list nobody has confirmed: started, or moved to another discovery address,
 * while discovery is silent. Draining endpoints that the list does not know of get nothing.
 */
public class UnconfirmedListTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:100","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"sockets":128},
         "release_api":{"address":"127.0.0.1:500","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
         "known":{"version":4,"full":true,"servers":[%s,%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":3000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":100,"keepalive":3000,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";

  private static final int DISCOVERY = 200;
  private static final int NEXT_DISCOVERY = 201;
  private static final int LAST_DISCOVERY = 202;

  /** How long the relay's process has taken to come to where it connects to discovery. */
  private static final double STARTUP_MS = 1500;

  /** Within 10 s of the process's start it has to be ready. */
  private static final double READY_MS = 10_000 - STARTUP_MS;

  /** After SIGHUP, what a new address has counts as notified by then. */
  private static final double MOVED_MS = 4000;

  private static final double MARGIN_MS = 200;
  private static final List<String> EMPTY = List.of("I", "Z");

  private SimulatedNet net;
  private SimulatedPeers peers;
  private PlatformRelay relay;
  private final List<Watch> first = new ArrayList<>();
  private final List<Watch> next = new ArrayList<>();
  private final List<Watch> last = new ArrayList<>();
  private int ids;

  /** Connections to s-1 so far. */
  private int connectionsToFirst;

  @BeforeMethod
  public void start() throws Exception {
    net = new SimulatedNet(1000, 1);
    peers = new SimulatedPeers(net);
    for (List<Watch> watches : List.of(first, next, last)) {
      watches.clear();
    }
    connectionsToFirst = 0;
    net.listen(
        address(300),
        1000,
        1 << 20,
        () -> {
          connectionsToFirst++;
          return peers.new UnitEnd();
        });
    net.listen(address(301), 1000, 1 << 20, () -> peers.new UnitEnd());
    net.listen(address(500), 40, 1 << 20, () -> peers.new Watch());
    listen(DISCOVERY, first);
    listen(NEXT_DISCOVERY, next);
    listen(LAST_DISCOVERY, last);
    relay = new PlatformRelay(config(DISCOVERY), net, 5000, () -> {});
    SimulatedPeers.start(net, relay, TimeSpan.ofMs(STARTUP_MS));
  }

  private void listen(int port, List<Watch> watches) throws IOException {
    net.listen(
        address(port),
        100,
        1 << 20,
        () -> {
          Watch made = peers.new Watch();
          watches.add(made);
          return made;
        });
  }

  private static PlatformConfig config(int discovery) throws Exception {
    String text =
        CONFIG.formatted(
            discovery, entry("s-1", 300, "SERVING", 7), entry("s-2", 301, "SERVING", 7));
    return PlatformConfig.of(Path.of("test"), text.getBytes(StandardCharsets.UTF_8), Map.of());
  }

  private static void tells(List<Watch> watches, int version, String... entries) {
    Watch watch = watches.get(watches.size() - 1);
    watch.begins();
    watch.chunk(
        "{\"version\":"
            + version
            + ",\"full\":false,\"servers\":["
            + String.join(",", entries)
            + "]}\n");
  }

  private String look() {
    return "SELECT v FROM records WHERE k = 'aa' /* id=" + (++ids) + ",c=look,d=2000 */";
  }

  private boolean isReady() {
    Client client = peers.new Client();
    if (client.closed) {
      return false;
    }
    client.started().asks("");
    return client.got.equals(EMPTY);
  }

  /** A request is rejected, with no attempt. */
  private void assertRejects() {
    int before = peers.asked.size();
    Client client = peers.new Client().started();
    client.asks(look());
    assertEquals(client.got.size(), 2, client.got.toString());
    assertTrue(client.got.get(0).startsWith("error 53300"), client.got.toString());
    assertEquals(peers.asked.size(), before);
  }

  /** A request is served, by an attempt at an endpoint. */
  private void assertServes() {
    int before = peers.asked.size();
    Client client = peers.new Client().started();
    client.asks(look());
    assertEquals(peers.asked.size(), before + 1);
    peers.asked.get(before).says(value("x"));
    assertEquals(client.got, List.of("T", "value x", "C", "Z"));
  }

  private void move(int discovery) throws Exception {
    PlatformConfig anew = config(discovery);
    net.turn(() -> relay.reload(anew));
    net.settle();
  }

  /**
   * Guards against a relay that is started again while discovery is down, by a list from before two
   * endpoints drained, and sends to them.
   */
  @Test
  public void startedWhileDiscoveryIsDownItSendsNothingByTheListOfBefore() {
    for (double waited = 0; waited < READY_MS; waited += MARGIN_MS) {
      Client client = peers.new Client();
      if (!client.closed) {
        client.started().asks(look());
      }
      net.pass(MARGIN_MS);
      assertEquals(peers.asked.size(), 0, "an attempt after " + waited + " ms");
    }
    tells(first, 5, entry("s-1", 300, "DRAINING", 7), entry("s-2", 301, "DRAINING", 7));
    net.pass(MARGIN_MS);
    assertRejects();
    first
        .get(first.size() - 1)
        .chunk(
            "{\"version\":6,\"full\":false,\"servers\":["
                + entry("s-2", 301, "SERVING", 7)
                + "]}\n");
    assertServes();
  }

  /** Guards against connections that wait in the system's queue while no request is read. */
  @Test
  public void noConnectionIsAcceptedBeforeRequestsAreRead() {
    assertFalse(isReady());
    net.pass(MARGIN_MS);
    assertTrue(peers.new Client().closed);
    tells(first, 4);
    assertTrue(isReady());
    assertServes();
  }

  /** Guards against endpoints that a complete list leaves out while it is kept aside as older. */
  @Test
  public void anOlderCompleteListConfirmsOnceItIsApplied() {
    Watch watch = first.get(0);
    watch.begins();
    watch.chunk(
        "{\"version\":3,\"full\":true,\"servers\":[" + entry("s-2", 301, "SERVING", 7) + "]}\n");
    assertFalse(isReady());
    net.pass(1000);
    assertTrue(isReady());
    for (int i = 0; i < 5; i++) {
      assertServes();
    }
    assertEquals(connectionsToFirst, 0, "connections to an endpoint that is gone");
  }

  /** Guards against a relay that waits for as long as discovery is down. */
  @Test
  public void inALongOutageItIsReadyInTimeAndRejects() {
    net.pass(READY_MS);
    assertTrue(isReady());
    assertRejects();
    net.pass(30_000);
    assertTrue(isReady());
    assertRejects();
    tells(first, 4);
    assertServes();
  }

  /** While discovery is down its agent learns nothing: a list that was confirmed once holds. */
  @Test
  public void anOutageAfterTheListWasConfirmedChangesNothing() {
    tells(first, 4);
    net.pass(60_000);
    assertServes();
  }

  /**
   * Guards against a reload that moves discovery to an address that is silent, by whose list
   * endpoints may have drained.
   */
  @Test
  public void movedToASilentAddressItSendsNothingOnceThatCountsAsTold() throws Exception {
    tells(first, 4);
    move(NEXT_DISCOVERY);
    net.pass(MOVED_MS - MARGIN_MS);
    assertServes();
    net.pass(2 * MARGIN_MS);
    assertRejects();
    first.get(0).chunk("{\"version\":5,\"full\":false,\"servers\":[]}\n");
    assertRejects(); // the former address confirms nothing any more
    tells(next, 6, entry("s-1", 300, "DRAINING", 7));
    assertServes();
  }

  /** Guards against reloads in a row, each of which would give the whole time anew. */
  @Test
  public void movedTwiceItsTimeCountsFromTheFirstMove() throws Exception {
    tells(first, 4);
    move(NEXT_DISCOVERY);
    net.pass(MOVED_MS / 2);
    move(LAST_DISCOVERY);
    net.pass(MOVED_MS / 2 - MARGIN_MS);
    assertServes();
    net.pass(2 * MARGIN_MS);
    assertRejects();
    tells(last, 5);
    assertServes();
  }

  @Test
  public void movedToAnAddressThatTellsItServesOn() throws Exception {
    tells(first, 4);
    move(NEXT_DISCOVERY);
    tells(next, 5);
    net.pass(2 * MOVED_MS);
    assertServes();
  }

  /** Nobody's request can have been accepted: it ends at once. */
  @Test
  public void toldToEndBeforeItListensItEnds() {
    List<String> ended = new ArrayList<>();
    net.turn(() -> relay.shutdown(() -> ended.add("ended")));
    net.settle();
    assertEquals(ended, List.of("ended"));
    net.pass(READY_MS);
    assertFalse(isReady());
  }
}
