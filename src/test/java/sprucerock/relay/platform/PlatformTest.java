package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static sprucerock.relay.platform.SimulatedPeers.address;
import static sprucerock.relay.platform.SimulatedPeers.entry;
import static sprucerock.relay.platform.SimulatedPeers.value;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.config.ConfigException;
import sprucerock.model.Settings;
import sprucerock.relay.platform.SimulatedPeers.Client;
import sprucerock.relay.platform.SimulatedPeers.UnitEnd;
import sprucerock.relay.platform.SimulatedPeers.Watch;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Datagrams;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.postgres.MessageWriter;

/**
 * A relay on the platform, with the module that decides, among clients, units, discovery and a desk
 * of a few lines each.
 */
public class PlatformTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:100","discovery":"127.0.0.1:200","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
         "peer_listen":"127.0.0.1:400","peers":["127.0.0.1:400","127.0.0.1:401"],"peers_all":"127.0.0.1:499",
         "release_api":{"address":"127.0.0.1:%d","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":2,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":300,"worth":1},
                     {"name":"put","effect":"idempotency_key","on_time":300,"window":2000,"worth":2},
                     {"name":"pay","effect":"non_idempotent","on_time":300,"worth":3}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":100,"keepalive":3000,"max_retry_after":500,"peers":true,"retry_after":true,
           "second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}""";

  private SimulatedNet net;
  private SimulatedPeers peers;
  private PlatformRelay serving;
  private final List<Watch> discovery = new ArrayList<>();
  private final List<Watch> desk = new ArrayList<>();
  private int ids;

  private static PlatformConfig config(int sockets, int deskPort, String servers)
      throws IOException, ConfigException {
    Path file = Files.createTempFile("platform", ".json");
    try {
      Files.writeString(file, CONFIG.formatted(sockets, deskPort, servers));
      return PlatformConfig.read(Map.of("LB_CONFIG", file.toString()));
    } finally {
      Files.delete(file);
    }
  }

  private int settingsAsked;

  @BeforeMethod
  public void start() throws Exception {
    net = new SimulatedNet(1000, 1);
    peers = new SimulatedPeers(net);
    discovery.clear();
    desk.clear();
    settingsAsked = 0;
    for (int port : new int[] {300, 301}) {
      net.listen(address(port), 1000, 1 << 20, () -> peers.new UnitEnd());
    }
    net.listen(address(200), 10, 1 << 20, () -> keep(discovery));
    net.listen(address(500), 40, 1 << 20, () -> keep(desk));
    serving =
        new PlatformRelay(
            config(
                128, 500, entry("s-1", 300, "SERVING", 7) + "," + entry("s-2", 301, "SERVING", 7)),
            net,
            5000,
            () -> settingsAsked++);
    SimulatedPeers.start(net, serving);
    discovery.get(0).begins();
    discovery.get(0).chunk("{\"version\":4,\"full\":false,\"servers\":[]}\n");
    desk.get(0).begins();
  }

  private Watch keep(List<Watch> in) {
    Watch made = peers.new Watch();
    in.add(made);
    return made;
  }

  private String look(double ms) {
    return "SELECT v FROM records WHERE k = '00000000000000aa' /* id="
        + (++ids)
        + ",c=look,d="
        + (int) ms
        + " */";
  }

  private String pay(double ms) {
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
        + (++ids)
        + ",c=pay,d="
        + (int) ms
        + " */";
  }

  private UnitEnd last() {
    return peers.asked.get(peers.asked.size() - 1);
  }

  private static final List<String> EMPTY = List.of("I", "Z");

  private static List<String> served(String value) {
    return List.of("T", "value " + value, "C", "Z");
  }

  @Test
  public void anEmptyQueryShowsThatItServes() {
    Client client = peers.new Client().started();
    client.asks("");
    assertEquals(client.got, EMPTY);
  }

  @Test
  public void aStatementGoesToAUnitUnchangedButForTheTimeAndItsValueComesBack() {
    Client client = peers.new Client();
    String text = look(900);
    client.sends(
        MessageWriter.startupMessage("svc", "main"),
        MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII))); // right behind
    client.got.clear();
    assertEquals(last().query.replaceAll(",d=[0-9]+", ",d=900"), text);
    last().says(value("nine"));
    assertEquals(client.got, served("nine"));
    client.asks(look(900));
    net.pass(30);
    last().says(value("ten"));
    assertEquals(client.got.subList(4, 8), served("ten"));
  }

  @Test
  public void commandsOneBehindAnotherAreAnsweredInOrder() {
    Client client = peers.new Client().started();
    client.sends(
        MessageWriter.query(look(900).getBytes(StandardCharsets.US_ASCII)),
        MessageWriter.query(new byte[0]),
        MessageWriter.query(look(900).getBytes(StandardCharsets.US_ASCII)));
    assertEquals(peers.asked.size(), 1);
    last().says(value("one"));
    assertEquals(peers.asked.size(), 2);
    last().says(value("two"));
    assertEquals(
        client.got, List.of("T", "value one", "C", "Z", "I", "Z", "T", "value two", "C", "Z"));
  }

  @Test
  public void whatCannotBeServedGetsAnErrorAndTheConnectionGoesOn() {
    Client client = peers.new Client().started();
    for (String bad :
        new String[] {
          "SELECT 1",
          "SELECT v FROM records WHERE k = 'aa'",
          "SELECT v FROM records WHERE k = 'aa' /* c=look,d=5 */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,c=none,d=5 */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,c=look,d=soon */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,c=look,d=-5 */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,c=look,d=0 */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,id=2,c=look,d=5 */",
          "SELECT v FROM records WHERE k = 'aa' /* id=1,c=put,d=5 */",
          "SELECT v FROM records WHERE k = 'aa'; DROP /* id=1,c=look,d=5 */",
          "INSERT INTO records (k, v) VALUES ('ab', '\\x9f0') RETURNING v /* id=1,c=look,d=5 */"
        }) {
      client.got.clear();
      client.asks(bad);
      assertEquals(client.got, List.of("error 42601", "Z"), bad);
    }
    assertTrue(peers.asked.isEmpty());
    client.got.clear();
    client.asks("");
    assertEquals(client.got, EMPTY);
  }

  @Test
  public void theIdOfAnotherClientsOpenRequestIsAnError() {
    Client one = peers.new Client().started();
    Client two = peers.new Client().started();
    String text = look(900);
    one.asks(text);
    two.asks(text);
    assertEquals(two.got, List.of("error 42601", "Z"));
    last().says(value("mine"));
    assertEquals(one.got, served("mine"));
  }

  @Test
  public void noiseAndLengthsThatCannotBeAreEndedAtOnce() {
    for (byte[] bad :
        new byte[][] {
          {(byte) 0xff, (byte) 0xff, 1, 2, 3, 4},
          {0, 0, 0, 0},
          ByteBuffer.allocate(4).putInt(60_000_000).array()
        }) {
      Client client = peers.new Client();
      client.sends(bad);
      assertEquals(client.got, List.of("error 08P01"));
      assertTrue(client.closed);
    }
    Client later = peers.new Client().started();
    later.sends(ByteBuffer.allocate(5).put((byte) 'Q').putInt(60_000_000).array());
    assertEquals(later.got, List.of("error 08P01"));
    assertTrue(later.closed);
  }

  @Test
  public void whoSaysNothingOrHalfACommandIsEndedWithinThreeSeconds() {
    Client silent = peers.new Client();
    Client half = peers.new Client().started();
    half.asks("");
    half.sends(new byte[] {'Q', 0, 0, 0, 50, 'S'});
    net.pass(2600);
    assertTrue(silent.closed);
    assertTrue(half.closed);
  }

  /**
   * "The time of a request counts from its last byte": it does not run out between two pieces,
   * however short.
   */
  @Test
  public void theTimeOfAStatementInPiecesCountsFromItsLastByte() {
    Client client = peers.new Client().started();
    byte[] query = MessageWriter.query(look(500).getBytes(StandardCharsets.US_ASCII));
    client.sends(Arrays.copyOf(query, query.length - 1));
    net.pass(600);
    assertTrue(peers.asked.isEmpty());
    client.sends(Arrays.copyOfRange(query, query.length - 1, query.length));
    assertTrue(last().query.contains(",d=500 "), last().query);
    net.pass(400);
    last().says(value("whole"));
    assertEquals(client.got, served("whole"));
  }

  @Test
  public void silentConnectionsGiveWayWhenAllPlacesAreTaken() {
    List<Client> silent = new ArrayList<>();
    for (int i = 0; i < 48; i++) {
      silent.add(peers.new Client()); // as many places at 128 descriptors
    }
    net.pass(150);
    Client client = peers.new Client().started();
    client.asks("");
    assertEquals(client.got, EMPTY);
    assertTrue(silent.get(0).closed);
  }

  @Test
  public void hundredsOfCommandsAtOnceAreEnded() {
    Client client = peers.new Client().started();
    byte[][] all = new byte[300][];
    for (int i = 0; i < all.length; i++) {
      all[i] = MessageWriter.query(look(900).getBytes(StandardCharsets.US_ASCII));
    }
    client.sends(all);
    List<String> owed = refused(32);
    owed.add("error 08P01");
    assertEquals(client.got, owed);
    net.pass(2000);
    assertTrue(client.closed);
    assertEquals(client.got, owed);
    assertEquals(peers.asked.size(), 0);
  }

  /** Guards against an error that is taken for the answer of a command that may have run. */
  @Test
  public void tooManyCommandsAreEndedBehindTheAnswersThatAreOwed() {
    Client client = peers.new Client().started();
    client.asks(pay(900));
    UnitEnd first = last();
    byte[][] behind = new byte[300][];
    for (int i = 0; i < behind.length; i++) {
      behind[i] = MessageWriter.query(look(900).getBytes(StandardCharsets.US_ASCII));
    }
    client.sends(behind);
    assertEquals(client.got, List.of());
    first.says(value("once"));
    List<String> owed = new ArrayList<>(served("once"));
    owed.addAll(refused(32));
    owed.add("error 08P01");
    assertEquals(client.got, owed);
    net.pass(2000);
    assertTrue(client.closed);
    assertEquals(client.got, owed);
    assertEquals(peers.asked.size(), 1);
  }

  private static List<String> refused(int commands) {
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < commands; i++) {
      answers.addAll(List.of("error 53300", "Z"));
    }
    return answers;
  }

  @Test
  public void aSpoiltAnswerIsNeverPassedOnAndTheConnectionIsNotUsedAgain() {
    byte[][] good = value("good");
    byte[] wrongLength =
        ByteBuffer.allocate(12)
            .put((byte) 'D')
            .putInt(11)
            .putShort((short) 1)
            .putInt(99)
            .put((byte) 1)
            .array();
    byte[] threeGb =
        ByteBuffer.allocate(11)
            .put((byte) 'D')
            .putInt(-1_000_000_000)
            .putShort((short) 1)
            .putInt(-1_000_000_006)
            .array();
    for (byte[][] spoilt :
        new byte[][][] {
          {{1, 2, 3, 4, 5}},
          {good[0], wrongLength, good[2], good[3]},
          {good[0], threeGb},
          {good[1]},
          {good[0], good[2]},
          {good[3]}
        }) {
      Client client = peers.new Client().started();
      int before = peers.asked.size();
      client.asks(look(900));
      UnitEnd first = last();
      int closedBefore = peers.closedUnitEnds;
      first.says(spoilt);
      assertEquals(client.got, List.of()); // another pick goes out, as the method allows
      assertTrue(peers.closedUnitEnds > closedBefore);
      assertEquals(peers.asked.size(), before + 2);
      assertFalse(last() == first);
      last().says(value("good"));
      assertEquals(client.got, served("good"));
      net.pass(20_000); // further picks are one in twenty
    }
  }

  @Test
  public void aSpoiltAnswerOfWhatMayNotRunTwiceIsAnErrorAtOnce() {
    Client client = peers.new Client().started();
    client.asks(pay(900));
    last().says(new byte[] {9, 9, 9, 9, 9});
    assertEquals(client.got, List.of("error 58000", "Z"));
    assertEquals(peers.asked.size(), 1);
  }

  @Test
  public void aSecondCopyBehindAnAnswerIsNotTheNextRequestsAnswer() {
    Client client = peers.new Client().started();
    client.asks(look(900));
    UnitEnd first = last();
    first.says(value("one"));
    first.says(value("one"));
    client.got.clear();
    client.asks(look(900));
    assertFalse(last() == first);
    last().says(value("two"));
    assertEquals(client.got, served("two"));
  }

  /** Has only one unit serve, which has answered once on a connection that is idle now. */
  private UnitEnd onlyUnit(Client client, byte[]... answer) {
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-1", 300, "DRAINING", 7)
                + "]}\n");
    client.asks(look(900));
    UnitEnd unit = last();
    unit.says(answer);
    net.pass(20);
    client.got.clear();
    return unit;
  }

  /** Guards against a second copy that comes some milliseconds late: review/2. */
  @Test
  public void aSecondCopyThatCrossesTheNextStatementIsNotItsAnswer() {
    Client client = peers.new Client().started();
    UnitEnd unit = onlyUnit(client, value("one"));
    unit.lateCopy = MessageWriter.concat(value("one"));
    client.asks(pay(900));
    assertTrue(last() == unit); // it has the statement, which may have run
    assertEquals(client.got, List.of("error 58000", "Z"));
    assertEquals(peers.closedUnitEnds, 1);
  }

  /** Guards against a copy that says of another statement that it never ran. */
  @Test
  public void aSecondRefusalThatCrossesTheNextStatementSaysNothingOfIt() {
    byte[] full =
        MessageWriter.concat(
            MessageWriter.errorResponse("ERROR", "53300", "full", null),
            MessageWriter.readyForQuery());
    Client client = peers.new Client().started();
    UnitEnd unit = onlyUnit(client, value("one"));
    unit.lateCopy = full;
    client.asks(pay(900));
    assertTrue(last() == unit);
    assertEquals(client.got, List.of("error 58000", "Z"));
  }

  /** What may run twice is asked again elsewhere. */
  @Test
  public void aSecondCopyThatCrossesARepeatableStatementCostsAnAttempt() {
    Client client = peers.new Client().started();
    UnitEnd unit = onlyUnit(client, value("one"));
    discovery
        .get(0)
        .chunk(
            "{\"version\":6,\"full\":false,\"servers\":["
                + entry("s-1", 300, "SERVING", 7)
                + "]}\n");
    unit.lateCopy = MessageWriter.concat(value("one"));
    while (unit.lateCopy.length > 0) {
      assertTrue(peers.asked.size() < 100, "its connection is never used again");
      client.got.clear();
      client.asks(look(900));
      if (unit.lateCopy.length > 0) {
        last().says(value("other"));
        net.pass(20);
      }
    }
    assertFalse(last() == unit);
    last().says(value("two"));
    assertEquals(client.got, served("two"));
  }

  @Test
  public void largeStatementsBehindOneAnotherComeWholeOnOneConnection() {
    Client client = peers.new Client().started();
    UnitEnd unit = onlyUnit(client, value("one"));
    for (int i = 0; i < 3; i++) {
      client.asks(pay(900).replace("9f03", "9f03".repeat(5000)));
      assertTrue(last() == unit);
      assertTrue(unit.query.contains("9f03".repeat(5000) + "') RETURNING v /* id=" + ids));
      unit.says(value("large"));
      net.pass(20);
    }
    assertEquals(peers.closedUnitEnds, 0);
  }

  @Test
  public void aUnitThatIsFullWasNotRunSoEvenWhatMustNotRunTwiceGoesElsewhere() {
    Client client = peers.new Client().started();
    client.asks(pay(900));
    UnitEnd first = last();
    first.says(
        MessageWriter.errorResponse("ERROR", "53300", "full", null), MessageWriter.readyForQuery());
    assertEquals(peers.asked.size(), 2);
    assertFalse(last() == first);
    last().says(value("paid"));
    assertEquals(client.got, served("paid"));
  }

  @Test
  public void anErrorOfWhatMustNotRunTwiceIsTheAnswer() {
    Client client = peers.new Client().started();
    client.asks(pay(900));
    last()
        .says(
            MessageWriter.errorResponse("ERROR", "XX000", "went wrong", null),
            MessageWriter.readyForQuery());
    assertEquals(client.got, List.of("error 58000", "Z"));
    assertEquals(peers.asked.size(), 1);
  }

  @Test
  public void aClientThatLeavesEndsItsPick() {
    Client client = peers.new Client().started();
    client.asks(look(900));
    net.turn(() -> client.connection.cut("left"));
    net.settle();
    assertEquals(peers.closedUnitEnds, 1);
  }

  @Test
  public void silenceIsAnsweredByTheDeadlineAndNothingComesAfter() {
    Client client = peers.new Client().started();
    client.asks(pay(400));
    net.pass(399);
    assertEquals(client.got, List.of("error 58000", "Z"));
    net.pass(2000);
    assertEquals(client.got.size(), 2);
  }

  @Test
  public void aUnitThatDrainsOrIsGoneGetsNothingNew() {
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-1", 300, "DRAINING", 7)
                + "]}\n");
    Client client = peers.new Client().started();
    for (int i = 0; i < 20; i++) {
      client.asks(look(900));
      last().says(value("x"));
      net.pass(20);
    }
    discovery
        .get(0)
        .chunk(
            "{\"version\":6,\"full\":false,\"servers\":["
                + entry("s-2", 301, "DELETED", 7)
                + "]}\n");
    client.got.clear();
    client.asks(look(900));
    assertEquals(client.got, List.of("error 53300 again after 150", "Z"));
  }

  @Test
  public void aLostWatchIsAskedForAgainFromTheVersionKnown() {
    discovery.get(0).chunk("{\"version\":9,\"full\":false,\"servers\":[]}\n");
    net.turn(() -> discovery.get(0).connection.cut("gone"));
    net.pass(50);
    assertEquals(discovery.size(), 2);
    assertTrue(
        discovery
            .get(1)
            .heard
            .toString()
            .startsWith("GET /v1/servers?watch=1&from=9 HTTP/1.1\r\n"));
    net.pass(3100); // and one that says nothing
    assertTrue(discovery.size() >= 3);
  }

  @Test
  public void votesAreFormsAndTheirAnswersAreNews() {
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-3", 300, "SERVING", 8).replace("\"started_ms\":0", "\"started_ms\":5100")
                + "]}\n");
    desk.get(0).chunk("event: news\ndata: build=8&stage=0&phase=Progressing&cap=0.1&age_ms=10\n\n");
    net.pass(9000);
    assertTrue(
        desk.stream()
            .anyMatch(
                call ->
                    call.heard
                        .toString()
                        .contains("Action=RecordOpinion&build=8&stage=0&verdict=PROCEED")));
  }

  @Test
  public void aBulletinThatCannotBeReadIsAskedForAgain() {
    desk.get(0)
        .chunk("event: news\ndata: build=8&st\u0001age=0&phase=Progressing&cap=0.1&age_ms=10\n\n");
    net.pass(50);
    assertEquals(desk.size(), 2);
    assertTrue(desk.get(1).heard.toString().startsWith("GET /apis/fleet/bulletin HTTP/1.1\r\n"));
  }

  @Test
  public void aNewConfigurationMovesTheWatchAndTheBulletin() throws Exception {
    net.listen(address(501), 40, 1 << 20, () -> keep(desk));
    PlatformConfig anew = config(128, 501, "");
    int before = desk.size();
    net.turn(() -> serving.reload(anew));
    net.settle();
    assertEquals(desk.size(), before + 1);
  }

  /** Guards against a relay that goes on by an old list as nobody told it where the new one is. */
  @Test
  public void whoeverLosesListOrDeskReadsItsConfigurationAgain() throws Exception {
    int asked = settingsAsked;
    assertEquals(asked, 1); // as it took clients: the file may have been replaced since it was read
    net.pass(600);
    net.turn(() -> discovery.get(0).connection.cut("the address is none any more"));
    net.pass(10);
    assertEquals(settingsAsked, asked + 1);
    net.listen(address(501), 40, 1 << 20, () -> keep(desk));
    PlatformConfig anew = config(128, 501, "");
    net.turn(() -> serving.reload(anew));
    net.pass(600);
    int before = desk.size();
    net.turn(() -> serving.reload(anew)); // the same once more moves nothing
    net.settle();
    assertEquals(desk.size(), before);
    net.turn(() -> desk.get(before - 1).connection.cut("gone"));
    net.pass(10);
    assertEquals(settingsAsked, asked + 2);
  }

  /**
   * A state that began while the relay started looked older than the one in its configuration,
   * whose age is that of a file.
   */
  @Test
  public void newsGoesByTheWayOfABuildAndNotByAges() {
    desk.get(0).chunk("event: news\ndata: build=8&stage=0&phase=Progressing&cap=0.1&age_ms=0\n\n");
    net.pass(400);
    desk.get(0)
        .chunk(
            "event: news\ndata: build=8&stage=1&phase=Progressing&cap=1.0&age_ms=900\n\n"); // began
    // before that came
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-3", 300, "SERVING", 8).replace("\"started_ms\":0", "\"started_ms\":1000")
                + "]}\n");
    net.pass(9000);
    assertTrue(
        desk.stream()
            .anyMatch(call -> call.heard.toString().contains("build=8&stage=1&verdict=PROCEED")));
  }

  @Test
  public void newsThatWasLongOnItsWayBringsNoBuildBackOnTrial() {
    desk.get(0).chunk("event: news\ndata: build=8&stage=1&phase=Aborting&cap=0&age_ms=100\n\n");
    desk.get(0).chunk("event: news\ndata: build=8&stage=1&phase=Progressing&cap=1.0&age_ms=0\n\n");
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-3", 300, "SERVING", 8).replace("\"started_ms\":0", "\"started_ms\":1000")
                + "]}\n");
    net.pass(9000);
    assertTrue(desk.stream().noneMatch(call -> call.heard.toString().contains("PROCEED")));
  }

  /**
   * Guards against an end that takes all connections from clients at once, while other relays may
   * be out too.
   */
  @Test
  public void toldToEndItServesOnForAWhileAndAnswersAllBeforeTheKill() {
    Client client = peers.new Client().started();
    client.asks("");
    boolean[] done = {false};
    net.turn(
        () ->
            serving.shutdown(
                () -> done[0] = true)); // the kill comes after 3,700 ms at the earliest
    net.pass(300);
    Client late = peers.new Client().started();
    late.asks(look(3000));
    last().says(value("late"));
    assertEquals(late.got, served("late"));
    net.pass(500);
    client.got.clear();
    assertTrue(client.closed); // the first of two, after 600 ms
    assertFalse(late.closed);
    late.got.clear();
    late.asks(pay(3000));
    net.pass(1000);
    assertFalse(done[0]);
    net.pass(1650); // at 3,450 ms
    assertEquals(late.got, List.of("error 58000", "Z"));
    assertTrue(late.closed);
    net.pass(200);
    assertTrue(done[0]);
  }

  /**
   * Guards against a request behind another that goes out just before the kill, for which no answer
   * can come in time.
   */
  @Test
  public void whatWaitsBehindARequestAsTimeIsOverIsRefused() {
    Client client = peers.new Client().started();
    client.sends(
        MessageWriter.query(pay(3000).getBytes(StandardCharsets.US_ASCII)),
        MessageWriter.query(pay(3000).getBytes(StandardCharsets.US_ASCII)));
    boolean[] done = {false};
    net.turn(() -> serving.shutdown(() -> done[0] = true));
    net.turn(
        () ->
            net.at(
                net.now().plus(TimeSpan.ofMs(1000)),
                () ->
                    client.connection.append(
                        MessageWriter.query(pay(3000).getBytes(StandardCharsets.US_ASCII)))));
    net.pass(3500);
    assertEquals(peers.asked.size(), 2); // the first had its deadline before
    assertEquals(client.got, List.of("error 58000", "Z", "error 58000", "Z", "error 57P03", "Z"));
    assertTrue(client.closed);
    assertTrue(done[0]);
  }

  /**
   * Guards against the time for readiness behind one answer that ends the connection within the
   * readiness of a later one.
   */
  @Test
  public void aLateReadinessOfOneAnswerIsNotHeldAgainstTheNext() {
    Client client = peers.new Client().started();
    byte[][] all = value("x");
    client.asks(look(5000));
    UnitEnd endpoint = last();
    endpoint.says(all[0], all[1], all[2]);
    net.pass(900);
    endpoint.says(all[3]);
    net.pass(50);
    client.asks(look(5000));
    assertTrue(last() == endpoint);
    endpoint.says(all[0], all[1], all[2]);
    net.pass(60); // past a second since the first answer
    endpoint.says(all[3]);
    net.pass(50);
    client.asks(look(5000));
    assertTrue(last() == endpoint);
    assertEquals(peers.asked.size(), 3);
    endpoint.says(all);
    assertEquals(client.got.size(), 12);
  }

  /** Guards against an end of the process with answers that slow readers have not taken. */
  @Test
  public void theEndWaitsForThoseWhoHaveNotReadTheirAnswersButNotPastTheKill() {
    for (boolean reads : new boolean[] {true, false}) {
      Client client = peers.new Client().started();
      client.asks(look(900));
      net.setNobodyReads(true);
      UnitEnd endpoint = last();
      net.setNobodyReads(false);
      endpoint.says(value("slow"));
      boolean[] done = {false};
      net.turn(() -> serving.shutdown(() -> done[0] = true));
      net.setNobodyReads(true);
      net.pass(3600);
      assertFalse(done[0]);
      net.setNobodyReads(!reads);
      net.pass(reads ? 20 : 200);
      assertTrue(done[0]);
      net.setNobodyReads(false);
      if (reads) {
        restart();
      }
    }
  }

  private void restart() {
    try {
      start();
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Test
  public void listsMayComeIndentedAndInPieces() {
    String list =
        "{\n  \"version\": 5,\n  \"full\": false,\n  \"servers\": [\n    "
            + entry("s-1", 300, "DRAINING", 7).replace(",", ",\n      ")
            + "\n  ]\n}\n\n";
    discovery.get(0).chunk(list.substring(0, 40));
    discovery.get(0).chunk(list.substring(40) + "{\"version\":6,\"full\":false,\"servers\":[]}\n");
    Client client = peers.new Client().started();
    for (int i = 0; i < 10; i++) {
      client.asks(look(900));
      assertTrue(last().query != null);
      last().says(value("x"));
      net.pass(20);
    }
    net.turn(() -> discovery.get(0).connection.cut("gone"));
    net.pass(50);
    assertTrue(discovery.get(1).heard.toString().startsWith("GET /v1/servers?watch=1&from=6 "));
  }

  /** One line takes a unit away and has it back as another, beside an entry that can't be read. */
  @Test
  public void aUnitGoneAndBackWithinOneLineIsTheNewOneAndWhatCannotBeReadIsLeftOut()
      throws Exception {
    net.listen(address(302), 1000, 1 << 20, () -> peers.new UnitEnd());
    Client client = peers.new Client().started();
    discovery
        .get(0)
        .chunk(
            "{\"version\":5,\"full\":false,\"servers\":["
                + entry("s-1", 300, "DELETED", 7)
                + ",{\"id\":\"s-1\",\"state\":\"SERVING\",\"addr\":\"nowhere\",\"image_id\":7},7,"
                + entry("s-1", 302, "SERVING", 7)
                + ","
                + entry("s-2", 301, "DELETED", 7)
                + "]}\n");
    for (int i = 0; i < 5; i++) {
      client.asks(look(900));
      last().says(value("x"));
      net.pass(20);
    }
    assertEquals(client.got.size(), 20);
    discovery
        .get(0)
        .chunk(
            "{\"version\":4,\"full\":false,\"servers\":["
                + entry("s-1", 302, "DELETED", 7)
                + "]}\n"); // told before
    client.got.clear();
    client.asks(look(900));
    last().says(value("y"));
    assertEquals(client.got, served("y"));
  }

  /** Guards against a list that can't be read and is asked for again without a pause, for ever. */
  @Test
  public void whatCannotBeReadIsAskedForAgainAfterPausesThatGrow() {
    int asked = discovery.size();
    for (int i = 0; i < 100; i++) {
      Watch watch = discovery.get(discovery.size() - 1);
      if (watch.heard.length() > 0) {
        watch.heard.setLength(0);
        watch.begins();
        watch.chunk("{\"version\":9,\"full\":fal" + "\n");
        watch.chunk("no list\n");
      }
      net.pass(10);
    }
    assertTrue(discovery.size() - asked < 20, (discovery.size() - asked) + " in a second");
    assertTrue(discovery.size() - asked > 3);
  }

  @Test
  public void peersSpeakOverDatagramsFromTheirOwnAddressesOnly() {
    List<byte[]> heard = new ArrayList<>();
    Datagrams other = net.datagrams(address(499), (from, bytes) -> heard.add(bytes));
    Client client = peers.new Client().started();
    client.asks(look(900));
    last().says(value("x"));
    net.pass(600);
    assertFalse(heard.isEmpty()); // this relay adds up the picks first, and tells all
    for (byte[] one : heard) {
      assertTrue(one.length <= 256);
    }
    other.send(address(400), new byte[] {0, 1, 2}); // from no peer's address: left alone
    net.settle();
  }

  @Test
  public void aConfigurationThatCannotBeUsedIsOneLine() throws IOException, ConfigException {
    Path file = Files.createTempFile("platform", ".json");
    try {
      for (String bad :
          new String[] {
            "",
            "{",
            "[]",
            "{\"listen\":5}",
            "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"nowhere\"}"
          }) {
        Files.writeString(file, bad);
        ConfigException e =
            org.testng.Assert.expectThrows(
                ConfigException.class,
                () -> PlatformConfig.read(Map.of("LB_CONFIG", file.toString())));
        assertFalse(e.getMessage().contains("\n"), e.getMessage());
      }
      assertThrows(ConfigException.class, () -> PlatformConfig.read(Map.of()));
      assertThrows(
          ConfigException.class, () -> config(79, 500, "")); // none would be left for units
      assertEquals(config(80, 500, "").sockets, 80);
    } finally {
      Files.delete(file);
    }
    Settings settings;
    try {
      settings = config(128, 500, "").settings;
    } catch (ConfigException e) {
      throw new AssertionError(e);
    }
    assertEquals(settings.methods.size(), 3);
  }
}
