package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Bodies of messages, read strictly: each must be whole, and nothing may be left over. */
public final class MessageReader {
  private static final int SSL = 80877103;
  private static final int GSS = 80877104;
  private static final int CANCEL = 80877102;

  /** What a startup message asks for. */
  public enum StartupKind {
    SESSION,
    ENCRYPTION,
    CANCEL
  }

  private MessageReader() {}

  /**
   * @throws ProtocolException if it is no startup message of version 3
   */
  public static StartupKind parseStartup(byte[] body) throws ProtocolException {
    if (body.length < 4) {
      throw new ProtocolException("a startup message without a version");
    }
    ByteBuffer in = ByteBuffer.wrap(body);
    int code = in.getInt();
    if (code == SSL || code == GSS) {
      return StartupKind.ENCRYPTION;
    }
    if (code == CANCEL) {
      return StartupKind.CANCEL;
    }
    if (code >>> 16 != 3) {
      throw new ProtocolException(
          "version " + (code >>> 16) + " of the protocol, 3 is spoken here");
    }
    if (body[body.length - 1] != 0) {
      throw new ProtocolException("startup parameters that do not end");
    }
    boolean user = false;
    while (true) {
      String name = string(in);
      if (name.isEmpty()) {
        break;
      }
      string(in);
      user |= name.equals("user");
    }
    if (in.hasRemaining() || !user) {
      throw new ProtocolException("startup parameters that can't be read");
    }
    return StartupKind.SESSION;
  }

  /** The text of a simple query. @throws ProtocolException if it does not end where it should */
  public static byte[] parseQuery(byte[] body) throws ProtocolException {
    int end = body.length - 1;
    if (end < 0 || body[end] != 0) {
      throw new ProtocolException("a query that does not end");
    }
    for (int i = 0; i < end; i++) {
      if (body[i] == 0) {
        throw new ProtocolException("a query with a zero byte inside");
      }
    }
    return java.util.Arrays.copyOf(body, end);
  }

  /**
   * @throws ProtocolException unless it says that no password is wanted
   */
  public static void requireAuthenticationOk(byte[] body) throws ProtocolException {
    if (body.length != 4 || ByteBuffer.wrap(body).getInt() != 0) {
      throw new ProtocolException("a password is asked for");
    }
  }

  /**
   * @throws ProtocolException unless it describes rows of one column
   */
  public static void requireSingleColumn(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    if (in.remaining() < 2 || in.getShort() != 1) {
      throw new ProtocolException("rows of other than one column");
    }
    string(in);
    if (in.remaining() != 18) {
      throw new ProtocolException("a column that can't be read");
    }
  }

  /** The one value of a row. @throws ProtocolException unless it is one whole value */
  public static byte[] parseSingleValue(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    if (in.remaining() < 6 || in.getShort() != 1) {
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
   * @throws ProtocolException unless it tells that a command is complete
   */
  public static String parseCommandTag(byte[] body) throws ProtocolException {
    ByteBuffer in = ByteBuffer.wrap(body);
    String tag = string(in);
    if (in.hasRemaining() || tag.isEmpty()) {
      throw new ProtocolException("a completion that can't be read");
    }
    return tag;
  }

  /**
   * @throws ProtocolException unless it says ready, outside a transaction
   */
  public static void requireReadyForQuery(byte[] body) throws ProtocolException {
    if (body.length != 1 || body[0] != 'I') {
      throw new ProtocolException("a readiness that can't be read");
    }
  }

  /**
   * A field of an error, by its letter; null where it has none. @throws ProtocolException if it
   * can't be read
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
      String value = string(in);
      if (letter == field && found == null) {
        found = value;
      }
    }
    if (in.hasRemaining()) {
      throw new ProtocolException("an error with more behind it");
    }
    return found;
  }

  private static String string(ByteBuffer in) throws ProtocolException {
    int start = in.position();
    while (in.hasRemaining()) {
      if (in.get() == 0) {
        return new String(in.array(), start, in.position() - 1 - start, StandardCharsets.UTF_8);
      }
    }
    throw new ProtocolException("a text that does not end");
  }
}
