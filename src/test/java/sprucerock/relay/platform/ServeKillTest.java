package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.transport.postgres.MessageWriter;

/**
 * A relay as its own process, stopped by the system (SIGSTOP) while a request comes, and ended
 * right behind its accept: by SIGKILL, or by SIGTERM that it meets as it goes on. A request is
 * answered, or its connection ends without having been read; a unit sees it from one relay only.
 * Verdicts hold whatever the machine's speed.
 */
public class ServeKillTest {
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

  /** How far a client's connection has come as the relay's process is stopped. */
  private enum Phase {
    IN_THE_SYSTEMS_QUEUE,
    ACCEPTED_AND_WELCOMED,
    HALF_READ
  }

  private Peers peers;
  private Peers.Unit endpoint;
  private Peers.Agent discovery;
  private Peers.Agent desk;
  private Path file;
  private ServeProcess relay;
  private int port;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    peers = new Peers();
    endpoint = peers.new Unit();
    discovery = peers.new Agent();
    desk = peers.new Agent();
    file = Files.createTempFile("serve", ".json");
    port = 0; // the system chooses one
    starts();
  }

  private void starts() throws Exception {
    Files.writeString(
        file,
        CONFIG.formatted(discovery.address(), desk.address(), endpoint.entry("s-1", "SERVING", 7)));
    relay = ServeProcess.start(file, port);
    discovery.call().begins().list(4, false);
    port = relay.awaitStarted();
  }

  @AfterMethod
  public void end() throws Exception {
    relay.kill();
    peers.close();
    Files.delete(file);
  }

  /** Until the system says that no thread of it runs. */
  private void stops() throws Exception {
    relay.signal("STOP");
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.LONG);
    while (!allStopped()) {
      assertTrue(System.nanoTime() < until, "it does not stop");
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private boolean allStopped() throws IOException {
    try (var threads = Files.newDirectoryStream(Path.of("/proc/" + relay.pid() + "/task"))) {
      for (Path thread : threads) {
        String stat = Files.readString(thread.resolve("stat"));
        if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
          return false;
        }
      }
    }
    return true;
  }

  private byte[] pay() {
    return MessageWriter.query(
        ("INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v /* id="
                + (++ids)
                + ",c=pay,d=20000 */")
            .getBytes(StandardCharsets.US_ASCII));
  }

  @DataProvider
  public Object[][] phases() {
    return Arrays.stream(Phase.values())
        .map(phase -> new Object[] {phase})
        .toArray(Object[][]::new);
  }

  /** A client whose request has come whole to the relay's system, and not to its process. */
  private Peers.Client asksWhoIsStopped(Phase phase) throws Exception {
    byte[] query = pay();
    Peers.Client client =
        phase == Phase.IN_THE_SYSTEMS_QUEUE ? null : peers.new Client(port).welcomed();
    int read = phase == Phase.HALF_READ ? query.length / 2 : 0;
    if (read > 0) {
      client.sends(Arrays.copyOf(query, read));
      Peers.read(client.socket);
    }
    stops();
    if (client == null) {
      client = peers.new Client(port);
    }
    client.sends(Arrays.copyOfRange(query, read, query.length));
    Peers.delivered(client.socket);
    return client;
  }

  /** Killed: nothing is answered or passed on, so that its client may ask the next relay. */
  @Test(dataProvider = "phases")
  public void killedBeforeARequestWasRead(Phase phase) throws Exception {
    Peers.Client client = asksWhoIsStopped(phase);
    relay.signal("KILL");
    relay.awaitExit();
    String last = client.answer();
    assertTrue(last.equals("closed") || last.equals("reset"), last);
    assertTrue(endpoint.seen.isEmpty(), endpoint.seen.toString());
    starts(); // at the same address, at once
    Peers.Client again = peers.new Client(port).welcomed();
    again.sends(pay());
    endpoint.query().on().says(Peers.value("next"));
    assertEquals(again.answer(), "value next");
    assertEquals(endpoint.seen.size(), 1);
  }

  /**
   * Told to end before it has read the request: it is served, whichever of the two its process
   * meets first as it goes on.
   */
  @Test(dataProvider = "phases")
  public void toldToEndBeforeARequestWasRead(Phase phase) throws Exception {
    Peers.Client client = asksWhoIsStopped(phase);
    relay.signal("TERM");
    relay.signal("CONT");
    relay.awaitLog("FINISHING");
    Peers.Unit.Query query = endpoint.asked.poll(Peers.LONG, TimeUnit.SECONDS);
    if (query == null) {
      throw new AssertionError("never sent on; its client was told: " + client.answer());
    }
    query.on().says(Peers.value("served"));
    if (phase == Phase.IN_THE_SYSTEMS_QUEUE) {
      client.welcomed();
    }
    assertEquals(client.answer(), "value served");
    assertEquals(client.answer(), "closed");
    assertEquals(relay.awaitExit(), 0);
  }

  /**
   * Killed behind a request that was passed on: its client sees an end without an answer, and its
   * unit too.
   */
  @Test
  public void killedBehindARequestThatWasPassedOn() throws Exception {
    Peers.Client client = peers.new Client(port).welcomed();
    client.sends(pay());
    Peers.Unit.Query query = endpoint.query();
    relay.signal("KILL");
    String last = client.answer();
    assertTrue(last.equals("closed") || last.equals("reset"), last);
    Peers.await(query.on().closed, "the end of the unit's connection");
    assertEquals(endpoint.seen.size(), 1);
  }
}
