package sprucerock.relay.platform;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucerock.transport.postgres.MessageWriter;

/** A relay as its own process, which takes clients, with one endpoint that the test answers for. */
final class ServeFixture implements AutoCloseable {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c","limits":{"sockets":%d},"release_api":{"address":"%s","news":{}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"pay","effect":"non_idempotent","on_time":20000,"hard_limit":20000,"worth":1}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":20000,"keepalive":60000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
        """;

  final Peers peers = new Peers();
  final Peers.Unit endpoint = peers.new Unit();
  final ServeProcess relay;
  final int port;
  private final Path config = Files.createTempFile("serve", ".json");

  /**
   * Starts it, and waits until it takes clients.
   *
   * @param sockets the descriptors that it may hold
   * @param options of its virtual machine
   */
  ServeFixture(int sockets, String... options) throws Exception {
    Peers.Agent discovery = peers.new Agent();
    Files.writeString(
        config,
        CONFIG.formatted(
            discovery.address(),
            sockets,
            peers.new Agent().address(),
            endpoint.entry("s-1", "SERVING", 7)));
    relay = ServeProcess.start(config, 0, options);
    discovery.call().begins().list(4, false);
    port = relay.awaitStarted();
  }

  /** A request that must not run twice, with a value of so many bytes. */
  static byte[] pay(String id, int valueBytes) {
    String text =
        "INSERT INTO records (k, v) VALUES ('aa', '\\x"
            + "0f".repeat(valueBytes)
            + "') RETURNING v /* id="
            + id
            + ",c=pay,d=20000 */";
    return MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void close() throws Exception {
    relay.kill();
    peers.close();
    Files.delete(config);
  }
}
