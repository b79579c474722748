package sprucerock.transport.http;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;

/** Calls over HTTP/1.1 against a server that answers as it is told. */
public class HttpConnectionTest {
  private static final InetSocketAddress AT = new InetSocketAddress("127.0.0.1", 7000);

  private final SimulatedNet net = new SimulatedNet(0, 1);
  private final List<String> told = new ArrayList<>();
  private Connection server;

  /** Stands in for the server: keeps its end, and reads nothing. */
  private final class Server implements ConnectionListener {
    @Override
    public void connected(Connection connection) {
      server = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {}

    @Override
    public void closed(String why) {}
  }

  private final class Told implements HttpConnection.ResponseListener {
    private final String name;
    private final boolean streams;

    Told(String name, boolean streams) {
      this.name = name;
      this.streams = streams;
    }

    @Override
    public void bodyPart(int status, ByteBuffer bytes) {
      if (streams) {
        told.add(name + " piece " + StandardCharsets.US_ASCII.decode(bytes));
      }
    }

    @Override
    public boolean isStreaming() {
      return streams;
    }

    @Override
    public void completed(int status, byte[] body) {
      told.add(name + " " + status + " " + new String(body, StandardCharsets.US_ASCII));
    }

    @Override
    public void failed(String why, boolean carriedOut) {
      told.add(name + " failed, carried out " + carriedOut);
    }
  }

  private HttpConnection connection() throws java.io.IOException {
    told.clear();
    net.listen(AT, 10, 1 << 20, Server::new);
    HttpConnection connection = new HttpConnection(net, AT, TimeSpan.ofMs(100));
    net.settle();
    return connection;
  }

  private void says(String text) {
    net.turn(() -> server.append(text.getBytes(StandardCharsets.US_ASCII)));
    net.settle();
  }

  @Test
  public void callsOneBehindAnotherAreAnsweredInTheirOrder() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.post("/a", "x=1", new Told("first", false)));
    net.turn(() -> connection.get("/b", new Told("second", false)));
    net.settle();
    says("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 400 Bad\r\nTransfer-Enc");
    says("oding: chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n");
    assertEquals(told, List.of("first 200 one", "second 400 two"));
  }

  @Test
  public void aStreamIsToldPieceByPiece() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.get("/a", new Told("stream", true)));
    net.settle();
    says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    says("1\r\n!\r\n");
    assertEquals(told, List.of("stream piece hello", "stream piece !"));
  }

  @Test
  public void noiseEndsTheLinkAndItsCallsMayHaveBeenCarriedOut() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.post("/a", "x=1", new Told("vote", false)));
    net.settle();
    says("\u0007\u0001\u0002 noise\r\n");
    assertEquals(told, List.of("vote failed, carried out true"));
    assertEquals(connection.canSend(), false);
  }

  @Test
  public void aRefusedConnectionProvesThatNothingWasCarriedOut() {
    told.clear();
    HttpConnection connection =
        new HttpConnection(net, new InetSocketAddress("127.0.0.1", 7999), TimeSpan.ofMs(100));
    net.turn(() -> connection.post("/a", "x=1", new Told("vote", false)));
    net.settle();
    assertEquals(told, List.of("vote failed, carried out false"));
  }

  @Test
  public void linesWithoutEndAndBodiesWithoutLengthAreRefused() throws Exception {
    for (String bad :
        new String[] {
          "HTTP/1.1 200 " + "x".repeat(5000),
          "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + "x".repeat(70_000)
        }) {
      HttpConnection connection = connection();
      net.turn(() -> connection.get("/a", new Told("call", false)));
      net.settle();
      says(bad);
      assertEquals(told, List.of("call failed, carried out true"), bad);
    }
  }

  @Test
  public void eventsHaveNamesAndDataAndSignsOfLifeAreNone() throws HttpException {
    List<String> seen = new ArrayList<>();
    EventStreamParser events = new EventStreamParser();
    byte[] all =
        ":\n\nevent: news\ndata: a=1\n\n:\nevent: counts\r\ndata: b=2\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    for (byte b : all) {
      events.feed(ByteBuffer.wrap(new byte[] {b}), (name, data) -> seen.add(name + " " + data));
    }
    assertEquals(seen, List.of("news a=1", "counts b=2"));
  }
}
