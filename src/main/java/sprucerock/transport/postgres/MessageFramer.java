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
     * @param body the message without type and length; the listener may keep it
     * @throws ProtocolException if the listener finds the message invalid; {@link #feed} passes it
     *     on
     */
    void onMessage(char type, byte[] body) throws ProtocolException;

    /** Whether further messages are wanted; false stops {@link #feed} before the next one. */
    boolean wantsMore();
  }

  private static final String CLIENT_TYPES = "QXPBEDCSHFdcfp";
  private static final String SERVER_TYPES = "RSKZTDCEINA";

  /** The limit that PostgreSQL servers set for a startup message. */
  private static final int MAX_STARTUP_BODY_BYTES = 10_000;

  private static final int LENGTH_BYTES = 4;
  private static final int TYPE_BYTES = 1;
  private static final int INITIAL_BUFFER_BYTES = 256;

  /** A larger buffer is dropped after its message, so that idle connections hold little. */
  private static final int MAX_RETAINED_BUFFER_BYTES = 4 * INITIAL_BUFFER_BYTES;

  private static final byte[] NO_BYTES = {};

  private final String knownTypes;
  private final int maxBodyBytes;
  private boolean expectsStartup;
  private byte[] buffer = NO_BYTES;
  private int buffered;

  private MessageFramer(String knownTypes, int maxBodyBytes, boolean expectsStartup) {
    this.knownTypes = knownTypes;
    this.maxBodyBytes = maxBodyBytes;
    this.expectsStartup = expectsStartup;
  }

  /**
   * A framer for what a client sends: startup messages until {@link #startupComplete}, then typed
   * messages.
   *
   * @param maxBodyBytes the longest body accepted of a typed message
   */
  public static MessageFramer fromClient(int maxBodyBytes) {
    return new MessageFramer(CLIENT_TYPES, maxBodyBytes, true);
  }

  /**
   * A framer for what a server sends: typed messages only.
   *
   * @param maxBodyBytes the longest body accepted
   */
  public static MessageFramer fromServer(int maxBodyBytes) {
    return new MessageFramer(SERVER_TYPES, maxBodyBytes, false);
  }

  /** Switches from startup messages to typed messages. */
  public void startupComplete() {
    expectsStartup = false;
  }

  /** Whether a message has begun and is incomplete. */
  public boolean isPartial() {
    return buffered > 0;
  }

  /**
   * Consumes bytes and passes on each message that they complete, until none are left or the
   * listener wants no more.
   *
   * @param in the next bytes of the stream, in pieces of any size
   * @throws ProtocolException if the bytes can't be a message, or the listener threw it; the framer
   *     must not be fed after that
   */
  public void feed(ByteBuffer in, Listener listener) throws ProtocolException {
    while (in.hasRemaining() && listener.wantsMore()) {
      int headerBytes = expectsStartup ? LENGTH_BYTES : TYPE_BYTES + LENGTH_BYTES;
      if (buffered < headerBytes && !readHeader(in, headerBytes)) {
        return;
      }
      int messageBytes = headerBytes - LENGTH_BYTES + checkedLength(headerBytes - LENGTH_BYTES);
      fill(in, messageBytes);
      if (buffered < messageBytes) {
        return;
      }
      char type = expectsStartup ? 0 : (char) (buffer[0] & 0xff);
      byte[] body = Arrays.copyOfRange(buffer, headerBytes, messageBytes);
      buffered = 0;
      if (buffer.length > MAX_RETAINED_BUFFER_BYTES) {
        buffer = NO_BYTES;
      }
      listener.onMessage(type, body);
    }
  }

  /** Checks the type at the first byte, so that noise is rejected without waiting for more. */
  private boolean readHeader(ByteBuffer in, int headerBytes) throws ProtocolException {
    if (!expectsStartup && buffered == 0) {
      int type = in.get(in.position()) & 0xff;
      if (knownTypes.indexOf(type) < 0) {
        throw new ProtocolException("no message has the type " + type);
      }
    }
    fill(in, headerBytes);
    return buffered >= headerBytes;
  }

  /** The length field, which counts itself and the body. */
  private int checkedLength(int offset) throws ProtocolException {
    int length = ByteBuffer.wrap(buffer, offset, LENGTH_BYTES).getInt();
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

  private void fill(ByteBuffer in, int upToBytes) {
    int count = Math.min(upToBytes - buffered, in.remaining());
    int needed = buffered + count;
    if (needed > buffer.length) {
      int doubled = Math.max(INITIAL_BUFFER_BYTES, 2 * buffer.length);
      int useful = Math.max(upToBytes, INITIAL_BUFFER_BYTES);
      buffer = Arrays.copyOf(buffer, Math.max(needed, Math.min(doubled, useful)));
    }
    in.get(buffer, buffered, count);
    buffered += count;
  }
}
