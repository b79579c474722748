package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.model.Attempt;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RoutingPolicy;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.postgres.MessageWriter;

/**
 * What can cross a client's request: its close, its own pieces, the time that is left to it, an
 * answer of another. Forced as in {@link CrossingsTest}: the relay's loop is held while both events
 * happen, or a peer holds the second back until the first was seen.
 */
public class ClientCrossingsTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","limits":{"sockets":128},
         "release_api":{"address":"%s","news":{"build":8,"stage":1,"phase":"PHASE","cap":1.0,"age_ms":100}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":ON_TIME,"hard_limit":30000,"worth":1},
                     {"name":"put","effect":"idempotency_key","on_time":20000,"hard_limit":30000,"window":25000,"worth":2},
                     {"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":30000,"worth":3}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":CANCEL,"connect_timeout":20000,"keepalive":60000,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";
  private static final Pattern ID = Pattern.compile("id=(\\d+),");
  private static final Pattern TOLD = Pattern.compile(",d=(\\d+)");
  private static final int TIME = 25_000;

  /** Requests among which several have a copy while a build is on trial. */
  private static final int ROUNDS_UNTIL_A_COPY = 60;

  /** More than a turn of the loop runs. */
  private static final int TASKS_OF_A_TURN = 1024;

  /** How a client goes. */
  private enum Close {
    CLOSE,
    RESET,
    END_OF_SENDING
  }

  /** An attempt that the module makes. */
  private enum Kind {
    FIRST,
    RETRY,
    REPEAT,
    HEDGE,
    COPY
  }

  private final ConcurrentLinkedQueue<Throwable> broken = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Attempt> chosen = new ConcurrentLinkedQueue<>();
  private Peers peers;
  private Peers.Unit one;
  private Peers.Unit two;
  private NioLoop loop;
  private PlatformRelay serving;
  private Peers.Client marker;
  private int port;
  private int ids;
  private boolean cancel;
  private boolean trial;
  private int onTime;

  @BeforeMethod
  public void begin() throws Exception {
    peers = new Peers();
    one = peers.new Unit();
    two = peers.new Unit();
    broken.clear();
    chosen.clear();
    cancel = true;
    trial = false;
    onTime = 20_000;
  }

  private void starts(String... known) throws Exception {
    Peers.Agent discovery = peers.new Agent();
    String text =
        CONFIG
            .replace("CANCEL", "" + cancel)
            .replace("PHASE", trial ? "Progressing" : "Healthy")
            .replace("ON_TIME", "" + onTime)
            .formatted(discovery.address(), peers.new Agent().address(), String.join(",", known));
    PlatformConfig config =
        PlatformConfig.of(
            Path.of("test"), text.getBytes(StandardCharsets.UTF_8), LoopRelay.ANY_PORT);
    loop = new NioLoop("relay", broken::add);
    LoopRelay started =
        LoopRelay.start(
            loop,
            config,
            (host, settings, seed) -> new RoutingPolicy(watched(host), settings, seed));
    serving = started.relay();
    discovery.call().begins().list(4, false);
    port = started.port();
    marker = client();
  }

  /** Notes each attempt that the module makes, whether or not it begins. */
  private RelayActions watched(RelayActions host) {
    return (RelayActions)
        Proxy.newProxyInstance(
            RelayActions.class.getClassLoader(),
            new Class<?>[] {RelayActions.class},
            (self, method, given) -> {
              if (method.getName().equals("send")) {
                chosen.add((Attempt) given[0]);
              }
              try {
                return method.invoke(host, given);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  private void startsWithOne() throws Exception {
    starts(one.entry("s-1", "SERVING", 7));
  }

  /** The second has the build on trial, where there is one. */
  private void startsWithBoth() throws Exception {
    starts(one.entry("s-1", "SERVING", 7), two.entry("s-2", "SERVING", trial ? 8 : 7));
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
   * The loop's thread stands still within a turn, whose clock stands still too: what comes
   * meanwhile is met in that turn.
   */
  private CountDownLatch hold() throws Exception {
    awaitReadsByLoop();
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(standsStill(held, go));
    Peers.await(held, "the loop");
    return go;
  }

  /**
   * Until the loop has met all that its endpoints have sent by now, such as the answer to the empty
   * query in front of a statement: it reads on only behind that, and nothing while it is held.
   */
  private void awaitReadsByLoop() throws Exception {
    for (Peers.Unit endpoint : List.of(one, two)) {
      for (Peers.Unit.Connection connection : List.copyOf(endpoint.connections)) {
        if (connection.closed.getCount() > 0) {
          Peers.read(connection.socket);
        }
      }
    }
    for (int i = 0; i < 2; i++) {
      TimeUnit.MILLISECONDS.sleep(1); // between the system's read and its completion in the queue
      CountDownLatch met = new CountDownLatch(1);
      loop.post(met::countDown);
      Peers.await(met, "the loop");
    }
  }

  /** The same at a turn's end: the next turn begins with the timers that came due meanwhile. */
  private CountDownLatch holdBetweenTurns() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    loop.post(() -> loop.atTurnsEnd(standsStill(held, go)));
    Peers.await(held, "the loop");
    return go;
  }

  /**
   * Lets a loop go that is held, until it has acted on all that came by now: there it stands still
   * again, in the same turn.
   */
  private CountDownLatch holdBehindWhatCame(CountDownLatch go) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    loop.post(standsStill(held, goOn));
    go.countDown();
    Peers.await(held, "the loop, held again");
    return goOn;
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

  /** Who has asked nothing yet would not be waited for while a test prepares. */
  private Peers.Client client() throws Exception {
    Peers.Client client = peers.new Client(port).welcomed();
    client.asks("");
    assertEquals(client.answer(), "");
    return client;
  }

  private String look() {
    return look(TIME);
  }

  private String look(int ms) {
    return "SELECT v FROM records WHERE k = '00000000000000aa' /* id="
        + (++ids)
        + ",c=look,d="
        + ms
        + " */";
  }

  private String put() {
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
        + (++ids)
        + ",c=put,d="
        + TIME
        + ",k=55 */";
  }

  private static int id(String text) {
    return number(ID, text);
  }

  private static int number(Pattern where, String text) {
    Matcher found = where.matcher(text);
    assertTrue(found.find(), text);
    return Integer.parseInt(found.group(1));
  }

  private Peers.Unit.Query either() throws InterruptedException {
    return Peers.nextOf(one, two);
  }

  private Peers.Unit other(Peers.Unit endpoint) {
    return endpoint == one ? two : one;
  }

  private Peers.Unit endpointOf(Peers.Unit.Query query) {
    return one.connections.contains(query.on()) ? one : two;
  }

  /**
   * Asked by another client, answered by whichever unit is asked: the relay has come past all that
   * was met before.
   */
  private void anotherIsServed(Peers.Client by) throws Exception {
    String text = look();
    by.asks(text);
    Peers.Unit.Query query = either();
    assertEquals(id(query.text()), id(text), "not the statement of the one that stayed");
    query.on().says(Peers.value("stays"));
    assertEquals(by.answer(), "value stays");
  }

  /** Has the unit answered one statement, over a connection that is idle from then on. */
  private Peers.Unit.Connection kept() throws Exception {
    Peers.Client client = client();
    client.asks(look());
    Peers.Unit.Query query = either();
    query.on().says(Peers.value("first"));
    assertEquals(client.answer(), "value first");
    TimeUnit.MILLISECONDS.sleep(
        50); // it is quiet for long enough to be used: a shorter wait can only make a test pass
    return query.on();
  }

  /** Has an idle connection to both. */
  private void keptAtBoth() throws Exception {
    List<Peers.Client> clients = new ArrayList<>();
    List<Peers.Unit.Query> queries = new ArrayList<>();
    while (one.connections.isEmpty() || two.connections.isEmpty()) {
      Peers.Client client = client();
      client.asks(look());
      queries.add(either());
      clients.add(client);
    }
    for (Peers.Unit.Query query : queries) {
      query.on().says(Peers.value("first"));
    }
    for (Peers.Client client : clients) {
      assertEquals(client.answer(), "value first");
    }
    TimeUnit.MILLISECONDS.sleep(50);
  }

  /** On trial, requests go on until one has a copy: from then on each has. */
  private void copiesRun() throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.LONG);
    for (boolean copied = false; !copied; ) {
      assertTrue(System.nanoTime() < until, "never seen: a copy");
      Peers.Client client = client();
      client.asks(look());
      Peers.Unit.Query query = one.query();
      Peers.Unit.Query copy = two.asked.poll(100, TimeUnit.MILLISECONDS);
      copied = copy != null;
      if (copied) {
        copy.on().says(Peers.value("first"));
      }
      query.on().says(Peers.value("first"));
      assertEquals(client.answer(), "value first");
    }
    TimeUnit.MILLISECONDS.sleep(50);
    two.asked.clear();
  }

  /**
   * It goes, and the relay's process has met that, as the channels' thread meets what came in its
   * order.
   */
  private void goes(Peers.Client client, Close how) throws Exception {
    switch (how) {
      case CLOSE -> client.socket.close();
      case RESET -> {
        client.socket.setSoLinger(true, 0);
        client.socket.close();
      }
      case END_OF_SENDING -> client.socket.shutdownOutput();
      default -> throw new AssertionError(how);
    }
    Peers.closed(client.socket);
    marker.asks("");
    Peers.read(marker.socket);
  }

  /** How often a statement of this id came to units, whole; the relay is gone after this. */
  private long times(int id) throws Exception {
    loop.close();
    long count = 0;
    for (Peers.Unit endpoint : List.of(one, two)) {
      for (Peers.Unit.Connection each : new ArrayList<>(endpoint.connections)) {
        Peers.await(each.closed, "the end of a unit's connection");
      }
      count += endpoint.seen.stream().filter(text -> id(text) == id).count();
    }
    return count;
  }

  @DataProvider
  public Object[][] closes() {
    List<Object[]> all = new ArrayList<>();
    for (Close how : Close.values()) {
      for (boolean may : new boolean[] {true, false}) {
        all.add(new Object[] {how, may});
      }
    }
    return all.toArray(new Object[0][]);
  }

  // A client's close.

  /**
   * Guards against a request that is sent on although its client's close was met in the same turn,
   * also where nothing may be cancelled.
   */
  @Test(dataProvider = "closes")
  public void aRequestAndItsClientsCloseComeInOneTurn(Close how, boolean mayCancel)
      throws Exception {
    cancel = mayCancel;
    startsWithOne();
    Peers.Client stays = client();
    Peers.Client gone = client();
    kept();
    String text = look();
    CountDownLatch go = hold();
    gone.asks(text);
    Peers.read(gone.socket);
    goes(gone, how);
    go.countDown();
    anotherIsServed(stays);
    assertEquals(times(id(text)), 0);
  }

  /**
   * Guards against a request that is sent on as a turn's last task, in front of its client's close.
   */
  @Test
  public void aRequestIsTheLastTaskOfATurnBeforeItsClientsClose() throws Exception {
    startsWithOne();
    Peers.Client stays = client();
    Peers.Client gone = client();
    kept();
    String text = look();
    CountDownLatch go = hold();
    gone.asks(text);
    Peers.read(gone.socket);
    goes(gone, Close.CLOSE);
    for (int i = 0; i < TASKS_OF_A_TURN; i++) {
      loop.post(() -> {});
    }
    go.countDown();
    anotherIsServed(stays);
    assertEquals(times(id(text)), 0);
  }

  /**
   * The same while a build is on trial, for as many requests as bring copies: nothing is chosen for
   * any of them.
   */
  @Test
  public void aRequestThatWouldHaveACopyAndItsClientsCloseComeInOneTurn() throws Exception {
    trial = true;
    startsWithBoth();
    copiesRun();
    int first = ids + 1;
    chosen.clear();
    for (int i = 0; i < ROUNDS_UNTIL_A_COPY; i++) { // the build has room for one now and then
      Peers.Client gone = client();
      CountDownLatch go = hold();
      gone.asks(look());
      Peers.read(gone.socket);
      goes(gone, Close.CLOSE);
      go.countDown();
      assertEquals(marker.answer(), "");
    }
    assertEquals(List.copyOf(chosen), List.of());
    for (int id = first; id <= ids; id++) {
      assertEquals(times(id), 0);
    }
  }

  @DataProvider
  public Object[][] closesInBothOrders() {
    List<Object[]> all = new ArrayList<>();
    for (Close how : Close.values()) {
      for (boolean first : new boolean[] {true, false}) {
        all.add(new Object[] {how, first});
      }
    }
    return all.toArray(new Object[0][]);
  }

  /**
   * Guards against a command that is taken up from behind another one although its client's close
   * was met in that turn.
   */
  @Test(dataProvider = "closesInBothOrders")
  public void aClientGoesAsTheAnswerComesBehindWhichItsNextRequestWaits(
      Close how, boolean goesFirst) throws Exception {
    startsWithOne();
    Peers.Client stays = client();
    Peers.Client gone = client();
    String first = look();
    String second = look();
    gone.asks(first, second);
    Peers.Unit.Query query = one.query();
    CountDownLatch go = hold();
    if (goesFirst) {
      goes(gone, how);
    }
    query.on().says(Peers.value("first"));
    Peers.read(query.on().socket);
    if (!goesFirst) {
      goes(gone, how);
    }
    go.countDown();
    anotherIsServed(stays);
    assertEquals(times(id(second)), 0);
  }

  @DataProvider
  public Object[][] furtherAttempts() {
    List<Object[]> all = new ArrayList<>();
    for (Kind kind : List.of(Kind.RETRY, Kind.REPEAT)) {
      for (boolean first : new boolean[] {true, false}) {
        for (boolean may : new boolean[] {true, false}) {
          all.add(new Object[] {kind, first, may});
        }
      }
    }
    return all.toArray(new Object[0][]);
  }

  /**
   * What ends the first attempt so that another is made: turned away; broken, with a token that
   * lets it be repeated.
   */
  private static void fails(Peers.Unit.Query query, Kind kind) throws Exception {
    if (kind == Kind.RETRY) {
      query
          .on()
          .says(
              MessageWriter.errorResponse("ERROR", "53300", "full", null),
              MessageWriter.readyForQuery());
      Peers.read(query.on().socket);
    } else {
      query.on().socket.close();
      Peers.closed(query.on().socket);
    }
  }

  /**
   * Guards against a further attempt that begins although its client's close was met in the turn in
   * which it was chosen.
   */
  @Test(dataProvider = "furtherAttempts")
  public void aClientGoesAsAFurtherAttemptIsChosen(Kind kind, boolean goesFirst, boolean mayCancel)
      throws Exception {
    cancel = mayCancel;
    startsWithBoth();
    Peers.Client stays = client();
    keptAtBoth();
    Peers.Client gone = client();
    String text = kind == Kind.RETRY ? look() : put();
    gone.asks(text);
    Peers.Unit.Query query = either();
    CountDownLatch go = hold();
    if (goesFirst) {
      goes(gone, Close.CLOSE);
    }
    fails(query, kind);
    if (!goesFirst) {
      goes(gone, Close.CLOSE);
    }
    go.countDown();
    anotherIsServed(stays);
    assertEquals(times(id(text)), 1);
  }

  @DataProvider
  public Object[][] mayCancel() {
    return new Object[][] {{true}, {false}};
  }

  /**
   * The same with a hedge: its time comes as the loop stands still, in front of its client's close.
   */
  @Test(dataProvider = "mayCancel")
  public void aClientGoesAsAHedgeIsDue(boolean mayCancel) throws Exception {
    cancel = mayCancel;
    onTime = 6000; // a hedge after half of it
    startsWithBoth();
    keptAtBoth();
    Peers.Client gone = client();
    String text = look();
    gone.asks(text);
    either();
    CountDownLatch go = holdBetweenTurns();
    goes(gone, Close.CLOSE);
    TimeUnit.MILLISECONDS.sleep(3200); // past its time: no longer a wait can make this pass wrongly
    go.countDown();
    assertEquals(marker.answer(), "");
    assertEquals(times(id(text)), 1);
  }

  @DataProvider
  public Object[][] waitingAttempts() {
    List<Object[]> all = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (boolean first : new boolean[] {true, false}) {
        all.add(new Object[] {kind, first});
      }
    }
    return all.toArray(new Object[0][]);
  }

  /**
   * An attempt of a kind whose connection is up as the test says so. What it belongs to is asked by
   * the client. Returns the connection; the first attempt, where it is not the one that waits, is
   * at its unit.
   */
  private Peers.Unit.Connection waits(Kind kind, Peers.Client client, String text)
      throws Exception {
    if (kind == Kind.COPY) {
      copiesRun();
      two.connections.get(0).socket.close(); // so that the next copy needs one
      Peers.closed(two.connections.get(0).socket);
      marker.asks("");
      assertEquals(marker.answer(), "");
    }
    one.accepted.clear();
    two.accepted.clear();
    one.holdsWelcomes = kind == Kind.FIRST;
    two.holdsWelcomes = kind == Kind.COPY;
    client.asks(text);
    if (kind == Kind.FIRST) {
      return Peers.next(one.accepted, "a connection");
    }
    if (kind == Kind.COPY) {
      one.query();
      return Peers.next(two.accepted, "the copy's connection");
    }
    Peers.Unit.Query query = either();
    Peers.Unit further = other(endpointOf(query));
    further.holdsWelcomes = true;
    if (kind != Kind.HEDGE) {
      fails(query, kind);
    }
    return Peers.next(further.accepted, "the further attempt's connection");
  }

  private void startsFor(Kind kind) throws Exception {
    trial = kind == Kind.COPY;
    if (kind == Kind.HEDGE) {
      onTime = 2000;
    }
    if (kind == Kind.FIRST) {
      startsWithOne();
    } else {
      startsWithBoth();
    }
  }

  /**
   * Guards against an attempt of any kind that begins behind its client's close, as the connection
   * it waited for comes up.
   */
  @Test(dataProvider = "waitingAttempts")
  public void aClientGoesWhileAnAttemptWaitsForItsConnection(Kind kind, boolean goesFirst)
      throws Exception {
    cancel = false; // so that it is not taken out of the queue: it must not begin all the same
    startsFor(kind);
    Peers.Client gone = client();
    String text = kind == Kind.REPEAT ? put() : look();
    Peers.Unit.Connection late = waits(kind, gone, text);
    if (goesFirst) {
      goes(gone, Close.CLOSE);
      assertEquals(marker.answer(), "");
      late.welcome();
      Peers.read(late.socket);
    } else {
      CountDownLatch go = hold();
      late.welcome();
      Peers.read(late.socket);
      goes(gone, Close.CLOSE);
      go.countDown();
      assertEquals(marker.answer(), "");
    }
    marker.asks("");
    assertEquals(marker.answer(), ""); // written behind the turn in which the welcome was met
    assertEquals(times(id(text)), kind == Kind.FIRST ? 0 : 1);
  }

  // The time that is told.

  /**
   * Guards against a unit that is told more time than is left, as the loop stood still between the
   * choice and the writing.
   */
  @Test
  public void theLoopStandsStillAfterAFirstAttemptWasChosen() throws Exception {
    startsWithOne();
    kept();
    Peers.Client client = client();
    CountDownLatch go = hold();
    client.asks(look());
    Peers.read(client.socket);
    toldAtMostWhatIsLeft(System.nanoTime(), go);
  }

  /** The same with a further attempt. */
  @Test
  public void theLoopStandsStillAfterAFurtherAttemptWasChosen() throws Exception {
    startsWithBoth();
    keptAtBoth();
    Peers.Client client = client();
    client.asks(look());
    Peers.Unit.Query query = either();
    long arrived = System.nanoTime();
    CountDownLatch go = hold();
    fails(query, Kind.RETRY);
    toldAtMostWhatIsLeft(arrived, go);
  }

  /** The same with one that waited for a connection. */
  @Test
  public void theLoopStandsStillAfterAConnectionWasUp() throws Exception {
    startsFor(Kind.RETRY);
    Peers.Client client = client();
    Peers.Unit.Connection late = waits(Kind.RETRY, client, look());
    long arrived = System.nanoTime();
    CountDownLatch go = hold();
    late.welcome();
    Peers.read(late.socket);
    toldAtMostWhatIsLeft(arrived, go);
  }

  /** Guards against a time that counts from when a loop that stood still met the request. */
  @Test
  public void theLoopStandsStillAsARequestComes() throws Exception {
    startsWithOne();
    kept();
    Peers.Client client = client();
    CountDownLatch go = holdBetweenTurns();
    client.asks(look());
    Peers.read(client.socket);
    long arrived = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(400); // a longer one leaves less
    long met = System.nanoTime();
    go.countDown();
    int told = number(TOLD, either().text());
    long left = TIME - TimeUnit.NANOSECONDS.toMillis(met - arrived);
    assertTrue(told <= left, told + " ms were told, and at most " + left + " were left");
  }

  /** Its time is over between the choice and the writing: nothing is sent. */
  @Test
  public void theTimeOfAnAttemptIsOverBeforeItIsWritten() throws Exception {
    startsWithOne();
    kept();
    Peers.Client stays = client();
    Peers.Client client = client();
    CountDownLatch go = hold();
    String text = look(1000);
    client.asks(text);
    Peers.read(client.socket);
    CountDownLatch goOn = holdBehindWhatCame(go);
    TimeUnit.MILLISECONDS.sleep(1100);
    goOn.countDown();
    assertEquals(client.answer(), "error 53300");
    anotherIsServed(stays);
    assertEquals(times(id(text)), 0);
  }

  /**
   * The request had arrived by then, and its next attempt is about to be chosen by a loop that is
   * held.
   */
  private void toldAtMostWhatIsLeft(long arrived, CountDownLatch go) throws Exception {
    CountDownLatch goOn = holdBehindWhatCame(go);
    TimeUnit.MILLISECONDS.sleep(400); // a longer one leaves less
    long written = System.nanoTime();
    goOn.countDown();
    int told = number(TOLD, either().text());
    long left = TIME - TimeUnit.NANOSECONDS.toMillis(written - arrived);
    assertTrue(told <= left, told + " ms were told, and at most " + left + " were left");
  }

  // Answers.

  /**
   * Guards against a second copy of an answer that is taken for that of a request which comes in
   * the same turn.
   */
  @Test
  public void aSecondAnswerComesInTheTurnInWhichItsConnectionIsChosenAgain() throws Exception {
    secondAnswer(MessageWriter.concat(Peers.value("stale")));
  }

  /** The same, of which the first bytes come then. */
  @Test
  public void halfASecondAnswerComesInTheTurnInWhichItsConnectionIsChosenAgain() throws Exception {
    secondAnswer(Arrays.copyOf(MessageWriter.concat(Peers.value("stale")), 3));
  }

  private void secondAnswer(byte[] bytes) throws Exception {
    startsWithOne();
    Peers.Client client = client();
    Peers.Unit.Connection kept = kept();
    CountDownLatch go = hold();
    client.asks(
        "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
            + (++ids)
            + ",c=pay,d="
            + TIME
            + " */");
    Peers.read(client.socket);
    kept.says(bytes);
    Peers.read(kept.socket);
    go.countDown();
    Peers.await(kept.closed, "the end of the spoilt connection");
    Peers.Unit.Query query = one.query(); // on another connection
    assertNotSame(query.on(), kept);
    query.on().says(Peers.value("its own"));
    assertEquals(client.answer(), "value its own");
    assertEquals(times(ids), 1);
  }

  /**
   * An answer is met in a turn whose clock stood before the deadline: it is the answer, and the
   * time-out finds nobody.
   */
  @Test
  public void anAnswerComesInFrontOfItsTimeOut() throws Exception {
    answerAndTimeOut(true);
  }

  /** The other order: the time-out is the end, and the answer finds nobody. */
  @Test
  public void anAnswerComesBehindItsTimeOut() throws Exception {
    answerAndTimeOut(false);
  }

  private void answerAndTimeOut(boolean answerFirst) throws Exception {
    startsWithOne();
    Peers.Client client = client();
    client.asks(look(3000));
    Peers.Unit.Query query = one.query();
    CountDownLatch go = answerFirst ? hold() : holdBetweenTurns();
    query.on().says(Peers.value("late"));
    Peers.read(query.on().socket);
    TimeUnit.MILLISECONDS.sleep(3100); // past its time: no longer a wait can make this pass wrongly
    client.asks("");
    go.countDown();
    assertEquals(client.answer(), answerFirst ? "value late" : "error 53300");
    assertEquals(client.answer(), ""); // nothing between
    if (!answerFirst) {
      Peers.await(query.on().closed, "the end of the connection that was waited for too long");
    }
    anotherIsServed(client);
  }

  // Requests in pieces.

  /**
   * Guards against a reader that needs a boundary to fall somewhere: the welcome and the statement
   * are cut at each byte.
   */
  @Test
  public void aStatementCutAtEachByteIsServedWhole() throws Exception {
    startsWithOne();
    byte[] startup = MessageWriter.startupMessage("svc", "main");
    for (int cut = 1; cut < startup.length; cut++) {
      Peers.Client client = peers.new Client(port, Arrays.copyOf(startup, cut));
      Peers.read(client.socket);
      client.sends(Arrays.copyOfRange(startup, cut, startup.length));
      client.welcomed();
      client.socket.close();
    }
    Peers.Client client = client();
    int length = MessageWriter.query(look().getBytes(StandardCharsets.US_ASCII)).length;
    for (int cut = 1; cut < length; cut++) {
      String text = look(TIME).replace("id=", "id=" + "0".repeat(8 - ("" + ids).length()));
      byte[] query = MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII));
      length = query.length;
      client.sends(Arrays.copyOf(query, cut));
      Peers.read(client.socket);
      client.sends(Arrays.copyOfRange(query, cut, query.length));
      Peers.Unit.Query asked = one.query();
      assertEquals(asked.text().replaceAll(",d=\\d+", ",d=" + TIME), text);
      asked.on().says(Peers.value("v" + cut));
      assertEquals(client.answer(), "value v" + cut);
    }
  }

  @DataProvider
  public Object[][] eachClose() {
    return new Object[][] {{Close.CLOSE}, {Close.RESET}, {Close.END_OF_SENDING}};
  }

  /** Half a statement is no request: nothing is sent, and nobody is kept from being served. */
  @Test(dataProvider = "eachClose")
  public void aClientGoesBetweenTwoPieces(Close how) throws Exception {
    startsWithOne();
    Peers.Client stays = client();
    Peers.Client gone = client();
    String text = look();
    byte[] query = MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII));
    gone.sends(Arrays.copyOf(query, query.length - 1));
    Peers.read(gone.socket);
    goes(gone, how);
    assertEquals(marker.answer(), "");
    anotherIsServed(stays);
    assertEquals(times(id(text)), 0);
  }

  /**
   * Guards against a statement whose last piece lies there as a loop that stood still looks at who
   * takes too long over a message.
   */
  @Test
  public void theLoopStandsStillWhileTheRestOfAStatementComes() throws Exception {
    startsWithOne();
    Peers.Client client = client();
    byte[] query = MessageWriter.query(look().getBytes(StandardCharsets.US_ASCII));
    client.sends(Arrays.copyOf(query, query.length - 1));
    Peers.read(client.socket);
    marker.asks("");
    assertEquals(marker.answer(), ""); // acted on
    CountDownLatch go = holdBetweenTurns();
    client.sends(Arrays.copyOfRange(query, query.length - 1, query.length));
    Peers.read(client.socket);
    TimeUnit.MILLISECONDS.sleep(
        2500); // past the patience of two seconds: no longer a wait can make this pass wrongly
    go.countDown();
    one.query().on().says(Peers.value("whole"));
    assertEquals(client.answer(), "value whole");
  }

  /** The same with one that came and asked while the loop stood still. */
  @Test
  public void theLoopStandsStillWhileTheFirstStatementOfAConnectionComes() throws Exception {
    startsWithOne();
    Peers.Client client = peers.new Client(port).welcomed();
    CountDownLatch go = holdBetweenTurns();
    client.asks(look());
    Peers.read(client.socket);
    TimeUnit.MILLISECONDS.sleep(2500);
    go.countDown();
    one.query().on().says(Peers.value("first"));
    assertEquals(client.answer(), "value first");
  }

  // Shutdown.

  @DataProvider
  public Object[][] kinds() {
    return Arrays.stream(Kind.values()).map(kind -> new Object[] {kind}).toArray(Object[][]::new);
  }

  /**
   * An attempt of each kind is out, or waits for its connection, as the relay is told to end: its
   * client has that answer.
   */
  @Test(dataProvider = "kinds")
  public void theRelayEndsWhileAnAttemptWaitsForItsConnection(Kind kind) throws Exception {
    startsFor(kind);
    Peers.Client client = client();
    String text = kind == Kind.REPEAT ? put() : look();
    Peers.Unit.Connection late = waits(kind, client, text);
    CountDownLatch told = new CountDownLatch(1);
    CountDownLatch ended = new CountDownLatch(1);
    loop.post(
        () -> {
          serving.shutdown(ended::countDown);
          told.countDown();
        });
    Peers.await(told, "the shutdown");
    late.welcome();
    Peers.Unit.Query query = either();
    assertTrue(query.on() == late, "another connection");
    query.on().says(Peers.value("last"));
    assertEquals(client.answer(), "value last");
    assertEquals(client.answer(), "closed");
    Peers.await(ended, "the end");
    assertEquals(times(id(text)), kind == Kind.FIRST ? 1 : 2);
  }
}
