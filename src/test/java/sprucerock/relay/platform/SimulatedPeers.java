package sprucerock.relay.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import sprucerock.policy.RoutingPolicy;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/** The ends that a relay on the platform speaks to, over a simulated network. */
final class SimulatedPeers {
  /** Where the relay under test listens for clients. */
  static final int RELAY_PORT = 100;

  final SimulatedNet net;

  /** The units' connections on which a statement came, the latest last. */
  final List<UnitEnd> asked = new ArrayList<>();

  int closedUnitEnds;

  SimulatedPeers(SimulatedNet net) {
    this.net = net;
  }

  /** A unit's end of a connection: greets, and answers queries as the test says. */
  final class UnitEnd implements ConnectionListener, MessageFramer.Listener {
    private final MessageFramer in = MessageFramer.fromClient(1 << 18);
    private final BooleanSupplier comesUpLate;
    private Connection connection;
    private boolean awaitsWelcome;
    String query;

    /** Sent as the next query comes, in front of its answer: a second copy that crosses it. */
    byte[] lateCopy = {};

    UnitEnd() {
      this(() -> false);
    }

    /** One whose connection comes up late while {@code comesUpLate}: see {@link #welcome}. */
    UnitEnd(BooleanSupplier comesUpLate) {
      this.comesUpLate = comesUpLate;
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
        throw new AssertionError(e);
      }
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    @Override
    public void onMessage(char type, byte[] body) throws ProtocolException {
      if (type == 0) {
        in.startupComplete();
        awaitsWelcome = comesUpLate.getAsBoolean();
        if (!awaitsWelcome) {
          connection.append(MessageWriter.sessionStart());
        }
      } else if (type == 'Q') {
        connection.append(lateCopy);
        lateCopy = new byte[0];
        queried(new String(MessageReader.parseQuery(body), StandardCharsets.US_ASCII));
      }
    }

    private void queried(String text) {
      if (text.isEmpty()) {
        connection.append(MessageWriter.emptyQueryResponse());
        connection.append(MessageWriter.readyForQuery());
        return;
      }
      query = text;
      asked.add(this);
    }

    /** Brings the connection up where it came late. */
    void welcome() {
      if (awaitsWelcome) {
        awaitsWelcome = false;
        net.turn(() -> connection.append(MessageWriter.sessionStart()));
        net.settle();
      }
    }

    void says(byte[]... messages) {
      query = null;
      net.turn(() -> connection.append(MessageWriter.concat(messages)));
      net.settle();
    }

    @Override
    public void closed(String why) {
      closedUnitEnds++;
    }
  }

  /** A client, which keeps what it was answered. */
  class Client implements ConnectionListener, MessageFramer.Listener {
    private final MessageFramer in = MessageFramer.fromServer(1 << 18);
    final List<String> got = new ArrayList<>();
    Connection connection;
    boolean closed;

    Client() {
      net.connect(address(RELAY_PORT), TimeSpan.ofMs(100), 1 << 20, this);
      net.settle();
    }

    Client started() {
      sends(MessageWriter.startupMessage("svc", "main"));
      got.clear();
      return this;
    }

    void sends(byte[]... bytes) {
      net.turn(() -> connection.append(MessageWriter.concat(bytes)));
      net.settle();
    }

    void asks(String text) {
      sends(MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII)));
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
        throw new AssertionError(e);
      }
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    @Override
    public void onMessage(char type, byte[] body) throws ProtocolException {
      if (type == 'D') {
        got.add(
            "value " + new String(MessageReader.parseSingleValue(body), StandardCharsets.US_ASCII));
      } else if (type == 'E') {
        got.add(
            "error "
                + MessageReader.parseErrorField(body, 'C')
                + (MessageReader.parseErrorField(body, 'D') == null
                    ? ""
                    : " again after " + MessageReader.parseErrorField(body, 'D')));
      } else {
        got.add("" + type);
      }
    }

    @Override
    public void closed(String why) {
      closed = true;
    }
  }

  /** Discovery's or the release desk's end: keeps what was asked, and says what the test says. */
  final class Watch implements ConnectionListener {
    Connection connection;
    final StringBuilder heard = new StringBuilder();

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      heard.append(StandardCharsets.US_ASCII.decode(bytes));
    }

    @Override
    public void closed(String why) {}

    void begins() {
      says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void chunk(String text) {
      says(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    void says(String text) {
      net.turn(() -> connection.append(text.getBytes(StandardCharsets.US_ASCII)));
      net.settle();
    }
  }

  /** Starts a relay on a simulated network, where every address can be listened at. */
  static void start(SimulatedNet net, PlatformRelay relay) {
    start(net, relay, TimeSpan.ZERO);
  }

  /** The same, of a process that has begun so long before. */
  static void start(SimulatedNet net, PlatformRelay relay, TimeSpan startupTime) {
    net.turn(
        () -> {
          try {
            relay.start(RoutingPolicy::new, startupTime, SimulatedPeers::cannotListen);
          } catch (IOException e) {
            cannotListen(e);
          }
        });
    net.settle();
  }

  private static void cannotListen(IOException why) {
    throw new AssertionError(why);
  }

  static InetSocketAddress address(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  static String entry(String id, int port, String state, int build) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0,\"image_id\":"
        + build
        + "}";
  }

  static byte[][] value(String value) {
    byte[] column =
        ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').put((byte) 0).array();
    byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
    byte[] row =
        ByteBuffer.allocate(6 + bytes.length)
            .putShort((short) 1)
            .putInt(bytes.length)
            .put(bytes)
            .array();
    return new byte[][] {
      MessageWriter.message('T', Arrays.copyOf(column, 22)),
      MessageWriter.message('D', row),
      MessageWriter.message('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)),
      MessageWriter.readyForQuery()
    };
  }
}
