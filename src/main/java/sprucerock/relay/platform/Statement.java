package sprucerock.relay.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import sprucerock.model.Method;
import sprucerock.transport.net.Connection;
import sprucerock.transport.postgres.MessageWriter;

/** A client's statement, understood: what its comment says, and what a unit is sent. */
final class Statement {
  /** A statement that is not of the one form; the message is for the client. */
  static final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * The parts of a statement's text.
   *
   * @param digits the number of hexadecimal digits of its value; 0 where it has none
   */
  private record Form(String key, int digits, int commentStart, String comment) {}

  private static final int EXCERPT = 200; // enough to see what was meant
  private static final int VALUE = 64 * 1024;

  /** Up to this size one copy is cheaper than more pieces to be written. */
  private static final int MAX_COPIED_BYTES = 4096;

  private static final Pattern SELECT =
      Pattern.compile("SELECT v FROM records WHERE k = '([0-9A-Za-z]{1,64}+)'");
  private static final Pattern INSERT_UP_TO_VALUE =
      Pattern.compile("INSERT INTO records \\(k, v\\) VALUES \\('([0-9A-Za-z]{1,64}+)', '\\\\x");
  private static final Pattern INSERT_BEHIND_VALUE = Pattern.compile("'\\) RETURNING v");
  private static final Pattern COMMENT = Pattern.compile(" /\\* ([^*]{1,400}+)(?<= )\\*/");
  private static final Pattern FIELD = Pattern.compile("([a-z]{1,16})=([0-9A-Za-z._-]{1,64})");
  private static final Pattern CLASS =
      Pattern.compile(
          "(c)=(.{1,256})"); // "named as in the settings", whatever the name's characters
  private static final Pattern MS = Pattern.compile("[0-9]{1,8}(?:\\.[0-9]{1,9})?");

  final String id;
  final Method method;
  final long key;
  final double deadlineMs;

  /** The text, and maybe more; the one copy of it that there is, however many attempts are made. */
  private byte[] bytes;

  private final int length;
  private final int from;
  private final int to;

  private Statement(
      String id,
      Method method,
      long key,
      double deadlineMs,
      byte[] bytes,
      int length,
      int from,
      int to) {
    this.id = id;
    this.method = method;
    this.key = key;
    this.deadlineMs = deadlineMs;
    this.bytes = bytes;
    this.length = length;
    this.from = from;
    this.to = to;
  }

  /**
   * Reads a statement.
   *
   * @param bytes begins with the text, and is kept
   * @param length of the text
   */
  static Statement read(byte[] bytes, int length, Map<String, Method> methods)
      throws UnreadableException {
    Latin1Text whole = new Latin1Text(bytes, 0, length);
    Form form = form(whole, bytes, length);
    if (form == null) {
      String start =
          whole.subSequence(0, Math.min(length, EXCERPT)).toString().replaceAll("[^ -~]", "?");
      throw new UnreadableException("the statement is not of a form that is served here: " + start);
    }
    if (form.digits % 2 != 0 || form.digits > 2 * VALUE) {
      throw new UnreadableException("the value is no bytes in hexadecimal, " + VALUE + " at most");
    }
    Map<String, String> said = new HashMap<>();
    int at = form.commentStart;
    int from = 0;
    int to = 0;
    for (String part : form.comment.substring(0, form.comment.length() - 1).split(",", -1)) {
      Matcher field = (part.startsWith("c=") ? CLASS : FIELD).matcher(part);
      if (!field.matches()) {
        throw new UnreadableException("the comment has a part that is no name and value");
      }
      if (said.put(field.group(1), field.group(2)) != null) {
        throw new UnreadableException("the comment says " + field.group(1) + " twice");
      }
      if (field.group(1).equals("d")) {
        from = at + field.start(2);
        to = at + field.end(2);
      }
      at += part.length() + 1;
    }
    String id = said.get("id");
    Method method =
        methods.get(
            new String(
                said.getOrDefault("c", "").getBytes(StandardCharsets.ISO_8859_1),
                StandardCharsets.UTF_8));
    String ms = said.getOrDefault("d", "");
    if (id == null) {
      throw new UnreadableException("the comment has no id");
    }
    if (method == null) {
      throw new UnreadableException("the comment names no class that is known");
    }
    double deadline = MS.matcher(ms).matches() ? Double.parseDouble(ms) : 0;
    if (!(deadline > 0)) {
      throw new UnreadableException(
          "the comment has no time above 0 for which an answer is waited for");
    }
    if (method.idempotency == Method.Idempotency.KEYED && !said.containsKey("k")) {
      throw new UnreadableException("the comment has no idempotency key");
    }
    return new Statement(id, method, number(form.key), deadline, bytes, length, from, to);
  }

  /** Null where the text is of neither form. */
  private static Form form(Latin1Text whole, byte[] bytes, int length) {
    Matcher select = SELECT.matcher(whole);
    if (select.lookingAt()) {
      return withComment(whole, length, select.group(1), 0, select.end());
    }
    Matcher start = INSERT_UP_TO_VALUE.matcher(whole);
    if (!start.lookingAt()) {
      return null;
    }
    int valueEnd = endOfDigits(bytes, start.end(), length);
    Matcher end = INSERT_BEHIND_VALUE.matcher(whole).region(valueEnd, length);
    return end.lookingAt()
        ? withComment(whole, length, start.group(1), valueEnd - start.end(), end.end())
        : null;
  }

  private static Form withComment(Latin1Text whole, int length, String key, int digits, int from) {
    Matcher comment = COMMENT.matcher(whole).region(from, length);
    return comment.matches() ? new Form(key, digits, comment.start(1), comment.group(1)) : null;
  }

  /** Where the hexadecimal digits end; a pattern takes milliseconds for those of a large value. */
  private static int endOfDigits(byte[] bytes, int from, int length) {
    int at = from;
    while (at < length && isHexDigit(bytes[at])) {
      at++;
    }
    return at;
  }

  private static boolean isHexDigit(byte b) {
    return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F';
  }

  private static long number(String key) {
    if (key.matches("[0-9a-f]{1,16}")) {
      return Long.parseUnsignedLong(key, 16);
    }
    CRC32 crc = new CRC32();
    crc.update(key.getBytes(StandardCharsets.ISO_8859_1));
    return crc.getValue() + 1; // 0 is no key
  }

  /** The same statement, for a unit that is waited for so long; nothing else of it is changed. */
  byte[] within(double ms) {
    byte[] wait = waitDigits(ms);
    return ByteBuffer.allocate(from + wait.length + length - to)
        .put(bytes, 0, from)
        .put(wait)
        .put(bytes, to, length - to)
        .array();
  }

  private static byte[] waitDigits(double ms) {
    return Long.toString(Math.max(1, (long) ms)).getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Writes it as a query, for a unit that is waited for so long. A large value is not copied.
   *
   * @param before messages that go in front of it
   */
  void writeQuery(Connection connection, byte[] before, double ms) {
    if (length <= MAX_COPIED_BYTES) {
      connection.append(MessageWriter.concat(before, MessageWriter.query(within(ms))));
      return;
    }
    connection.append(before);
    byte[] wait = waitDigits(ms);
    int restBytes = length - to;
    byte[] rest =
        ByteBuffer.allocate(wait.length + restBytes + 1)
            .put(wait)
            .put(bytes, to, restBytes)
            .put((byte) 0)
            .array();
    connection.append(MessageWriter.queryHeader(from + wait.length + restBytes));
    connection.append(bytes, 0, from);
    connection.append(rest);
  }

  /** Drops the text: no attempt is written any more, and the RPC may be remembered for longer. */
  void release() {
    bytes = null;
  }
}
