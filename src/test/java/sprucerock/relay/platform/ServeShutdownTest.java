package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.transport.postgres.MessageWriter;

/**
 * A relay as its own process, told to end with requests of each kind in flight. Verdicts hold
 * whatever the machine's speed: who was taken has a final answer, and the process ends by itself.
 */
public class ServeShutdownTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c","limits":{"sockets":256},"release_api":{"address":"%s","news":{}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":20000,"hard_limit":20000,"worth":1},
                     {"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":20000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":60000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
        """;

  private Peers peers;
  private Peers.Unit endpoint;
  private Peers.Agent discovery;
  private Path file;
  private ServeProcess relay;
  private int port;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    peers = new Peers();
    endpoint = peers.new Unit();
    discovery = peers.new Agent();
    file = Files.createTempFile("serve", ".json");
    Files.writeString(
        file,
        CONFIG.formatted(
            discovery.address(), peers.new Agent().address(), endpoint.entry("s-1", "SERVING", 7)));
    relay = ServeProcess.start(file, 0);
  }

  @AfterMethod
  public void end() throws Exception {
    relay.kill();
    peers.close();
    Files.delete(file);
  }

  private void ready() throws Exception {
    discovery.call().begins().list(4, false);
    port = relay.awaitStarted();
  }

  private void ended() throws InterruptedException {
    assertEquals(relay.awaitExit(), 0);
  }

  private String look() {
    return "SELECT v FROM records WHERE k = '00000000000000aa' /* id="
        + (++ids)
        + ",c=look,d=20000 */";
  }

  private String pay() {
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
        + (++ids)
        + ",c=pay,d=20000 */";
  }

  /** Answers from now on whatever is asked. */
  private void unitAnswers() {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  endpoint.asked.take().on().says(Peers.value("ok"));
                }
              } catch (InterruptedException | IOException e) {
                // the test is over, or the relay is
              }
            },
            "unit's answers");
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  public void toldToEndBeforeItHasAList() throws Exception {
    discovery.call(); // asked, and told nothing: it is not ready
    relay.signal("TERM");
    int code = relay.awaitExit();
    assertTrue(code == 0 || code == 143, "exit code " + code);
  }

  @Test
  public void toldToEndAsItStarts() throws Exception {
    relay.signal("TERM");
    int code = relay.awaitExit();
    assertTrue(code == 0 || code == 143, "exit code " + code);
  }

  /** Twice, with a new configuration half written between the two signals. */
  @Test
  public void toldToEndWithRequestsInEveryPhase() throws Exception {
    ready();
    Peers.Client out = peers.new Client(port).welcomed();
    out.asks(look());
    Peers.Unit.Query held = endpoint.query();
    Peers.Client behind = peers.new Client(port).welcomed();
    behind.asks(look(), look());
    endpoint.query().on().says(Peers.value("first"));
    assertEquals(behind.answer(), "value first");
    Peers.Client idle = peers.new Client(port).welcomed();
    idle.asks("");
    assertEquals(idle.answer(), "");
    Peers.Client half = peers.new Client(port).welcomed();
    byte[] query = MessageWriter.query(look().getBytes(StandardCharsets.US_ASCII));
    half.sends(Arrays.copyOf(query, query.length / 2));
    Socket greeting = new Socket("127.0.0.1", port);
    greeting.getOutputStream().write(Arrays.copyOf(MessageWriter.startupMessage("svc", "main"), 7));
    Peers.read(half.socket);
    Peers.read(greeting);
    relay.signal("TERM");
    relay.awaitLog("FINISHING");
    Files.writeString(file, "{\"name\":\"n0\",\"lis");
    relay.signal("HUP");
    relay.signal("TERM");
    relay.awaitLog("SETTINGS");
    held.on().says(Peers.value("held"));
    unitAnswers();
    half.sends(Arrays.copyOfRange(query, query.length / 2, query.length));
    Peers.Client stays = peers.new Client(port);
    List<String> told = new ArrayList<>();
    String last = stays.answer();
    while (!last.endsWith("closed") && !last.endsWith("reset")) {
      stays.asks(look());
      last = stays.answer();
      told.add(last);
    }
    assertTrue(told.contains("value ok"), told.toString());
    assertEquals(out.answer(), "value held");
    assertEquals(out.answer(), "closed");
    assertEquals(behind.answer(), "value ok");
    assertEquals(behind.answer(), "closed");
    assertEquals(idle.answer(), "closed");
    assertEquals(half.answer(), "value ok");
    assertEquals(half.answer(), "closed");
    while (greeting.getInputStream().read()
        >= 0) {} // an error first where its time was over before
    relay.awaitLog("FINISHED every RPC taken has its answer");
    ended();
  }

  @Test
  public void toldToEndWhileAUnitSaysNothing() throws Exception {
    ready();
    Peers.Client one = peers.new Client(port).welcomed();
    one.asks(pay(), pay());
    endpoint.query();
    relay.signal("TERM");
    assertEquals(one.answer(), "error 58000");
    assertEquals(one.answer(), "error 57P03");
    assertEquals(one.answer(), "closed");
    ended();
    assertTrue(endpoint.asked.isEmpty());
  }
}
