package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages as bytes. Arrays that are shared must not be changed. */
public final class MessageWriter {
  private static final int VERSION = 3 << 16;
  private static final byte[] READY = message('Z', new byte[] {'I'});
  private static final byte[] EMPTY = message('I', new byte[0]);
  private static final byte[] TERMINATE = message('X', new byte[0]);

  private MessageWriter() {}

  /** A whole message of a type and its body. */
  public static byte[] message(char type, byte[] body) {
    return ByteBuffer.allocate(5 + body.length)
        .put((byte) type)
        .putInt(4 + body.length)
        .put(body)
        .array();
  }

  // What a server sends.

  /** Welcomes a client: no password, a few parameters, a key that cancels nothing, ready. */
  public static byte[] sessionStart() {
    return concat(
        message('R', new byte[4]),
        parameter("server_version", "14.0"),
        parameter("server_encoding", "UTF8"),
        parameter("client_encoding", "UTF8"),
        parameter("DateStyle", "ISO, MDY"),
        parameter("integer_datetimes", "on"),
        parameter("standard_conforming_strings", "on"),
        message('K', new byte[8]),
        READY);
  }

  private static byte[] parameter(String name, String value) {
    return message('S', text(name, value));
  }

  /** Ready for the next query. */
  public static byte[] readyForQuery() {
    return READY;
  }

  /** The answer to an empty query. */
  public static byte[] emptyQueryResponse() {
    return EMPTY;
  }

  /** An error of a severity (ERROR, FATAL) and SQLSTATE; {@code detail} may be null. */
  public static byte[] errorResponse(String severity, String code, String text, String detail) {
    StringBuilder body =
        new StringBuilder()
            .append('S')
            .append(severity)
            .append('\0')
            .append('V')
            .append(severity)
            .append('\0')
            .append('C')
            .append(code)
            .append('\0')
            .append('M')
            .append(text)
            .append('\0');
    if (detail != null) {
      body.append('D').append(detail).append('\0');
    }
    return message('E', body.append('\0').toString().getBytes(StandardCharsets.UTF_8));
  }

  // What a client sends.

  public static byte[] startupMessage(String user, String database) {
    byte[] body = text("user", user, "database", database, "");
    return ByteBuffer.allocate(8 + body.length)
        .putInt(8 + body.length)
        .putInt(VERSION)
        .put(body)
        .array();
  }

  public static byte[] query(byte[] text) {
    return ByteBuffer.allocate(6 + text.length)
        .put((byte) 'Q')
        .putInt(5 + text.length)
        .put(text)
        .put((byte) 0)
        .array();
  }

  public static byte[] terminate() {
    return TERMINATE;
  }

  private static byte[] text(String... parts) {
    StringBuilder text = new StringBuilder();
    for (String part : parts) {
      text.append(part).append('\0');
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** One behind the other. */
  public static byte[] concat(byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    ByteBuffer all = ByteBuffer.allocate(length);
    for (byte[] part : parts) {
      all.put(part);
    }
    return all.array();
  }
}
