package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.policy.RoutingPolicy;
import sprucerock.transport.net.nio.NioLoop;

/**
 * A relay under settings that no deployment has: nothing it does may hang on the names, numbers or
 * permissions of one.
 */
public class InventedSettingsTest {
  private Peers peers;
  private Peers.Unit endpoint;
  private Peers.Agent discovery;
  private Peers.Agent desk;
  private NioLoop loop;
  private PlatformRelay serving;
  private LoopRelay started;
  private int port;
  private int ids;
  private final ConcurrentLinkedQueue<Throwable> broken = new ConcurrentLinkedQueue<>();

  @BeforeMethod
  public void begin() throws Exception {
    peers = new Peers();
    endpoint = peers.new Unit();
    discovery = peers.new Agent();
    desk = peers.new Agent();
    broken.clear();
  }

  @AfterMethod
  public void end() throws Exception {
    peers.close();
    loop.close();
    assertEquals(List.copyOf(broken), List.of());
  }

  private void starts(int sockets, String news, String settings) throws Exception {
    String text =
        "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
            + discovery.address()
            + "\",\"seed\":\"f\",\"limits\":{\"sockets\":"
            + sockets
            + "},\"release_api\":{\"address\":\""
            + desk.address()
            + "\""
            + news
            + "},\"settings\":"
            + settings
            + "}";
    PlatformConfig config =
        PlatformConfig.of(
            Path.of("test"), text.getBytes(StandardCharsets.UTF_8), LoopRelay.ANY_PORT);
    loop = new NioLoop("relay", broken::add);
    started = LoopRelay.start(loop, config, RoutingPolicy::new);
    serving = started.relay();
  }

  private void listed(int build) throws Exception {
    Peers.Agent.Call watch =
        discovery.call().begins().list(1, true, endpoint.entry("u", "SERVING", build));
    Peers.read(watch.socket);
    port = started.port();
  }

  private String asks(String method, boolean changes, int ms) {
    String comment = " /* id=" + (++ids) + ",c=" + method + ",d=" + ms + ",k=" + ids + " */";
    return (changes
            ? "INSERT INTO records (k, v) VALUES ('ab', '\\x9f03') RETURNING v"
            : "SELECT v FROM records WHERE k = 'aa'")
        + comment;
  }

  private void ends(Peers.Client client) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(() -> serving.shutdown(done::countDown));
    assertEquals(client.answer(), "closed");
    Peers.await(done, "the end");
  }

  /** One class, which may not be repeated; no news, no list known, and nothing allowed. */
  @Test
  public void oneClassAndNothingAllowed() throws Exception {
    starts(
        80,
        "",
        """
            {"balancers":1,"index":0,"my_zone":0,"tick":1,"zones":["only"],"kinds":["k"],"membership_mode":"push",
             "classes":[{"name":"!#$%&'()+./:;<>?@[]^_`{|}~ \u00e9","effect":"non_idempotent","on_time":40000,"hard_limit":40000,"worth":0.01}],
             "obligations":{"ask_within":100,"cold":1,"start_capacity":1,"tip_after":1,"tip_multiple":1},
             "permissions":{"cancel":false,"connect_timeout":20000,"keepalive":300000,"max_retry_after":0,"peers":false,"retry_after":false,"second_copies":false,"send_cap":1},
             "specifics":{"ballot_ttl":100,"call_timeout":100,"caps":[1.0],"per":"per_lane","uncounted":0,"vote_mode":"majority"}}""");
    listed(3);
    Peers.Client client = peers.new Client(port).welcomed();
    client.asks("");
    assertEquals(client.answer(), "");
    byte[] text =
        asks("!#$%&'()+./:;<>?@[]^_`{|}~ \u00e9", true, 30_000).getBytes(StandardCharsets.UTF_8);
    client.sends(sprucerock.transport.postgres.MessageWriter.query(text));
    Peers.Unit.Query query = endpoint.query();
    query.on().says(Peers.value("done"));
    assertEquals(client.answer(), "value done");
    client.asks(asks("other", true, 1000));
    assertEquals(client.answer(), "error 42601");
    client.sends(
        sprucerock.transport.postgres.MessageWriter.query(
            asks("!#$%&'()+./:;<>?@[]^_`{|}~ \u00e9", true, 30_000)
                .getBytes(StandardCharsets.UTF_8)));
    endpoint
        .query()
        .on()
        .says(
            sprucerock.transport.postgres.MessageWriter.errorResponse("ERROR", "XX000", "no", null),
            sprucerock.transport.postgres.MessageWriter.readyForQuery());
    assertEquals(client.answer(), "error 58000");
    ends(client);
  }

  /**
   * Twenty classes of all kinds, deadlines from 60 ms to ten minutes, customers, zones, five
   * stages, all allowed.
   */
  @Test
  public void twentyClassesAndAllAllowed() throws Exception {
    List<String> classes = new ArrayList<>();
    String[] effects = {"read_like", "idempotency_key", "non_idempotent"};
    for (int i = 0; i < 20; i++) {
      classes.add(
          "{\"name\":\"c."
              + i
              + "\",\"effect\":\""
              + effects[i % 3]
              + "\",\"on_time\":"
              + (30 << i % 14)
              + ",\"hard_limit\":"
              + (60 << i % 14)
              + ",\"window\":"
              + (20 << i % 12)
              + ",\"worth\":"
              + (1 + i)
              + ",\"group\":\""
              + (i % 2 == 0 ? "cell" : "zone")
              + "\"}");
    }
    starts(
        1024,
        ",\"news\":{\"build\":40000,\"stage\":0,\"phase\":\"Healthy\",\"cap\":0,\"age_ms\":1}",
        """
            {"balancers":500,"index":499,"my_zone":4,"tick":20,"zones":["a","b","c","d","e"],"kinds":["k","m","n"],"membership_mode":"push",
             "classes":[%s],"orgs":[{"share":0.9},{"share":0.1}],"over_share_worth":0.5,
             "obligations":{"ask_within":60000,"cold":60000,"start_capacity":0.01,"tip_after":10000,"tip_multiple":10},
             "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":3600000,"max_retry_after":60000,"peers":true,"retry_after":true,"second_copies":true,"send_cap":20},
             "specifics":{"ballot_ttl":60000,"call_timeout":30000,"caps":[0.01,0.1,0.3,0.6,1.0],"per":"all","uncounted":9,"vote_mode":"single",
              "sums_every":500,"safe_only_stages":2,"keys_stay":true}}"""
            .formatted(String.join(",", classes)));
    listed(40000);
    Peers.Client client = peers.new Client(port).welcomed();
    for (int i = 0; i < 20; i++) {
      client.asks(asks("c." + i, i % 3 != 0, 30_000));
      endpoint.query().on().says(Peers.value("v" + i));
      assertEquals(client.answer(), "value v" + i);
    }
    client.asks(asks("c.20", false, 1000));
    assertTrue(client.answer().startsWith("error 42601"));
    ends(client);
  }
}
