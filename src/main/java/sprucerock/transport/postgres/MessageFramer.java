package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a byte stream into messages of protocol version 3. It buffers at most one incomplete
 * message, and its buffer grows only as bytes arrive: a large length alone allocates nothing.
 *
 * <p>Not thread-safe; confined to the thread that reads the connection.
 */
public final class MessageFramer {
  /** Receives complete messages. */
  public interface Listener {
    /**
     * A message has arrived.
     *
     * @param type the type byte, or 0 for a startup message
     * @param body the message without type and length, which belongs to the listener from now on,
     *     as do the bytes that were admitted for it
     * @throws ProtocolException if the listener finds the message invalid; {@link #feed} passes it
     *     on
     */
    void onMessage(char type, byte[] body) throws ProtocolException;

    /** Whether further messages are wanted; false stops {@link #feed} before the next one. */
    boolean wantsMore();

    /** The message that {@link #skip} was called for has ended. */
    default void messageSkipped() {}
  }

  /** Decides whether there is memory for a message. */
  public interface Admission {
    /**
     * Whether so many bytes may be buffered; asked again with each {@link #feed} until it is so.
     */
    boolean admit(int bodyBytes);
  }

  private static final String CLIENT_TYPES = "QXPBEDCSHFdcfp";
  private static final String SERVER_TYPES = "RSKZTDCEINA";

  /** The limit that PostgreSQL servers set for a startup message. */
  private static final int MAX_STARTUP_BODY_BYTES = 10_000;

  private static final int LENGTH_BYTES = 4;
  private static final int TYPE_BYTES = 1;
  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final char STARTUP_TYPE = 0;

  private final String knownTypes;
  private final int maxBodyBytes;
  private final Admission admission;
  private final byte[] header = new byte[TYPE_BYTES + LENGTH_BYTES];
  private boolean expectsStartup;
  private int headerFilled;

  /** Null until the header is complete and its body admitted. */
  private byte[] body;

  private int bodyBytes;
  private int bodyFilled;

  /** What comes of the message that has begun is dropped. */
  private boolean skipping;

  private MessageFramer(
      String knownTypes, int maxBodyBytes, boolean expectsStartup, Admission admission) {
    this.knownTypes = knownTypes;
    this.maxBodyBytes = maxBodyBytes;
    this.expectsStartup = expectsStartup;
    this.admission = admission;
  }

  /** The same as the other one, without a bound on what several framers buffer together. */
  public static MessageFramer fromClient(int maxBodyBytes) {
    return fromClient(maxBodyBytes, bytes -> true);
  }

  /**
   * A framer for what a client sends: startup messages until {@link #startupComplete}, then typed
   * messages.
   *
   * @param maxBodyBytes the longest body accepted of a typed message
   */
  public static MessageFramer fromClient(int maxBodyBytes, Admission admission) {
    return new MessageFramer(CLIENT_TYPES, maxBodyBytes, true, admission);
  }

  /** The same as the other one, without a bound on what several framers buffer together. */
  public static MessageFramer fromServer(int maxBodyBytes) {
    return fromServer(maxBodyBytes, bytes -> true);
  }

  /**
   * A framer for what a server sends: typed messages only.
   *
   * @param maxBodyBytes the longest body accepted
   */
  public static MessageFramer fromServer(int maxBodyBytes, Admission admission) {
    return new MessageFramer(SERVER_TYPES, maxBodyBytes, false, admission);
  }

  /** Switches from startup messages to typed messages. */
  public void startupComplete() {
    expectsStartup = false;
  }

  /** Whether a message has begun and is incomplete. */
  public boolean isPartial() {
    return headerFilled > 0;
  }

  /** Whether the next message waits for its admission. */
  public boolean isBlocked() {
    return body == null && !skipping && headerFilled == headerBytes();
  }

  /** The bytes that were admitted for the message that is incomplete. */
  public int admittedBytes() {
    return body == null ? 0 : bodyBytes;
  }

  /** Whether a message is being dropped as it comes. */
  public boolean isSkipping() {
    return skipping;
  }

  /**
   * Drops the message that has begun, whose header is complete, and what comes of it: nothing of it
   * is kept, and {@link Listener#messageSkipped} tells its end.
   */
  public void skip() {
    body = null;
    skipping = true;
  }

  /** Drops an incomplete message; the framer must not be fed after that. */
  public void discard() {
    body = null;
    skipping = false;
    headerFilled = 0;
  }

  /**
   * Consumes bytes and passes on each message that they complete, until none are left, the listener
   * wants no more, or a message is not admitted: then {@link #isBlocked}, and what is left has to
   * be fed again.
   *
   * @param in the next bytes of the stream, in pieces of any size
   * @throws ProtocolException if the bytes can't be a message, or the listener threw it; the framer
   *     must not be fed after that
   */
  public void feed(ByteBuffer in, Listener listener) throws ProtocolException {
    while (listener.wantsMore()) {
      if (skipping) {
        if (!skipBody(in)) {
          return;
        }
        listener.messageSkipped();
        continue;
      }
      if (body == null && !(readHeader(in) && beginBody(in))) {
        return;
      }
      fillBody(in);
      if (bodyFilled < bodyBytes) {
        return;
      }
      char type = expectsStartup ? STARTUP_TYPE : (char) (header[0] & 0xff);
      byte[] complete = body;
      body = null;
      headerFilled = 0;
      listener.onMessage(type, complete);
    }
  }

  private int headerBytes() {
    return expectsStartup ? LENGTH_BYTES : TYPE_BYTES + LENGTH_BYTES;
  }

  /** Checks the type at the first byte, so that noise is rejected without waiting for more. */
  private boolean readHeader(ByteBuffer in) throws ProtocolException {
    int headerBytes = headerBytes();
    if (!expectsStartup && headerFilled == 0 && in.hasRemaining()) {
      int type = in.get(in.position()) & 0xff;
      if (knownTypes.indexOf(type) < 0) {
        throw new ProtocolException("no message has the type " + type);
      }
    }
    int count = Math.min(headerBytes - headerFilled, in.remaining());
    in.get(header, headerFilled, count);
    headerFilled += count;
    return headerFilled == headerBytes;
  }

  private boolean beginBody(ByteBuffer in) throws ProtocolException {
    bodyBytes = checkedLength(headerBytes() - LENGTH_BYTES) - LENGTH_BYTES;
    bodyFilled = 0;
    if (!admission.admit(bodyBytes)) {
      return false;
    }
    body = new byte[Math.min(bodyBytes, Math.max(in.remaining(), INITIAL_BUFFER_BYTES))];
    return true;
  }

  /** True once the message that is dropped has ended. */
  private boolean skipBody(ByteBuffer in) {
    int count = Math.min(bodyBytes - bodyFilled, in.remaining());
    in.position(in.position() + count);
    bodyFilled += count;
    if (bodyFilled < bodyBytes) {
      return false;
    }
    skipping = false;
    headerFilled = 0;
    return true;
  }

  /** The length field, which counts itself and the body. */
  private int checkedLength(int offset) throws ProtocolException {
    int length = ByteBuffer.wrap(header, offset, LENGTH_BYTES).getInt();
    int maxBody = expectsStartup ? MAX_STARTUP_BODY_BYTES : maxBodyBytes;
    if (length < LENGTH_BYTES || length - LENGTH_BYTES > maxBody) {
      throw new ProtocolException(
          "a message of length "
              + length
              + ", from 4 to "
              + (maxBody + LENGTH_BYTES)
              + " is taken");
    }
    return length;
  }

  /** Once it is full the buffer is exactly as long as the body, and is passed on as it is. */
  private void fillBody(ByteBuffer in) {
    int count = Math.min(bodyBytes - bodyFilled, in.remaining());
    int needed = bodyFilled + count;
    if (needed > body.length) {
      body = Arrays.copyOf(body, Math.min(bodyBytes, Math.max(needed, 2 * body.length)));
    }
    in.get(body, bodyFilled, count);
    bodyFilled += count;
  }
}
