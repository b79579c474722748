package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static sprucerock.relay.platform.SimulatedPeers.address;
import static sprucerock.relay.platform.SimulatedPeers.entry;
import static sprucerock.relay.platform.SimulatedPeers.value;

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
import sprucerock.transport.net.SimulatedNet;

/**
 * What an attempt's selection rested on changes while the attempt waits for a connection that comes
 * up late. The endpoint s-1 has the baseline, s-2 the canary.
 */
public class AttemptAtWriteTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:100","discovery":"127.0.0.1:200","seed":"8c1f30d27a5be964","limits":{"sockets":128},
         "release_api":{"address":"127.0.0.1:500","news":{"build":8,"stage":1,"phase":"Progressing","cap":1.0,"age_ms":50}},
         "known":{"version":4,"full":true,"servers":[%s,%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":20000,"hard_limit":30000,"worth":1},
                     {"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":30000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":3000,"max_retry_after":500,"peers":false,"retry_after":true,
           "second_copies":true,"send_cap":5},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"keys_stay":true,"per":"all","uncounted":3,"vote_mode":"single"}}}""";

  private static final int OTHER_KEYS = 40;
  private static final double IDLE_END_MS = 2500;

  private SimulatedNet net;
  private SimulatedPeers peers;
  private PlatformRelay relay;
  private final List<UnitEnd> baseline = new ArrayList<>();
  private final List<UnitEnd> canary = new ArrayList<>();
  private final List<Watch> discovery = new ArrayList<>();
  private final List<Watch> desk = new ArrayList<>();
  private boolean baselineIsLate;
  private boolean canaryIsLate;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    net = new SimulatedNet(1000, 1);
    peers = new SimulatedPeers(net);
    baselineIsLate = false;
    canaryIsLate = false;
    for (List<?> each : List.of(baseline, canary, discovery, desk)) {
      each.clear();
    }
    net.listen(address(300), 1000, 1 << 20, () -> keep(baseline, unit(true)));
    net.listen(address(301), 1000, 1 << 20, () -> keep(canary, unit(false)));
    net.listen(address(200), 10, 1 << 20, () -> keep(discovery, peers.new Watch()));
    net.listen(address(500), 40, 1 << 20, () -> keep(desk, peers.new Watch()));
    String text =
        CONFIG.formatted(entry("s-1", 300, "SERVING", 7), entry("s-2", 301, "SERVING", 8));
    relay =
        new PlatformRelay(
            PlatformConfig.of(Path.of("test"), text.getBytes(StandardCharsets.UTF_8), Map.of()),
            net,
            5000,
            () -> {});
    SimulatedPeers.start(net, relay);
    discovery.get(0).begins();
    discovery.get(0).chunk("{\"version\":4,\"full\":false,\"servers\":[]}\n");
    desk.get(0).begins();
    desk.get(0).chunk(":\n"); // it is heard from now on
    for (int key = 1; key <= OTHER_KEYS; key++) {
      Client client = look(key);
      net.pass(5);
      answerAll();
      assertTrue(client.got.get(1).startsWith("value"), client.got.toString());
      net.pass(20);
    }
  }

  private static <T> T keep(List<T> all, T made) {
    all.add(made);
    return made;
  }

  private UnitEnd unit(boolean isBaseline) {
    return peers.new UnitEnd(() -> isBaseline ? baselineIsLate : canaryIsLate);
  }

  private Client look(int key) {
    return ask("SELECT v FROM records WHERE k = '" + hex(key) + "' /* id=%d,c=look,d=25000 */");
  }

  private Client pay(int key) {
    return ask(
        "INSERT INTO records (k, v) VALUES ('"
            + hex(key)
            + "', '\\x9f03') RETURNING v /* id=%d,c=pay,d=25000 */");
  }

  private static String hex(int key) {
    return Integer.toHexString(0x1000 + key);
  }

  private Client ask(String statement) {
    Client client = peers.new Client().started();
    client.asks(statement.formatted(++ids));
    return client;
  }

  private void answerAll() {
    for (UnitEnd each : List.copyOf(peers.asked)) {
      if (each.query != null) {
        each.says(value("x"));
      }
    }
  }

  private static long asked(List<UnitEnd> ends) {
    return ends.stream().filter(end -> end.query != null).count();
  }

  private static void bringUp(List<UnitEnd> ends) {
    for (UnitEnd end : List.copyOf(ends)) {
      end.welcome();
    }
  }

  /** Asks with one key after another until the canary has a request and the baseline none. */
  private int lookUntilTheCanaryIsAsked() {
    for (int key = 100; key < 200; key++) {
      look(key);
      if (asked(canary) > 0) {
        return key;
      }
    }
    throw new AssertionError("no request was shadowed");
  }

  /** A few requests of a method that is not idempotent go to the canary alone; this is the next. */
  private Client payNotAtTheCanary(int key) {
    while (true) {
      long before = asked(canary);
      Client client = pay(key);
      if (asked(canary) == before) {
        return client;
      }
    }
  }

  /**
   * Guards against a key that goes to the earlier build after the build on trial has answered it,
   * as its attempt waited for a connection to the earlier one.
   */
  @Test
  public void aKeyThatTheCanaryAnswersMeanwhileGoesToNoEarlierBuild() {
    net.pass(IDLE_END_MS);
    baselineIsLate = true;
    int key = lookUntilTheCanaryIsAsked();
    Client second = payNotAtTheCanary(key);
    assertEquals(asked(baseline), 0);
    answerAll();
    bringUp(baseline);
    for (UnitEnd end : baseline) {
      assertFalse(
          end.query != null && end.query.contains("'" + hex(key) + "'"),
          "the earlier build gets " + end.query);
    }
    net.pass(5);
    answerAll();
    assertEquals(second.got.size(), second.got.get(0).equals("T") ? 4 : 2, second.got.toString());
  }

  /** Guards against attempts above a cap that was lowered meanwhile. */
  @Test
  public void anAttemptAtACanaryThatIsSentBackMeanwhileIsNotWritten() {
    net.pass(IDLE_END_MS);
    canaryIsLate = true;
    int before = canary.size();
    for (int key = 100; canary.size() == before && key < 200; key++) {
      look(key);
    }
    assertTrue(canary.size() > before, "no request was shadowed");
    desk.get(0).chunk("event: news\ndata: build=8&stage=1&phase=Aborting&cap=0.0&age_ms=0\n\n");
    bringUp(canary);
    assertEquals(asked(canary), 0);
  }

  /** Held against the two above: with nothing changed, what waited is written. */
  @Test
  public void whatWaitedIsWrittenWhereNothingHasChanged() {
    net.pass(IDLE_END_MS);
    baselineIsLate = true;
    Client client = payNotAtTheCanary(300);
    assertEquals(asked(baseline), 0);
    bringUp(baseline);
    assertEquals(asked(baseline), 1);
    answerAll();
    assertEquals(client.got, List.of("T", "value x", "C", "Z"));
  }
}
