package sprucerock.transport.http;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
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

/** Requests over HTTP/1.1 against a scripted server, and the parsing of event streams. */
public class HttpConnectionTest {
  private static final InetSocketAddress SERVER = new InetSocketAddress("127.0.0.1", 7000);

  private final SimulatedNet net = new SimulatedNet(0, 1);
  private final List<String> notifications = new ArrayList<>();
  private Connection server;

  /** Keeps the server's end of the connection and ignores what arrives. */
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

  private final class RecordingListener implements HttpConnection.ResponseListener {
    private final String name;
    private final boolean streaming;

    RecordingListener(String name, boolean streaming) {
      this.name = name;
      this.streaming = streaming;
    }

    @Override
    public void bodyPart(int status, ByteBuffer bytes) {
      if (streaming) {
        notifications.add(name + " piece " + StandardCharsets.US_ASCII.decode(bytes));
      }
    }

    @Override
    public boolean isStreaming() {
      return streaming;
    }

    @Override
    public void completed(int status, byte[] body) {
      notifications.add(name + " " + status + " " + new String(body, StandardCharsets.US_ASCII));
    }

    @Override
    public void failed(String why, boolean maybeExecuted) {
      notifications.add(name + " failed, carried out " + maybeExecuted);
    }
  }

  private HttpConnection connection() throws IOException {
    notifications.clear();
    net.listen(SERVER, 10, 1 << 20, Server::new);
    HttpConnection connection = new HttpConnection(net, SERVER, TimeSpan.ofMs(100));
    net.settle();
    return connection;
  }

  private void serverSends(String text) {
    net.turn(() -> server.append(text.getBytes(StandardCharsets.US_ASCII)));
    net.settle();
  }

  @Test
  public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.post("/a", "x=1", new RecordingListener("first", false)));
    net.turn(() -> connection.get("/b", new RecordingListener("second", false)));
    net.settle();
    serverSends("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 400 Bad\r\nTransfer-Enc");
    serverSends("oding: chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n");
    assertEquals(notifications, List.of("first 200 one", "second 400 two"));
  }

  @Test
  public void streamingBodiesArePassedOnInPieces() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.get("/a", new RecordingListener("stream", true)));
    net.settle();
    serverSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    serverSends("1\r\n!\r\n");
    assertEquals(notifications, List.of("stream piece hello", "stream piece !"));
  }

  @Test
  public void invalidBytesCloseTheConnectionAndItsRequestsMayHaveBeenExecuted() throws Exception {
    HttpConnection connection = connection();
    net.turn(() -> connection.post("/a", "x=1", new RecordingListener("vote", false)));
    net.settle();
    serverSends("\u0007\u0001\u0002 noise\r\n");
    assertEquals(notifications, List.of("vote failed, carried out true"));
    assertEquals(connection.canSend(), false);
  }

  @Test
  public void refusedConnectionProvesThatNothingWasExecuted() {
    notifications.clear();
    HttpConnection connection =
        new HttpConnection(net, new InetSocketAddress("127.0.0.1", 7999), TimeSpan.ofMs(100));
    net.turn(() -> connection.post("/a", "x=1", new RecordingListener("vote", false)));
    net.settle();
    assertEquals(notifications, List.of("vote failed, carried out false"));
  }

  @Test
  public void overlongLinesAndBodiesOfUnknownOrExcessiveLengthAreRejected() throws Exception {
    for (String invalid :
        new String[] {
          "HTTP/1.1 200 " + "x".repeat(5000),
          "HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + "x".repeat(70_000)
        }) {
      HttpConnection connection = connection();
      net.turn(() -> connection.get("/a", new RecordingListener("call", false)));
      net.settle();
      serverSends(invalid);
      assertEquals(notifications, List.of("call failed, carried out true"), invalid);
    }
  }

  @Test
  public void eventsHaveNamesAndDataAndKeepAlivesAreSkipped() throws HttpException {
    List<String> received = new ArrayList<>();
    EventStreamParser parser = new EventStreamParser();
    byte[] all =
        ":\n\nevent: news\ndata: a=1\n\n:\nevent: counts\r\ndata: b=2\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    for (byte b : all) {
      parser.feed(ByteBuffer.wrap(new byte[] {b}), (name, data) -> received.add(name + " " + data));
    }
    assertEquals(received, List.of("news a=1", "counts b=2"));
  }
}
