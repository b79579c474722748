package sprucerock.relay.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.slf4j.helpers.NOPLogger;
import sprucerock.config.ConfigException;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/**
 * A made-up day in memory, before any socket is open: the virtual machine has loaded and compiled
 * what it needs once clients come. A relay that meets its first clients cold stands still for up to
 * a second at half a core, and they for as long.
 */
public final class WarmUp {
  private static final int MOST =
      300; // RPCs; the compiler takes what was called 200 times; 1,200 cost a start a fifth more;
  // gain not settled
  private static final long TIME_MS =
      1500; // no more on a machine that is busy: late is worse than cold
  private static final int UNITS = 6;

  private static final String CONFIG =
      """
        {"name":"warm","listen":"127.0.0.1:100","discovery":"127.0.0.1:200","seed":"1","limits":{"sockets":256},
         "peer_listen":"127.0.0.1:400","peers":["127.0.0.1:400","127.0.0.1:401"],"peers_all":"127.0.0.1:499",
         "release_api":{"address":"127.0.0.1:500","news":{"build":8,"stage":0,"phase":"Progressing","cap":0.1,"age_ms":10}},
         "known":{"version":4,"full":true,"servers":[%s]},
         "settings":{"balancers":2,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[{"name":"look","effect":"read_like","on_time":300,"worth":1},
                     {"name":"put","effect":"idempotency_key","on_time":300,"window":2000,"worth":2},
                     {"name":"pay","effect":"non_idempotent","on_time":300,"worth":3}],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":100,"keepalive":3000,"max_retry_after":500,"peers":true,
           "retry_after":true,"second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,
           "vote_mode":"single","sums_every":2000}}}""";

  private final SimulatedNet net = new SimulatedNet(1000, 5);
  private int asked;
  private int answered;

  private WarmUp() {}

  /** Plays it, for a second or two at most; returns how many RPCs were answered. */
  public static int run(RelayEngine.PolicyFactory maker) {
    try {
      return new WarmUp().play(maker);
    } catch (IOException | ConfigException | ProtocolException e) {
      throw new IllegalStateException(
          "the made-up day can't be played", e); // nothing in it comes from outside
    }
  }

  private int play(RelayEngine.PolicyFactory maker)
      throws IOException, ConfigException, ProtocolException {
    long until = System.currentTimeMillis() + TIME_MS;
    StringBuilder servers = new StringBuilder();
    for (int i = 0; i < UNITS; i++) {
      servers
          .append(i == 0 ? "" : ",")
          .append("{\"id\":\"s-")
          .append(i)
          .append("\",\"addr\":\"127.0.0.1:")
          .append(300 + i)
          .append(
              "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0,\"image_id\":")
          .append(i < UNITS - 2 ? 7 : 8)
          .append('}');
      net.listen(at(300 + i), 1000, 1 << 20, Unit::new);
    }
    net.listen(
        at(200), 10, 1 << 20, () -> new Teller("{\"version\":5,\"full\":false,\"servers\":[]}\n"));
    net.listen(
        at(500),
        10,
        1 << 20,
        () ->
            new Teller(
                "event: counts\ndata: build=7&class=look&count=57&failed=2&mean_ms=18.5&age_ms=900\n\n"));
    byte[] config = CONFIG.formatted(servers).getBytes(StandardCharsets.UTF_8);
    PlatformRelay serving =
        new PlatformRelay(
            PlatformConfig.of(Path.of("warm"), config, Map.of()),
            net,
            5000,
            () -> {},
            new EventLog(net, NOPLogger.NOP_LOGGER));
    net.turn(
        () -> {
          try {
            serving.start(
                maker,
                TimeSpan.ZERO,
                e -> {
                  throw new java.io.UncheckedIOException(e);
                });
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
    net.settle();
    Client[] clients = new Client[8];
    for (int i = 0; i < clients.length; i++) {
      clients[i] = new Client();
      net.connect(at(100), TimeSpan.ofMs(100), 1 << 20, clients[i]);
    }
    while (asked < MOST && System.currentTimeMillis() < until) {
      for (Client client : clients) {
        if (client.connection != null && !client.waits) {
          client.ask();
        }
      }
      net.pass(5);
    }
    net.turn(() -> serving.shutdown(() -> {}));
    return answered;
  }

  private static InetSocketAddress at(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  /** What client and unit have in common: messages that are always whole. */
  private abstract static class Speaker implements ConnectionListener, MessageFramer.Listener {
    private final MessageFramer in;
    Connection connection;

    Speaker(MessageFramer in) {
      this.in = in;
    }

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        in.feed(bytes, this);
      } catch (ProtocolException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    @Override
    public void closed(String why) {}

    void started() {
      in.startupComplete();
    }
  }

  private final class Client extends Speaker {
    boolean waits = true;

    Client() {
      super(MessageFramer.fromServer(1 << 17));
    }

    @Override
    public void connected(Connection made) {
      super.connected(made);
      made.append(MessageWriter.startupMessage("svc", "main"));
    }

    @Override
    public void onMessage(char type, byte[] body) {
      if (type == 'C') {
        answered++;
      }
      if (type == 'Z') {
        waits = false;
      }
    }

    void ask() {
      waits = true;
      int number = asked++;
      String comment =
          " /* id="
              + number
              + ",c="
              + (number % 3 == 0 ? "look" : number % 3 == 1 ? "put" : "pay")
              + ",d=900,k="
              + number
              + " */";
      String text =
          number % 3 == 0
              ? "SELECT v FROM records WHERE k = '00000000000000aa'" + comment
              : "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x9f03') RETURNING v"
                  + comment;
      net.turn(
          () -> connection.append(MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII))));
    }
  }

  private final class Unit extends Speaker {
    private static final byte[] COLUMN =
        ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').array();
    private static final byte[] ROW = ByteBuffer.allocate(10).putShort((short) 1).putInt(4).array();
    private final byte[] answer =
        MessageWriter.concat(
            MessageWriter.message('T', COLUMN),
            MessageWriter.message('D', ROW),
            MessageWriter.message('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)),
            MessageWriter.readyForQuery());

    Unit() {
      super(MessageFramer.fromClient(1 << 18));
    }

    @Override
    public void onMessage(char type, byte[] body) throws ProtocolException {
      if (type == 0) {
        started();
        connection.append(MessageWriter.sessionStart());
      } else if (type == 'Q' && MessageReader.parseQuery(body).length == 0) {
        connection.append(MessageWriter.emptyQueryResponse());
        connection.append(MessageWriter.readyForQuery());
      } else if (type == 'Q' && MessageReader.parseQuery(body).length % 17 == 3) {
        connection.append(
            MessageWriter.concat(
                MessageWriter.errorResponse("ERROR", "XX000", "now and then", null),
                MessageWriter.readyForQuery()));
      } else if (type == 'Q') {
        connection.append(answer);
      }
    }
  }

  /** Discovery and desk: an answer without end that begins with one piece. */
  private record Teller(String piece) implements ConnectionListener {
    @Override
    public void connected(Connection connection) {
      String text =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(piece.length())
              + "\r\n"
              + piece
              + "\r\n";
      connection.append(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void received(ByteBuffer bytes) {}

    @Override
    public void closed(String why) {}
  }
}
