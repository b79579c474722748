package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.policy.RoutingPolicy;
import sprucerock.transport.net.nio.NioLoop;

/**
 * Two watches that tell, one before the other, and lists that cross what they change: forced on
 * real sockets by a loop that is held, or a peer that holds one of the two back until the other was
 * read. docs/crossings.md has the whole list.
 */
public class ListCrossingsTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","limits":{"sockets":128},
         "release_api":{"address":"%s","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":20000,"hard_limit":30000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":60000,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";
  private static final int ASKED =
      6; // open together: with both units to choose from, each gets some

  private final ConcurrentLinkedQueue<Throwable> broken = new ConcurrentLinkedQueue<>();
  private Peers peers;
  private Peers.Unit one;
  private Peers.Unit two;
  private Peers.Agent discovery;
  private Peers.Agent elsewhere;
  private Peers.Agent desk;
  private NioLoop loop;
  private PlatformRelay serving;
  private Peers.Agent.Call watch;
  private int port;
  private int ids;

  @BeforeMethod
  public void begin() throws Exception {
    peers = new Peers();
    one = peers.new Unit();
    two = peers.new Unit();
    discovery = peers.new Agent();
    elsewhere = peers.new Agent();
    desk = peers.new Agent();
    broken.clear();
    PlatformConfig config = config(discovery);
    loop = new NioLoop("relay", broken::add);
    LoopRelay started = LoopRelay.start(loop, config, RoutingPolicy::new);
    serving = started.relay();
    watch = discovery.call().begins().list(4, false);
    port = started.port();
    peers.new Client(port).welcomed(); // no client is before the list
  }

  @AfterMethod
  public void end() throws Exception {
    peers.close();
    if (loop != null) {
      loop.close();
    }
    assertEquals(List.copyOf(broken), List.of());
  }

  private String serves(Peers.Unit endpoint) {
    return endpoint.entry(name(endpoint), "SERVING", 7);
  }

  private String drains(Peers.Unit endpoint) {
    return endpoint.entry(name(endpoint), "DRAINING", 7);
  }

  private String gone(Peers.Unit endpoint) {
    return endpoint.entry(name(endpoint), "DELETED", 7);
  }

  private String name(Peers.Unit endpoint) {
    return endpoint == one ? "s-1" : "s-2";
  }

  private PlatformConfig config(Peers.Agent at) throws Exception {
    String text = CONFIG.formatted(at.address(), desk.address(), serves(one) + "," + serves(two));
    return PlatformConfig.of(
        Path.of("test"), text.getBytes(StandardCharsets.UTF_8), LoopRelay.ANY_PORT);
  }

  /** As a signal: discovery is at the new address. */
  private Peers.Agent.Call moves() throws Exception {
    PlatformConfig anew = config(elsewhere);
    loop.post(() -> serving.reload(anew));
    return elsewhere.call();
  }

  /** Its answer's head is read: of one connection a relay reads one piece in a turn. */
  private static void begins(Peers.Agent.Call call) throws Exception {
    Peers.read(call.begins().socket);
  }

  private static String list(int version, boolean full, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}\n";
  }

  /**
   * The loop's thread stands still from now on until it is let go: what comes meanwhile is met in
   * one turn, in its order.
   */
  private CountDownLatch hold() throws InterruptedException {
    return hold(new CountDownLatch(0));
  }

  /** The same, behind what was met during the hold before, which ends with {@code before}. */
  private CountDownLatch hold(CountDownLatch before) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(
        () -> {
          held.countDown();
          try {
            go.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
    before.countDown();
    Peers.await(held, "the loop");
    return go;
  }

  private String look() {
    return "SELECT v FROM records WHERE k = '00000000000000aa' /* id="
        + (++ids)
        + ",c=look,d=25000 */";
  }

  /** As many clients as are to ask at one time. */
  private List<Peers.Client> some() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    for (int i = 0; i < ASKED; i++) {
      clients.add(peers.new Client(port).welcomed());
    }
    return clients;
  }

  /** What was read before this is met before it, held or not. */
  private void ask(List<Peers.Client> clients) throws Exception {
    for (Peers.Client client : clients) {
      client.asks(look());
    }
  }

  /**
   * All that these asked goes to this unit and none to the other. They are open together: the more
   * of them a unit has, the sooner one goes to the other, if that may be chosen.
   */
  private void served(List<Peers.Client> clients, Peers.Unit endpoint) throws Exception {
    served(clients, endpoint, endpoint.query());
  }

  private void served(List<Peers.Client> clients, Peers.Unit endpoint, Peers.Unit.Query first)
      throws Exception {
    Peers.Unit other = endpoint == one ? two : one;
    List<Peers.Unit.Query> queries = new ArrayList<>(List.of(first));
    while (queries.size() < ASKED) {
      queries.add(endpoint.query());
    }
    for (Peers.Unit.Query query : queries) {
      query.on().says(Peers.value("x"));
    }
    for (Peers.Client client : clients) {
      assertEquals(client.answer(), "value x");
    }
    assertTrue(other.asked.isEmpty());
  }

  private void allGoTo(Peers.Unit endpoint) throws Exception {
    List<Peers.Client> clients = some();
    ask(clients);
    served(clients, endpoint);
  }

  /** A connection to this unit that is kept, while both serve. */
  private Peers.Unit.Connection kept(Peers.Unit endpoint) throws Exception {
    List<Peers.Client> clients = some();
    List<Peers.Unit.Query> queries = new ArrayList<>();
    ask(clients);
    while (queries.size() < ASKED) {
      for (Peers.Unit from : List.of(one, two)) {
        Peers.Unit.Query query = from.asked.poll(1, TimeUnit.MILLISECONDS);
        if (query != null) {
          queries.add(query);
        }
      }
    }
    for (Peers.Unit.Query query : queries) {
      query.on().says(Peers.value("x"));
    }
    for (Peers.Client client : clients) {
      assertEquals(client.answer(), "value x");
    }
    for (Peers.Unit.Query query : queries) {
      if (endpoint.accepted.contains(query.on())) {
        return query.on();
      }
    }
    throw new AssertionError("never asked: " + name(endpoint));
  }

  // A new address lists a drain while the old watch still tells.

  /**
   * The old watch's word is the later version and came first: what the new address says drains gets
   * nothing new all the same.
   */
  @Test
  public void aNewAddressListsADrainAfterTheOldWatchSaidThatItServes() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    CountDownLatch go = hold();
    watch.list(6, false, serves(one), serves(two));
    Peers.read(watch.socket);
    next.list(5, true, drains(one), serves(two));
    Peers.read(next.socket);
    go.countDown();
    allGoTo(two);
    Peers.await(watch.closed, "the end of the old watch");
    next.list(6, false, serves(two)); // it has caught up: what it said holds
    Peers.read(next.socket);
    allGoTo(two);
    next.list(7, false, serves(one), drains(two));
    Peers.read(next.socket);
    allGoTo(one);
  }

  /**
   * The other order, in one turn: after the new address nobody hears the old one, whichever version
   * it names.
   */
  @Test
  public void anOldWatchSaysThatAUnitServesAfterTheNewAddressListedItsDrain() throws Exception {
    for (int version : new int[] {4, 5, 6}) {
      Peers.Agent.Call next = moves();
      begins(next);
      CountDownLatch go = hold();
      next.list(5, true, drains(one), serves(two));
      Peers.read(next.socket);
      watch.list(version, true, serves(one), serves(two));
      Peers.read(watch.socket);
      go.countDown();
      allGoTo(two);
      end();
      begin();
    }
  }

  /**
   * The old watch tells a drain, and the new address has an older list still: the unit gets nothing
   * until that has caught up.
   */
  @Test
  public void aNewAddressHasAnOlderListThanTheOldWatchToldADrainBy() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    List<Peers.Client> clients = some();
    CountDownLatch go = hold();
    watch.list(5, false, drains(one));
    Peers.read(watch.socket);
    next.list(4, true, serves(one), serves(two));
    Peers.read(next.socket);
    ask(clients);
    go.countDown();
    served(clients, two);
    next.list(5, false, drains(one));
    Peers.read(next.socket);
    allGoTo(two);
    next.list(6, false, serves(one), drains(two));
    Peers.read(next.socket);
    allGoTo(one);
  }

  /**
   * A drain comes by the old watch while the new address is in the middle of its whole list, which
   * is older.
   */
  @Test
  public void aDrainComesBetweenTwoPiecesOfAWholeList() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    List<Peers.Client> between = some();
    String list = list(4, true, serves(one), serves(two));
    CountDownLatch go = hold();
    next.chunk(list.substring(0, 50));
    Peers.read(next.socket);
    watch.list(5, false, drains(one));
    Peers.read(watch.socket);
    ask(between);
    Peers.read(between.get(ASKED - 1).socket);
    go = hold(go); // the other half comes behind these
    next.chunk(list.substring(50));
    Peers.read(next.socket);
    go.countDown();
    served(between, two);
    Peers.await(watch.closed, "the end of the old watch, as the new address has told its list");
    next.list(5, false, drains(one));
    Peers.read(next.socket);
    allGoTo(two);
  }

  /**
   * The other order: the whole list is told before the drain comes by the old watch, which nobody
   * hears then.
   */
  @Test
  public void aWholeListIsToldBeforeTheOldWatchTellsADrain() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    CountDownLatch go = hold();
    next.list(6, true, drains(one), serves(two));
    Peers.read(next.socket);
    watch.list(5, false, drains(two), serves(one));
    Peers.read(watch.socket);
    go.countDown();
    allGoTo(two);
  }

  // Whole lists and deltas.

  /**
   * A unit is taken away by one watch, and an older whole list of the next has it still: it does
   * not come back.
   */
  @Test
  public void aUnitThatIsGoneDoesNotComeBackByAnOlderWholeList() throws Exception {
    Peers.Unit.Connection keptByTwo = kept(two);
    Peers.Agent.Call next = moves();
    begins(next);
    List<Peers.Client> clients = some();
    CountDownLatch go = hold();
    watch.list(5, false, gone(one));
    Peers.read(watch.socket);
    next.list(4, true, serves(one), serves(two));
    Peers.read(next.socket);
    ask(clients);
    go.countDown();
    served(clients, two);
    next.list(5, false, gone(one));
    Peers.read(next.socket);
    allGoTo(two);
    assertEquals(keptByTwo.closed.getCount(), 1); // what both know was left as it was
  }

  /** The other order: the whole list first, then what changed since, by the same watch. */
  @Test
  public void aUnitIsGoneAfterTheWholeListThatHasIt() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    CountDownLatch go = hold();
    next.chunk(list(4, true, serves(one), serves(two)) + list(5, false, gone(one)));
    Peers.read(next.socket);
    go.countDown();
    allGoTo(two);
  }

  /**
   * A unit is added by one watch, and an older whole list of the next has it not yet: its
   * connections stay.
   */
  @Test
  public void aUnitThatIsNewDoesNotGoByAnOlderWholeList() throws Exception {
    Peers.Unit.Connection kept = kept(one);
    Peers.Agent.Call next = moves();
    begins(next);
    CountDownLatch go = hold();
    watch.list(5, false, drains(two));
    Peers.read(watch.socket);
    next.chunk(list(4, true, serves(two)) + list(5, false, serves(one), drains(two)));
    Peers.read(next.socket);
    go.countDown();
    allGoTo(one);
    assertEquals(kept.closed.getCount(), 1);
  }

  /** One that counts anew never catches up: after a while its list holds, as there is no other. */
  @Test
  public void aListThatCountsAnewHoldsAfterAWhile() throws Exception {
    Peers.Unit.Connection kept = kept(one);
    Peers.Agent.Call next = moves();
    next.begins().list(2, true, serves(two));
    Peers.await(kept.closed, "the end of the connections to the unit that is not listed");
    allGoTo(two);
    next.list(3, false, drains(two), serves(one));
    Peers.read(next.socket);
    allGoTo(one);
  }

  /** As long as it is kept aside, another may be heard instead: then it does not hold at all. */
  @Test
  public void anOlderListOfAWatchThatIsGoneDoesNotHold() throws Exception {
    Peers.Agent.Call next = moves();
    next.begins().list(2, true, serves(one));
    Peers.await(watch.closed, "the end of the old watch");
    next.socket.close();
    elsewhere.call().begins().list(5, true, drains(one), serves(two));
    allGoTo(two);
    TimeUnit.MILLISECONDS.sleep(600); // past the while: a shorter wait can only make this pass
    allGoTo(two);
  }

  // A unit that was restarted, and is cold.

  private String restarted(Peers.Unit endpoint) {
    return serves(endpoint)
        .replace("\"started_ms\":0", "\"started_ms\":" + System.currentTimeMillis());
  }

  /**
   * Told of a start by one watch, the relay gives a cold unit nothing in that moment, though an
   * older list has it as it was.
   */
  @Test
  public void anOlderWholeListDoesNotMakeAColdUnitWarm() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    List<Peers.Client> clients = some();
    CountDownLatch go = hold();
    watch.list(5, false, restarted(one));
    Peers.read(watch.socket);
    next.list(4, true, serves(one), serves(two));
    Peers.read(next.socket);
    ask(clients);
    go.countDown();
    served(clients, two);
  }

  /**
   * The other order: the new address tells of the start, and nobody hears the old watch, which has
   * it as it was.
   */
  @Test
  public void anOldWatchDoesNotMakeAColdUnitWarm() throws Exception {
    Peers.Agent.Call next = moves();
    begins(next);
    List<Peers.Client> clients = some();
    CountDownLatch go = hold();
    next.list(5, true, restarted(one), serves(two));
    Peers.read(next.socket);
    watch.list(6, true, serves(one), serves(two));
    Peers.read(watch.socket);
    ask(clients);
    go.countDown();
    served(clients, two);
  }

  // Silence behind half a list.

  private String half() {
    return "{\"version\":5,\"full\":false,\"servers\":[" + drains(one) + ",";
  }

  /**
   * Half a list, then nothing: asked for anew from what is known whole, and the half is no part of
   * what the successor says.
   */
  @Test
  public void aWatchFallsSilentBehindHalfAList() throws Exception {
    watch.chunk(half());
    Peers.Agent.Call successor = discovery.call();
    assertTrue(successor.head.contains("from=4 "), successor.head);
    successor.begins().list(6, false, drains(two));
    Peers.await(watch.closed, "the end of the silent watch");
    allGoTo(one);
  }

  /** The silent one tells the other half before its successor has told: it is whole, and holds. */
  @Test
  public void theOtherHalfComesBeforeTheSuccessorTells() throws Exception {
    watch.chunk(half());
    Peers.Agent.Call successor = discovery.call();
    begins(successor);
    List<Peers.Client> between = some();
    String list = list(6, false, serves(one));
    CountDownLatch go = hold();
    successor.chunk(list.substring(0, 30));
    Peers.read(successor.socket);
    watch.chunk(serves(two) + "]}\n");
    Peers.read(watch.socket);
    ask(between);
    go.countDown();
    Peers.Unit.Query first = two.query();
    successor.chunk(list.substring(30));
    served(between, two, first);
    Peers.await(watch.closed, "the end of the silent watch");
    successor.list(7, false, drains(two));
    Peers.read(successor.socket);
    allGoTo(one);
  }

  /** The other half comes in the turn behind the successor's list: nobody hears it. */
  @Test
  public void theOtherHalfComesAfterTheSuccessorTold() throws Exception {
    watch.chunk(half());
    Peers.Agent.Call successor = discovery.call();
    begins(successor);
    CountDownLatch go = hold();
    successor.list(6, false, drains(two));
    Peers.read(successor.socket);
    watch.chunk(serves(two) + "]}\n");
    Peers.read(watch.socket);
    go.countDown();
    allGoTo(one);
  }

  /**
   * A successor that ends in the middle of its list leaves the watch before it, which is heard on.
   */
  @Test
  public void aSuccessorEndsWithinItsListAndTheOldWatchTellsOn() throws Exception {
    List<Peers.Client> clients = some();
    Peers.Agent.Call next = moves();
    next.begins().chunk("{\"version\":6,\"full\":true,\"servers\":[");
    Peers.read(next.socket);
    next.socket.close();
    Peers.Agent.Call again = elsewhere.call();
    begins(again);
    CountDownLatch go = hold();
    watch.list(5, false, drains(one));
    Peers.read(watch.socket);
    ask(clients);
    go.countDown();
    Peers.Unit.Query first = two.query();
    again.list(6, true, serves(one), serves(two));
    served(clients, two, first);
    Peers.await(watch.closed, "the end of the old watch");
    again.list(7, false, drains(two));
    Peers.read(again.socket);
    allGoTo(one);
  }

  // Connections that come up for a unit that has left.

  /** Its unit drains, then the connection comes up: it is closed, and nothing is sent on it. */
  @Test
  public void aConnectionComesUpForAUnitThatHasLeft() throws Exception {
    Peers.Client client = peers.new Client(port).welcomed();
    Peers.Unit.Connection late = waitsAtOne(client);
    watch.list(5, false, drains(one), serves(two));
    Peers.read(watch.socket);
    two.query().on().says(Peers.value("two"));
    assertEquals(client.answer(), "value two");
    late.welcome();
    Peers.await(late.closed, "the end of the connection");
    assertTrue(one.asked.isEmpty());
  }

  /**
   * The other order, in one turn: the connection is up and has its statement, which has not left as
   * the list takes its unit.
   */
  @Test
  public void aUnitLeavesInTheTurnInWhichItsConnectionCameUp() throws Exception {
    Peers.Client client = peers.new Client(port).welcomed();
    Peers.Unit.Connection late = waitsAtOne(client);
    CountDownLatch go = hold();
    late.welcome();
    Peers.read(late.socket);
    watch.list(5, false, gone(one), serves(two));
    Peers.read(watch.socket);
    go.countDown();
    two.query().on().says(Peers.value("two"));
    assertEquals(client.answer(), "value two");
    Peers.await(late.closed, "the end of the connection");
    assertTrue(one.asked.isEmpty());
  }

  /**
   * It leaves and is back as it was before its connection is up: the connection is kept, for what
   * comes then.
   */
  @Test
  public void aUnitIsBackBeforeItsConnectionIsUp() throws Exception {
    Peers.Client client = peers.new Client(port).welcomed();
    Peers.Unit.Connection late = waitsAtOne(client);
    CountDownLatch go = hold();
    watch.chunk(list(5, false, drains(one), serves(two)) + list(6, false, serves(one)));
    Peers.read(watch.socket);
    late.welcome();
    Peers.read(late.socket);
    go.countDown();
    two.query().on().says(Peers.value("two"));
    assertEquals(client.answer(), "value two");
    watch.list(7, false, drains(two));
    Peers.read(watch.socket);
    client.asks(look());
    Peers.Unit.Query query = one.query();
    assertTrue(query.on() == late);
    query.on().says(Peers.value("one"));
    assertEquals(client.answer(), "value one");
  }

  /**
   * A statement for which a connection to the first unit is in the making, and not welcomed yet;
   * the other unit is not listed.
   */
  private Peers.Unit.Connection waitsAtOne(Peers.Client client) throws Exception {
    watch.list(4, true, serves(one));
    Peers.read(watch.socket);
    one.holdsWelcomes = true;
    client.asks(look());
    return Peers.next(one.accepted, "a connection");
  }
}
