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
 * One connection to an HTTP/1.1 server. Requests may be pipelined; responses come in their order.
 * Nothing is retried and no other connection is made: the caller decides that.
 *
 * <p>Confined to the loop thread of its {@link Net}.
 */
public final class HttpConnection implements ConnectionListener {
  /**
   * Receives the response to one request. Exactly one of {@link #completed} and {@link #failed} is
   * called, unless the response never ends.
   */
  public interface ResponseListener {
    /**
     * A piece of the body has arrived; by default bodies are passed on only when complete.
     *
     * @param bytes valid during the call only
     * @throws HttpException if the piece is invalid: the connection is cut then
     */
    default void bodyPart(int status, ByteBuffer bytes) throws HttpException {}

    /**
     * The response is complete.
     *
     * @param body empty if the body {@link #isStreaming}
     */
    void completed(int status, byte[] body);

    /**
     * The connection closed before the response was complete.
     *
     * @param why the reason, for a log
     * @param maybeExecuted whether the server may have received the whole request; false proves
     *     that it did not
     */
    void failed(String why, boolean maybeExecuted);

    /** Whether the body is passed on in pieces only, without a limit of its length. */
    default boolean isStreaming() {
      return false;
    }
  }

  /** A request without a complete response; {@code endOffset} is where its bytes end. */
  private record PendingRequest(ResponseListener listener, long endOffset) {}

  private static final int MAX_BODY_BYTES = 64 * 1024; // of a response that isn't streaming
  private static final int MAX_PENDING_REQUESTS = 64;
  private static final long MAX_UNSENT_BYTES = 256 * 1024;

  private final Net net;
  private final InetSocketAddress server;
  private final ArrayDeque<PendingRequest> pending = new ArrayDeque<>();
  private final ResponseParser parser = new ResponseParser();
  private final ResponseParser.Listener responses = new ResponseAssembler();
  private final Connection connection;
  private boolean connected;
  private boolean closed;
  private Timestamp lastSentAt;
  private Timestamp lastReceivedAt;
  private boolean hasReceived;

  /**
   * Begins to connect. Requests may be sent at once; they go out when the connection is up.
   *
   * @param connectTimeout how long connecting may take
   */
  public HttpConnection(Net net, InetSocketAddress server, TimeSpan connectTimeout) {
    this.net = net;
    this.server = server;
    lastSentAt = net.now();
    lastReceivedAt = lastSentAt;
    connection = net.connect(server, connectTimeout, MAX_UNSENT_BYTES, this);
  }

  /** Whether another request may be sent: it is not closed, and under 64 are pending. */
  public boolean canSend() {
    return !closed && pending.size() < MAX_PENDING_REQUESTS;
  }

  /** Whether no request is pending. */
  public boolean isIdle() {
    return pending.isEmpty();
  }

  /** When bytes last arrived; before any did, when the connection was begun. */
  public Timestamp lastReceivedAt() {
    return lastReceivedAt;
  }

  /** Whether any bytes arrived. */
  public boolean hasReceived() {
    return hasReceived;
  }

  /** When a request was last sent; before any was, when the connection was begun. */
  public Timestamp lastSentAt() {
    return lastSentAt;
  }

  /**
   * Sends a GET request.
   *
   * @param path path and query, in ASCII
   */
  public void get(String path, ResponseListener listener) {
    send("GET " + path + " HTTP/1.1\r\nHost: " + host() + "\r\n\r\n", listener);
  }

  /**
   * Sends a POST request.
   *
   * @param path path and query, in ASCII
   * @param form the body, encoded as {@code application/x-www-form-urlencoded}
   */
  public void post(String path, String form, ResponseListener listener) {
    send(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: "
            + host()
            + "\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: "
            + form.getBytes(StandardCharsets.UTF_8).length
            + "\r\n\r\n"
            + form,
        listener);
  }

  private String host() {
    return server.getAddress().getHostAddress() + ":" + server.getPort();
  }

  private void send(String text, ResponseListener listener) {
    lastSentAt = net.now();
    connection.append(text.getBytes(StandardCharsets.US_ASCII));
    pending.add(new PendingRequest(listener, connection.bytesWritten()));
  }

  /**
   * Closes at once; pending requests fail in a later turn.
   *
   * @param why the reason, which their listeners are given
   */
  public void cut(String why) {
    connection.cut(why);
  }

  /** Closes once all that was written has gone out. */
  public void finish() {
    connection.finish();
  }

  @Override
  public void connected(Connection made) {
    connected = true;
  }

  @Override
  public void received(ByteBuffer bytes) {
    lastReceivedAt = net.now();
    hasReceived = true;
    if (closed) {
      return;
    }
    try {
      parser.feed(bytes, responses);
    } catch (HttpException e) {
      connection.cut("not to be read: " + e.getMessage());
    }
  }

  @Override
  public void closed(String why) {
    closed = true;
    while (!pending.isEmpty()) {
      PendingRequest request = pending.poll();
      boolean maybeExecuted = connected && connection.bytesHandedOver() >= request.endOffset;
      request.listener.failed(why, maybeExecuted);
    }
  }

  /** Assigns what is parsed to the oldest pending request. */
  private final class ResponseAssembler implements ResponseParser.Listener {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    @Override
    public void head(int code) throws HttpException {
      if (pending.isEmpty()) {
        throw new HttpException("an answer that nobody asked for");
      }
      status = code;
      body.reset();
    }

    @Override
    public void body(ByteBuffer piece) throws HttpException {
      ResponseListener listener = pending.peek().listener;
      listener.bodyPart(status, piece.duplicate());
      if (listener.isStreaming()) {
        return;
      }
      if (body.size() + piece.remaining() > MAX_BODY_BYTES) {
        throw new HttpException("a body of more than " + MAX_BODY_BYTES + " bytes");
      }
      byte[] copy = new byte[piece.remaining()];
      piece.get(copy);
      body.writeBytes(copy);
    }

    @Override
    public void end() {
      pending.poll().listener.completed(status, body.toByteArray());
    }
  }
}
