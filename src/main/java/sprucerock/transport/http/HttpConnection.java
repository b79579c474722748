package sprucerock.transport.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/**
 * One connection to a server: calls may follow one behind another, and their answers come in that
 * order. Nothing is sent again, and no other connection is made: who calls decides that.
 */
public final class HttpConnection implements ConnectionListener {
  /**
   * Who made a call. Exactly one of {@code answered} and {@code failed} is told, unless the answer
   * never ends.
   */
  public interface ResponseListener {
    /** A piece of the body, as it comes; by default bodies are only told whole. */
    default void bodyPart(int status, ByteBuffer bytes) throws HttpException {}

    /** The answer is whole; the body is empty for calls whose body {@link #streams}. */
    void completed(int status, byte[] body);

    /** No answer; {@code carriedOut}: whether the server may have got the call whole. */
    void failed(String why, boolean carriedOut);

    /** Its body is told in pieces only, and may be without end. */
    default boolean isStreaming() {
      return false;
    }
  }

  private record Open(ResponseListener call, long mark) {}

  private static final int BODY = 64 * 1024; // of an answer that is told whole
  private static final int OPEN = 64; // calls one behind the other
  private static final long UNSENT = 256 * 1024;

  private final Net net;
  private final InetSocketAddress to;
  private final ArrayDeque<Open> calls = new ArrayDeque<>();
  private final ResponseParser answers = new ResponseParser();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final Connection connection;
  private int status;
  private boolean up;
  private boolean closed;
  private Timestamp lastSentAt;
  private Timestamp lastReceivedAt;
  private boolean hasReceived;

  /** Begins to connect. */
  public HttpConnection(Net net, InetSocketAddress to, TimeSpan within) {
    this.net = net;
    this.to = to;
    lastSentAt = net.now();
    lastReceivedAt = lastSentAt;
    connection = net.connect(to, within, UNSENT, this);
  }

  /** Whether another call may be sent on it. */
  public boolean canSend() {
    return !closed && calls.size() < OPEN;
  }

  public boolean isIdle() {
    return calls.isEmpty();
  }

  /** When bytes came last, or it was made. */
  public Timestamp lastReceivedAt() {
    return lastReceivedAt;
  }

  /** Whether any bytes came. */
  public boolean hasReceived() {
    return hasReceived;
  }

  /** When a call was sent last, or it was made. */
  public Timestamp lastSentAt() {
    return lastSentAt;
  }

  /** Asks for a path. */
  public void get(String path, ResponseListener call) {
    send("GET " + path + " HTTP/1.1\r\nHost: " + host() + "\r\n\r\n", call);
  }

  /** Sends a form. */
  public void post(String path, String form, ResponseListener call) {
    send(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: "
            + host()
            + "\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: "
            + form.getBytes(StandardCharsets.UTF_8).length
            + "\r\n\r\n"
            + form,
        call);
  }

  private String host() {
    return to.getAddress().getHostAddress() + ":" + to.getPort();
  }

  private void send(String text, ResponseListener call) {
    lastSentAt = net.now();
    connection.append(text.getBytes(StandardCharsets.US_ASCII));
    calls.add(new Open(call, connection.bytesWritten()));
  }

  public void cut(String why) {
    connection.cut(why);
  }

  /** Closes once what was written has gone out. */
  public void finish() {
    connection.finish();
  }

  @Override
  public void connected(Connection made) {
    up = true;
  }

  @Override
  public void received(ByteBuffer bytes) {
    lastReceivedAt = net.now();
    hasReceived = true;
    if (closed) {
      return;
    }
    try {
      answers.take(
          bytes,
          new ResponseParser.Listener() {
            @Override
            public void head(int code) throws HttpException {
              if (calls.isEmpty()) {
                throw new HttpException("an answer that nobody asked for");
              }
              status = code;
              body.reset();
            }

            @Override
            public void body(ByteBuffer piece) throws HttpException {
              ResponseListener call = calls.peek().call;
              call.bodyPart(status, piece.duplicate());
              if (call.isStreaming()) {
                return;
              }
              if (body.size() + piece.remaining() > BODY) {
                throw new HttpException("a body of more than " + BODY + " bytes");
              }
              byte[] copy = new byte[piece.remaining()];
              piece.get(copy);
              body.writeBytes(copy);
            }

            @Override
            public void end() {
              calls.poll().call.completed(status, body.toByteArray());
            }
          });
    } catch (HttpException e) {
      connection.cut("not to be read: " + e.getMessage());
    }
  }

  @Override
  public void closed(String why) {
    closed = true;
    while (!calls.isEmpty()) {
      Open open = calls.poll();
      open.call.failed(why, up && connection.bytesHandedOver() >= open.mark);
    }
  }
}
