package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses message bodies strictly: each must be complete, with no bytes left over. All methods take
 * a body without type and length, as {@link MessageFramer} passes it on, and don't change it.
 */
public final class MessageReader {
  /** What a startup message asks for. */
  public enum StartupKind {
    /** A session; its parameters name a user. */
    SESSION,
    /** Encryption by TLS or GSSAPI, asked for before the session. */
    ENCRYPTION,
    /** That the query of another connection be cancelled. */
    CANCEL
  }

  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_REQUEST_CODE = 80877104;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int MAJOR_VERSION = 3;
  private static final int AUTHENTICATION_OK = 0;
  private static final byte IDLE_STATUS = 'I';

  /** Behind a column's name: table, attribute, type, size, modifier and format. */
  private static final int COLUMN_DESCRIPTION_BYTES = 18;

  private MessageReader() {}

  /**
   * The kind of a startup message.
   *
   * @throws ProtocolException if it is no startup message of version 3, or its parameters are
   *     malformed or name no user
   */
  public static StartupKind parseStartup(byte[] body) throws ProtocolException {
    if (body.length < Integer.BYTES) {
      throw new ProtocolException("a startup message without a version");
    }
    ByteBuffer in = ByteBuffer.wrap(body);
    int code = in.getInt();
    if (code == SSL_REQUEST_CODE || code == GSS_REQUEST_CODE) {
      return StartupKind.ENCRYPTION;
    }
    if (code == CANCEL_REQUEST_CODE) {
      return StartupKind.CANCEL;
    }
    int majorVersion = code >>> 16;
    if (majorVersion != MAJOR_VERSION) {
      throw new ProtocolException("version " + majorVersion + " of the protocol, 3 is spoken here");
    }
    if (body[body.length - 1] != 0) {
      throw new ProtocolException("startup parameters that do not end");
    }
    boolean hasUser = readParameters(in);
    if (in.hasRemaining() || !hasUser) {
      throw new ProtocolException("startup parameters that can't be read");
    }
    return StartupKind.SESSION;
  }

  /** Skips names and values up to the empty name; whether one is "user". */
  private static boolean readParameters(ByteBuffer in) throws ProtocolException {
    boolean hasUser = false;
    String name = readString(in);
    while (!name.isEmpty()) {
      readString(in);
      hasUser |= name.equals("user");
      name = readString(in);
    }
    return hasUser;
  }

  /**
   * The text of a simple query, without its terminating zero byte.
   *
   * @throws ProtocolException if its only zero byte isn't the last one
   */
  public static byte[] parseQuery(byte[] body) throws ProtocolException {
    return Arrays.copyOf(body, queryLength(body));
  }

  /**
   * How many bytes of a simple query are its text, which begins with the first one.
   *
   * @throws ProtocolException if its only zero byte isn't the last one
   */
  public static int queryLength(byte[] body) throws ProtocolException {
    int end = body.length - 1;
    if (end < 0 || body[end] != 0) {
      throw new ProtocolException("a query that does not end");
    }
    for (int i = 0; i < end; i++) {
      if (body[i] == 0) {
        throw new ProtocolException("a query with a zero byte inside");
      }
    }
    return end;
  }

  /**
   * Checks that an authentication message is AuthenticationOk.
   *
   * @throws ProtocolException if the server asks for a password or any other proof
   */
  public static void requireAuthenticationOk(byte[] body) throws ProtocolException {
    if (body.length != Integer.BYTES || ByteBuffer.wrap(body).getInt() != AUTHENTICATION_OK) {
      throw new ProtocolException("a password is asked for");
    }
  }

  /**
   * Checks that a row description has one column.
   *
   * @throws ProtocolException if it has none or several, or is malformed
   */
  public static void requireSingleColumn(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    if (in.remaining() < Short.BYTES || in.getShort() != 1) {
      throw new ProtocolException("rows of other than one column");
    }
    readString(in);
    if (in.remaining() != COLUMN_DESCRIPTION_BYTES) {
      throw new ProtocolException("a column that can't be read");
    }
  }

  /**
   * The only value of a data row.
   *
   * @throws ProtocolException if it has none or several, or the value is null or its length differs
   *     from the bytes that follow
   */
  public static byte[] parseSingleValue(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    if (in.remaining() < Short.BYTES + Integer.BYTES || in.getShort() != 1) {
      throw new ProtocolException("a row of other than one value");
    }
    int length = in.getInt();
    if (length < 0 || length != in.remaining()) {
      throw new ProtocolException(
          "a value of length " + length + " in a row that has " + in.remaining());
    }
    byte[] value = new byte[length];
    in.get(value);
    return value;
  }

  /**
   * The command tag of a CommandComplete message, such as {@code SELECT 1}.
   *
   * @throws ProtocolException if the tag is empty or malformed
   */
  public static String parseCommandTag(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    String tag = readString(in);
    if (in.hasRemaining() || tag.isEmpty()) {
      throw new ProtocolException("a completion that can't be read");
    }
    return tag;
  }

  /**
   * Checks that a ReadyForQuery message has the status idle.
   *
   * @throws ProtocolException if the session is in a transaction, or the message is malformed
   */
  public static void requireReadyForQuery(byte[] body) throws ProtocolException {
    if (body.length != 1 || body[0] != IDLE_STATUS) {
      throw new ProtocolException("a readiness that can't be read");
    }
  }

  /**
   * A field of an error response.
   *
   * @param field the letter of the field, such as {@code C} for the SQLSTATE
   * @return the first value of that field; null if the response has none
   * @throws ProtocolException if the response is malformed
   */
  public static String parseErrorField(byte[] body, char field) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    String found = null;
    while (true) {
      if (!in.hasRemaining()) {
        throw new ProtocolException("an error that does not end");
      }
      int letter = in.get();
      if (letter == 0) {
        break;
      }
      String value = readString(in);
      if (letter == field && found == null) {
        found = value;
      }
    }
    if (in.hasRemaining()) {
      throw new ProtocolException("an error with more behind it");
    }
    return found;
  }

  /** Reads up to a zero byte; {@code in} must have an array and no offset. */
  private static String readString(ByteBuffer in) throws ProtocolException {
    int start = in.position();
    while (in.hasRemaining()) {
      if (in.get() == 0) {
        return new String(in.array(), start, in.position() - 1 - start, StandardCharsets.UTF_8);
      }
    }
    throw new ProtocolException("a text that does not end");
  }
}
