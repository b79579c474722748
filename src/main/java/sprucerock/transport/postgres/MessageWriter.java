package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes messages. Arrays that are returned may be shared between callers and must not be changed.
 */
public final class MessageWriter {
  private static final int PROTOCOL_VERSION = 3 << 16;
  private static final int TYPE_BYTES = 1;
  private static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = TYPE_BYTES + LENGTH_BYTES;
  private static final int VERSION_BYTES = 4;
  private static final int AUTHENTICATION_CODE_BYTES = 4;
  private static final int BACKEND_KEY_BYTES = 8;

  private static final byte[] READY_FOR_QUERY = message('Z', new byte[] {'I'});
  private static final byte[] EMPTY_QUERY_RESPONSE = message('I', new byte[0]);
  private static final byte[] TERMINATE = message('X', new byte[0]);

  private MessageWriter() {}

  /**
   * A typed message.
   *
   * @param type the type byte
   * @param body what follows the length
   */
  public static byte[] message(char type, byte[] body) {
    ByteBuffer message = ByteBuffer.allocate(HEADER_BYTES + body.length);
    putMessage(message, type, body);
    return message.array();
  }

  /**
   * What a server answers a startup message with: no password wanted, the parameters that client
   * libraries ask for, a key that cancels nothing, ready for a query.
   */
  public static byte[] sessionStart() {
    return concat(
        message('R', new byte[AUTHENTICATION_CODE_BYTES]),
        parameterStatus("server_version", "14.0"),
        parameterStatus("server_encoding", "UTF8"),
        parameterStatus("client_encoding", "UTF8"),
        parameterStatus("DateStyle", "ISO, MDY"),
        parameterStatus("integer_datetimes", "on"),
        parameterStatus("standard_conforming_strings", "on"),
        message('K', new byte[BACKEND_KEY_BYTES]),
        READY_FOR_QUERY);
  }

  private static byte[] parameterStatus(String name, String value) {
    return message('S', strings(name, value));
  }

  /** A server's ReadyForQuery outside a transaction; shared. */
  public static byte[] readyForQuery() {
    return READY_FOR_QUERY;
  }

  /** A server's response to an empty query; shared. */
  public static byte[] emptyQueryResponse() {
    return EMPTY_QUERY_RESPONSE;
  }

  /**
   * A server's error response.
   *
   * @param severity ERROR ends the query, FATAL the session
   * @param sqlState the five characters of the SQLSTATE
   * @param text the message for a person
   * @param detail more about it; null for none
   */
  public static byte[] errorResponse(String severity, String sqlState, String text, String detail) {
    StringBuilder body = new StringBuilder();
    appendField(body, 'S', severity);
    appendField(body, 'V', severity);
    appendField(body, 'C', sqlState);
    appendField(body, 'M', text);
    if (detail != null) {
      appendField(body, 'D', detail);
    }
    return message('E', body.append('\0').toString().getBytes(StandardCharsets.UTF_8));
  }

  private static void appendField(StringBuilder body, char field, String value) {
    body.append(field).append(value).append('\0');
  }

  /** A client's startup message for a session. */
  public static byte[] startupMessage(String user, String database) {
    byte[] parameters = strings("user", user, "database", database, "");
    int length = LENGTH_BYTES + VERSION_BYTES + parameters.length;
    return ByteBuffer.allocate(length)
        .putInt(length)
        .putInt(PROTOCOL_VERSION)
        .put(parameters)
        .array();
  }

  /**
   * A client's simple query.
   *
   * @param text the statement, without a zero byte
   */
  public static byte[] query(byte[] text) {
    int length = LENGTH_BYTES + text.length + 1;
    return ByteBuffer.allocate(TYPE_BYTES + length)
        .put((byte) 'Q')
        .putInt(length)
        .put(text)
        .put((byte) 0)
        .array();
  }

  /**
   * The type and length of a client's simple query, whose text and terminating zero byte follow.
   *
   * @param textBytes the length of the text, without the zero byte
   */
  public static byte[] queryHeader(int textBytes) {
    return ByteBuffer.allocate(HEADER_BYTES)
        .put((byte) 'Q')
        .putInt(LENGTH_BYTES + textBytes + 1)
        .array();
  }

  /**
   * A server's answer to a query that yields one row, in one array.
   *
   * @param column the body of the row description
   * @param row the body of the data row
   * @param tag the body of the completion
   */
  public static byte[] singleRow(byte[] column, byte[] row, byte[] tag) {
    ByteBuffer all =
        ByteBuffer.allocate(3 * HEADER_BYTES + column.length + row.length + tag.length);
    putMessage(all, 'T', column);
    putMessage(all, 'D', row);
    putMessage(all, 'C', tag);
    return all.array();
  }

  private static void putMessage(ByteBuffer to, char type, byte[] body) {
    to.put((byte) type).putInt(LENGTH_BYTES + body.length).put(body);
  }

  /** A client's message that ends the session; shared. */
  public static byte[] terminate() {
    return TERMINATE;
  }

  /** Strings in UTF-8, each followed by a zero byte. */
  private static byte[] strings(String... values) {
    StringBuilder text = new StringBuilder();
    for (String value : values) {
      text.append(value).append('\0');
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** All arrays, one behind the other, in a new array. */
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
