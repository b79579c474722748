package sprucerock.relay.platform.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sprucerock.transport.postgres.MessageWriter;

/** An endpoint that answers each statement with a value made for its id, after a while. */
final class StubEndpoint implements Closeable {
  /** How an endpoint misbehaves, as shares of the statements that it gets. */
  record Faults(double errors, double resets, double hangs) {
    static final Faults NONE = new Faults(0, 0, 0);
  }

  private static final int BACKLOG = 512;
  private static final Pattern ID = Pattern.compile("[ ,]id=([^, ]+)");

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final String name;
  private final AttemptRecord attempts;
  private final long workMs;
  private final int valueBytes;
  private volatile Faults faults;

  StubEndpoint(String name, AttemptRecord attempts, long workMs, int valueBytes, Faults faults)
      throws IOException {
    this.name = name;
    this.attempts = attempts;
    this.workMs = workMs;
    this.valueBytes = valueBytes;
    this.faults = faults;
    Background.start("endpoint", this::accept);
  }

  /** Its entry in discovery's list. */
  String listEntry() {
    return """
        {"id":"%s","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1.0,"started_ms":0,"image_id":7}"""
        .formatted(name, server.getLocalPort());
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      Background.start("endpoint connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      in.readNBytes(in.readInt() - Integer.BYTES);
      out.write(MessageWriter.sessionStart());
      while (true) {
        int type = in.readByte();
        byte[] body = new byte[in.readInt() - Integer.BYTES];
        in.readFully(body); // what is not whole does not count
        if (type != 'Q') {
          return;
        }
        if (body.length == 1) {
          out.write(
              MessageWriter.concat(
                  MessageWriter.emptyQueryResponse(), MessageWriter.readyForQuery()));
        } else if (!answer(idOf(body), socket, out)) {
          return;
        }
      }
    }
  }

  private static String idOf(byte[] body) throws IOException {
    Matcher id = ID.matcher(new String(body, StandardCharsets.ISO_8859_1));
    if (!id.find()) {
      throw new IOException("a statement without an id");
    }
    return id.group(1);
  }

  /** False where the connection has to end. */
  private boolean answer(String id, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    attempts.began(id);
    double draw = ThreadLocalRandom.current().nextDouble();
    Faults now = faults;
    Thread.sleep(workMs);
    if (draw < now.errors) {
      out.write(
          MessageWriter.concat(
              MessageWriter.errorResponse("ERROR", "XX000", "failed", null),
              MessageWriter.readyForQuery()));
      return true;
    }
    if (draw < now.errors + now.resets) {
      socket.setSoLinger(true, 0);
      return false;
    }
    if (draw < now.errors + now.resets + now.hangs) {
      socket.getInputStream().read(); // until the relay gives the attempt up
      return false;
    }
    out.write(value(id));
    return true;
  }

  private byte[] value(String id) {
    byte[] made = valueFor(id, valueBytes).getBytes(StandardCharsets.US_ASCII);
    byte[] column =
        ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').put((byte) 0).array();
    byte[] row =
        ByteBuffer.allocate(Short.BYTES + Integer.BYTES + made.length)
            .putShort((short) 1)
            .putInt(made.length)
            .put(made)
            .array();
    byte[] tag = "SELECT 1\0".getBytes(StandardCharsets.US_ASCII);
    return MessageWriter.concat(
        MessageWriter.singleRow(column, row, tag), MessageWriter.readyForQuery());
  }

  /** The value that is made for a request, of at least so many bytes. */
  static String valueFor(String id, int bytes) {
    String start = "made for " + id + " ";
    return start + "v".repeat(Math.max(0, bytes - start.length()));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
