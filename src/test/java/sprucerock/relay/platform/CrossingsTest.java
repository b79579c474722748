package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.model.Method;
import sprucerock.policy.RoutingPolicy;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RequestOutcome;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.postgres.MessageWriter;

/**
 * Two events that cross, forced on real sockets: a relay's loop is held while both happen, or a
 * peer holds the second back until the first was seen. docs/crossings.md has the whole list.
 */
public class CrossingsTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","limits":{"sockets":%d},
         "release_api":{"address":"%s","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":20000,"hard_limit":LONGEST,"worth":1},
                     {"name":"put","effect":"idempotency_key","on_time":20000,"hard_limit":LONGEST,"window":1500,"worth":2},
                     {"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":LONGEST,"worth":3}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":%d,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";

  private final ConcurrentLinkedQueue<Throwable> broken = new ConcurrentLinkedQueue<>();
  private Peers peers;
  private Peers.Unit one;
  private Peers.Unit two;
  private Peers.Agent discovery;
  private Peers.Agent desk;
  private NioLoop loop;
  private PlatformRelay serving;
  private Peers.Agent.Call watch;
  private int port;
  private int ids;
  private int sockets;
  private int longest;
  private int idle;

  @BeforeMethod
  public void begin() throws Exception {
    peers = new Peers();
    one = peers.new Unit();
    two = peers.new Unit();
    discovery = peers.new Agent();
    desk = peers.new Agent();
    broken.clear();
    sockets = 128;
    longest = 30_000;
    idle = 60_000;
  }

  /** A relay that knows these units, and has its list and a client that was welcomed. */
  private Peers.Agent.Call starts(String... known) throws Exception {
    String text =
        CONFIG
            .replace("LONGEST", "" + longest)
            .formatted(discovery.address(), sockets, desk.address(), String.join(",", known), idle);
    PlatformConfig config =
        PlatformConfig.of(
            Path.of("test"), text.getBytes(StandardCharsets.UTF_8), LoopRelay.ANY_PORT);
    loop = new NioLoop("relay", broken::add);
    LoopRelay started = LoopRelay.start(loop, config, RoutingPolicy::new);
    serving = started.relay();
    Peers.Agent.Call told = discovery.call().begins().list(4, false);
    // guards against a test whose next event comes before the list was read: a watch that has told
    // nothing yet is given up as discovery moves
    Peers.read(told.socket);
    port = started.port();
    return told;
  }

  @AfterMethod
  public void end() throws Exception {
    peers.close();
    if (loop != null) {
      loop.close();
    }
    assertEquals(List.copyOf(broken), List.of());
  }

  /**
   * The loop's thread stands still from now on until it is let go: what comes meanwhile is met in
   * one turn, timers first.
   */
  private CountDownLatch hold() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(standsStill(held, go));
    Peers.await(held, "the loop");
    return go;
  }

  private static Runnable standsStill(CountDownLatch held, CountDownLatch go) {
    return () -> {
      held.countDown();
      try {
        go.await();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    };
  }

  private Peers.Client client() throws Exception {
    return peers.new Client(port).welcomed();
  }

  private String look() {
    return "SELECT v FROM records WHERE k = '00000000000000aa' /* id="
        + (++ids)
        + ",c=look,d=25000 */";
  }

  private String put() {
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
        + (++ids)
        + ",c=put,d=25000,k=55 */";
  }

  /** A client's statement is answered over a connection that is kept from then on. */
  private Peers.Unit.Connection kept(Peers.Unit endpoint) throws Exception {
    Peers.Client client = client();
    client.asks(look());
    Peers.Unit.Query query = endpoint.query();
    query.on().says(Peers.value("first"));
    assertEquals(client.answer(), "value first");
    return query.on();
  }

  // Retries, and connections that go from one request to another.

  /**
   * Guards against a connection that goes to a waiting pick in the moment of its answer, of which a
   * second copy is on its way.
   */
  @Test
  public void aSecondAnswerMeetsAConnectionForWhichAPickWaits() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client first = client();
    Peers.Client second = client();
    first.asks(look());
    Peers.Unit.Query asked = one.query();
    one.holdsWelcomes = true;
    one.accepted.clear();
    second.asks(look());
    Peers.Unit.Connection late = Peers.next(one.accepted, "a second connection");
    CountDownLatch go = hold();
    asked.on().says(Peers.value("mine"));
    Peers.read(asked.on().socket); // read, and not acted on
    asked
        .on()
        .says(Peers.value("mine")); // once more, in the system's hands when the first is acted on
    Peers.delivered(asked.on().socket);
    go.countDown();
    assertEquals(first.answer(), "value mine");
    Peers.await(asked.on().closed, "the end of the spoilt connection");
    late.welcome();
    Peers.Unit.Query other = one.query();
    assertTrue(other.on() == late);
    other.on().says(Peers.value("other"));
    assertEquals(second.answer(), "value other");
  }

  /**
   * The other order: nothing came behind the answer, so the waiting pick gets that connection and
   * need not wait for its own.
   */
  @Test
  public void aConnectionThatStayedSilentBehindItsAnswerGoesToTheWaitingPick() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client first = client();
    Peers.Client second = client();
    first.asks(look());
    Peers.Unit.Query asked = one.query();
    one.holdsWelcomes = true;
    one.accepted.clear();
    second.asks(look());
    Peers.next(one.accepted, "a second connection");
    asked.on().says(Peers.value("mine"));
    assertEquals(first.answer(), "value mine");
    Peers.Unit.Query other = one.query();
    assertTrue(other.on() == asked.on());
    other.on().says(Peers.value("other"));
    assertEquals(second.answer(), "value other");
  }

  /**
   * Guards against a repeat under a token that was chosen within its window and leaves after it, as
   * its connection came up late.
   */
  @Test
  public void aConnectionComesUpAfterTheWindowOfTheRepeatThatWaitsForIt() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    two.holdsWelcomes = true;
    Peers.Client client = client();
    client.asks(put());
    Peers.Unit.Query asked = one.query();
    discovery.calls.clear();
    watch.list(5, false, two.entry("s-2", "SERVING", 7));
    Peers.Client other = client();
    one.asked.clear();
    asked.on().socket.close(); // it may have run, so the repeat is bound to its window
    Peers.Unit.Connection late = Peers.next(two.accepted, "the repeat's connection");
    TimeUnit.MILLISECONDS.sleep(1500); // the window: no longer a wait can make this pass wrongly
    watch.list(6, false, one.entry("s-1", "DRAINING", 7));
    other.asks(look());
    late.welcome();
    Peers.Unit.Query next = two.query();
    assertTrue(next.text().contains("c=look"), next.text());
    assertTrue(client.answer().startsWith("error"));
  }

  private String pay(int ms) {
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
        + (++ids)
        + ",c=pay,d="
        + ms
        + " */";
  }

  /**
   * A client goes, and the connection that its pick waits for comes up behind that: nothing is sent
   * for it.
   */
  @Test
  public void aClientLeavesBeforeTheConnectionThatItsPickWaitsForIsUp() throws Exception {
    leavesWhileItsPickWaits(true);
  }

  /**
   * The other order, in one turn: the statement is on the connection, and has not left the relay.
   */
  @Test
  public void aClientLeavesAsTheConnectionThatItsPickWaitsForIsUp() throws Exception {
    leavesWhileItsPickWaits(false);
  }

  private void leavesWhileItsPickWaits(boolean goesFirst) throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client marker = client();
    one.holdsWelcomes = true;
    Peers.Client gone = client();
    gone.asks(pay(25_000));
    Peers.Unit.Connection late = Peers.next(one.accepted, "a connection");
    Peers.Client stays = client();
    stays.asks(look());
    Peers.Unit.Connection other = Peers.next(one.accepted, "another connection");
    if (goesFirst) {
      goes(gone, marker);
      assertEquals(
          marker.answer(), ""); // written behind the turn in which the client's end was met
      late.welcome();
    } else {
      CountDownLatch go = hold();
      late.welcome();
      Peers.read(late.socket);
      goes(gone, marker);
      go.countDown();
      Peers.await(late.closed, "the end of the connection on which nothing was sent");
      other.welcome();
    }
    Peers.Unit.Query query = one.query();
    assertTrue(query.text().contains("c=look"), query.text());
    query.on().says(Peers.value("stays"));
    assertEquals(stays.answer(), "value stays");
    assertTrue(one.asked.isEmpty());
  }

  /**
   * Its end has come to the relay: the channels' thread meets what came in its order, so it has met
   * that once it has read the marker.
   */
  private void goes(Peers.Client client, Peers.Client marker) throws Exception {
    client.socket.close();
    Peers.closed(client.socket);
    marker.asks("");
    Peers.read(marker.socket);
  }

  /**
   * The time of an RPC is over before the connection that its pick waits for comes up: it has its
   * answer, and nothing is sent.
   */
  @Test
  public void aDeadlineComesWhileThePickWaitsForAConnection() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    one.holdsWelcomes = true;
    Peers.Client late = client();
    late.asks(pay(300));
    Peers.Unit.Connection connection = Peers.next(one.accepted, "a connection");
    assertTrue(late.answer().startsWith("error"));
    connection.welcome();
    Peers.Client next = client();
    next.asks(look());
    Peers.Unit.Query query = one.query();
    assertTrue(query.text().contains("c=look"), query.text());
    query.on().says(Peers.value("next"));
    assertEquals(next.answer(), "value next");
  }

  // Lists.

  /**
   * Guards against a statement that is written to a unit after the relay was told that it drains,
   * as both came in one turn.
   */
  @Test
  public void aUnitDrainsInTheTurnInWhichItWasChosen() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    Peers.Unit.Connection kept = kept(one);
    Peers.Client client = client();
    TimeUnit.MILLISECONDS.sleep(50); // the connection is quiet for long enough to be used
    CountDownLatch go = hold();
    client.asks(look());
    Peers.read(client.socket);
    watch.list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.read(watch.socket);
    go.countDown();
    two.query().on().says(Peers.value("elsewhere"));
    assertEquals(client.answer(), "value elsewhere");
    Peers.await(kept.closed, "the end of the draining unit's connection");
    assertTrue(one.asked.isEmpty());
  }

  /** The other order: the list was there first. */
  @Test
  public void aUnitDrainsInTheTurnBeforeItWouldBeChosen() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    Peers.Unit.Connection kept = kept(one);
    Peers.Client client = client();
    CountDownLatch go = hold();
    watch.list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.read(watch.socket);
    client.asks(look());
    Peers.read(client.socket);
    go.countDown();
    two.query().on().says(Peers.value("elsewhere"));
    assertEquals(client.answer(), "value elsewhere");
    assertTrue(one.asked.isEmpty());
  }

  /** Guards against a unit that is called back and from then on gets a connection for each pick. */
  @Test
  public void aUnitThatDrainedServesAgainOverConnectionsThatAreKept() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    watch.list(5, false, one.entry("s-1", "DRAINING", 7));
    watch.list(6, false, one.entry("s-1", "SERVING", 7));
    Peers.read(watch.socket);
    Peers.Unit.Connection kept = kept(one);
    TimeUnit.MILLISECONDS.sleep(50);
    Peers.Client client = client();
    client.asks(look());
    Peers.Unit.Query again = one.query();
    assertTrue(again.on() == kept);
    again.on().says(Peers.value("again"));
    assertEquals(client.answer(), "value again");
  }

  /**
   * Guards against a watch that is given up as it is silent, while it is the first to tell once
   * discovery is back: until its successor tells, it is heard; and against what it says behind
   * that, which would bring back what the successor took away.
   */
  @Test
  public void aSilentWatchTellsBeforeItsSuccessorDoesAndAfter() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    Peers.Agent.Call successor = discovery.call(); // after three seconds of silence
    assertTrue(successor.head.contains("from=4 "), successor.head);
    watch.list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.read(watch.socket);
    Peers.Client client = client();
    client.asks(look());
    two.query().on().says(Peers.value("two"));
    assertEquals(client.answer(), "value two");
    Peers.read(successor.begins().socket);
    CountDownLatch go = hold();
    successor.list(6, false, two.entry("s-2", "DRAINING", 7), one.entry("s-1", "SERVING", 7));
    Peers.read(successor.socket);
    watch.list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.read(watch.socket);
    go.countDown();
    client.asks(look());
    one.query().on().says(Peers.value("one"));
    assertEquals(client.answer(), "value one");
    Peers.await(watch.closed, "the end of the watch before");
  }

  /** A new address, which does not answer yet, while the old one tells more. */
  @Test
  public void aSignalMovesDiscoveryWhileTheOldWatchStillTells() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    Peers.Agent elsewhere = peers.new Agent();
    String moved =
        CONFIG
            .replace("LONGEST", "" + longest)
            .formatted(elsewhere.address(), sockets, desk.address(), "", idle);
    PlatformConfig anew =
        PlatformConfig.of(
            Path.of("test"), moved.getBytes(StandardCharsets.UTF_8), LoopRelay.ANY_PORT);
    loop.post(() -> serving.reload(anew));
    Peers.Agent.Call next = elsewhere.call();
    watch.list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.read(watch.socket);
    Peers.Client client = client();
    client.asks(look());
    two.query().on().says(Peers.value("two"));
    assertEquals(client.answer(), "value two");
    next.begins().list(5, false, one.entry("s-1", "DRAINING", 7), two.entry("s-2", "SERVING", 7));
    Peers.await(watch.closed, "the end of the old watch");
  }

  // Idle connections.

  /**
   * Guards against a statement on a connection that its unit is about to close, as the loop stood
   * still when its time came.
   */
  @Test
  public void theIdleTimeOfAConnectionEndsWhileTheLoopStandsStill() throws Exception {
    idle = 1500;
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client client = client();
    Peers.Unit.Connection kept = kept(one);
    TimeUnit.MILLISECONDS.sleep(50);
    CountDownLatch go = hold();
    client.asks(look());
    Peers.read(client.socket);
    TimeUnit.MILLISECONDS.sleep(
        1100); // past two thirds: no longer a wait can make this pass wrongly
    go.countDown();
    Peers.Unit.Query fresh = one.query();
    assertFalse(fresh.on() == kept);
    fresh.on().says(Peers.value("fresh"));
    assertEquals(client.answer(), "value fresh");
  }

  /**
   * A unit closes a connection in the turn in which a request comes for it: the request goes over
   * another one, once.
   */
  @Test
  public void aUnitClosesAnIdleConnectionInTheTurnInWhichItWasChosen() throws Exception {
    watch = starts(one.entry("s-1", "SERVING", 7));
    Peers.Client client = client();
    Peers.Client marker = client();
    Peers.Unit.Connection kept = kept(one);
    TimeUnit.MILLISECONDS.sleep(
        50); // quiet for long enough to be used: a shorter wait can only make this pass
    CountDownLatch go = hold();
    client.asks(pay(25_000));
    Peers.read(client.socket);
    watch.list(
        5,
        false,
        two.entry("s-2", "SERVING", 7)); // for the next pick, as each goes to another unit
    Peers.read(watch.socket);
    kept.socket.close();
    Peers.closed(kept.socket);
    marker.asks(""); // as in goes: the close is met before this
    Peers.read(marker.socket);
    go.countDown();
    Peers.Unit.Query query = either();
    assertNotSame(query.on(), kept);
    query.on().says(Peers.value("once"));
    assertEquals(client.answer(), "value once");
    assertTrue(one.asked.isEmpty());
    assertTrue(two.asked.isEmpty());
  }

  private Peers.Unit.Query either() throws InterruptedException {
    return Peers.nextOf(one, two);
  }

  /**
   * The other order: the statement was written first, and may have run: what may run once is not
   * repeated.
   */
  @Test
  public void aUnitClosesAConnectionBehindTheStatement() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client client = client();
    client.asks(pay(25_000));
    one.query().on().socket.close();
    assertEquals(client.answer(), "error 58000");
    assertTrue(one.asked.isEmpty());
  }

  // Shutdown, and closes by the relay.

  /**
   * The relay shuts down, and stands still as its clients' connections begin to close: what comes
   * meanwhile is met behind that. The process would end with {@code ended}: what has not left it by
   * then never does.
   */
  private CountDownLatch shutsDownAndStandsStill(CountDownLatch ended) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(
        () -> {
          loop.at(loop.now().plus(PlatformRelay.ACCEPT_WHILE_ENDING), standsStill(held, go));
          serving.shutdown(
              () -> {
                loop.close();
                ended.countDown();
              });
        });
    Peers.await(held, "the moment at which connections begin to close");
    return go;
  }

  /**
   * Guards against a request that was read, and is dropped as its connection is being closed
   * between two requests.
   */
  @Test
  public void aRequestIsReadAsItsIdleConnectionBeginsToClose() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client client = client();
    client.asks("");
    assertEquals(client.answer(), "");
    CountDownLatch ended = new CountDownLatch(1);
    CountDownLatch go = shutsDownAndStandsStill(ended);
    client.asks(look());
    Peers.read(client.socket);
    go.countDown();
    one.query().on().says(Peers.value("served"));
    assertEquals(client.answer(), "value served");
    assertEquals(client.answer(), "closed");
    Peers.await(ended, "the end");
  }

  /**
   * The other order: the connection was closed, and what comes then was never read, so that it may
   * be asked elsewhere.
   */
  @Test
  public void aConnectionIsClosedBeforeTheRequestComes() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
    Peers.Client client = client();
    client.asks("");
    assertEquals(client.answer(), "");
    CountDownLatch ended = new CountDownLatch(1);
    shutsDownAndStandsStill(ended).countDown();
    assertEquals(client.answer(), "closed");
    Peers.await(ended, "the end");
    assertTrue(one.asked.isEmpty());
  }

  /**
   * Guards against a connection that came as the door closed, and stays when all others have left:
   * it is served once.
   */
  @Test
  public void aClientComesAsTheDoorCloses() throws Exception {
    loop = new NioLoop("relay", broken::add);
    Method look =
        new Method(
            0,
            Method.Idempotency.IDEMPOTENT,
            Method.KeyScope.ALL,
            TimeSpan.ofMs(300),
            TimeSpan.ZERO,
            1,
            false);
    CompletableFuture<Integer> listens = new CompletableFuture<>();
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    ClientListener[] door = new ClientListener[1];
    ClientListener.Owner answers =
        new ClientListener.Owner() {
          @Override
          public void arrived(PlatformRequest asked) {
            asked.client.answer(
                asked, RequestOutcome.OK, TimeSpan.ZERO, MessageWriter.emptyQueryResponse());
          }

          @Override
          public void left(PlatformRequest asked) {}
        };
    loop.post(
        () -> {
          door[0] =
              new ClientListener(
                  loop,
                  new EventLog(loop),
                  answers,
                  Map.of("look", look),
                  new BufferBudget(loop, MemoryLimit.none(), TimeSpan.ZERO),
                  new BufferBudget(loop, MemoryLimit.none(), TimeSpan.ZERO),
                  10,
                  10,
                  1);
          try {
            door[0].start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
          listens.complete(door[0].address().getPort());
        });
    port = listens.get(Peers.LONG, TimeUnit.SECONDS);
    loop.post(
        () -> {
          loop.at(
              loop.now(),
              standsStill(held, go)); // in front of the door's own timers, and of what comes
          door[0].shutdown(TimeSpan.ZERO, TimeSpan.ZERO);
        });
    Peers.await(held, "the loop");
    Peers.Client client = peers.new Client(port);
    client.asks(look());
    Peers.accepted(client.socket);
    go.countDown();
    client.welcomed();
    assertEquals(client.answer(), "");
    assertEquals(client.answer(), "closed");
  }

  // Floods.

  /**
   * Guards against a connection that is closed without a word for want of a place, which its client
   * can't tell from a fault.
   */
  @Test
  public void whoComesWhereAllPlacesAreTakenIsRefusedByTheProtocol() throws Exception {
    sockets = 160;
    int places = 60;
    starts(one.entry("s-1", "SERVING", 7));
    for (int i = 0; i < places; i++) {
      client().asks(look());
    }
    for (int i = 0; i < places; i++) {
      one.query(); // all of them at work
    }
    Peers.Client more = peers.new Client(port);
    String told = more.answer();
    assertEquals(
        told.isEmpty() ? more.answer() : told, "error 53300, closed"); // it may be welcomed before
  }
}
