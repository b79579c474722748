package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.transport.postgres.MessageWriter;

/**
 * A relay as its own process, whose clients close their connection with requests unread or open.
 * Verdicts hold whatever the machine's speed.
 */
public class ServeLeavingClientTest {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c","limits":{"sockets":256},"release_api":{"address":"%s","news":{}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":20000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":60000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
        """;

  /** More than one read buffer holds. */
  private static final int VALUE_BYTES = 4096;

  private static final int REQUESTS = 8;

  private Peers peers;
  private Peers.Unit endpoint;
  private Path file;
  private ServeProcess relay;
  private int port;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    peers = new Peers();
    endpoint = peers.new Unit();
    Peers.Agent discovery = peers.new Agent();
    file = Files.createTempFile("serve", ".json");
    Files.writeString(
        file,
        CONFIG.formatted(
            discovery.address(), peers.new Agent().address(), endpoint.entry("s-1", "SERVING", 7)));
    relay = ServeProcess.start(file, 0);
    discovery.call().begins().list(4, false);
    port = relay.awaitStarted();
  }

  @AfterMethod
  public void end() throws Exception {
    relay.kill();
    peers.close();
    Files.delete(file);
  }

  private byte[] pay(String id, int valueBytes) {
    return MessageWriter.query(
        ("INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x"
                + "0f".repeat(valueBytes)
                + "') RETURNING v /* id="
                + id
                + ",c=pay,d=20000 */")
            .getBytes(StandardCharsets.US_ASCII));
  }

  private void assertServes() throws Exception {
    Peers.Client usual = peers.new Client(port).welcomed();
    usual.sends(pay("usual-" + ids++, 2));
    endpoint.query().on().says(Peers.value("on"));
    assertEquals(usual.answer(), "value on");
  }

  /** Guards against requests that are sent on though their client has closed its connection. */
  @Test
  public void nothingIsSentOnOfAClientThatClosedUnread() throws Exception {
    assertServes();
    int seenBefore = endpoint.seen.size();
    Peers.Client gone = peers.new Client(port).welcomed();
    relay.signal("STOP");
    for (int i = 0; i < REQUESTS; i++) {
      gone.sends(pay("gone-" + i, VALUE_BYTES));
    }
    gone.socket.close();
    Peers.closed(gone.socket);
    relay.signal("CONT");
    assertServes(); // and with it all that came before has been met
    assertEquals(endpoint.seen.size(), seenBefore + 1);
  }

  /** Guards against an id that runs a second time as it comes again after its client has left. */
  @Test
  public void anIdThatComesAgainAfterItsClientLeftRunsOnce() throws Exception {
    Peers.Client gone = peers.new Client(port).welcomed();
    gone.sends(pay("twice", 2));
    Peers.Unit.Query first = endpoint.query();
    gone.socket.close();
    Peers.await(first.on().closed, "the attempt is given up");
    Peers.Client again = peers.new Client(port).welcomed();
    again.sends(pay("twice", 2));
    String answer = again.answer();
    assertTrue(answer.startsWith("error"), answer);
    assertEquals(endpoint.seen.size(), 1);
  }
}
