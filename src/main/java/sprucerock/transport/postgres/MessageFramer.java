package sprucerock.transport.postgres;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a stream of bytes into version 3 messages. It holds one message at most, and grows only as
 * bytes come, so that a length alone asks for no memory.
 */
public final class MessageFramer {
  /** Who is told of whole messages. */
  public interface Listener {
    /**
     * {@code type} is 0 for a startup message; {@code body} is without type and length, and the
     * user's to keep.
     */
    void onMessage(char type, byte[] body) throws ProtocolException;

    /** False once nothing more is to be told. */
    boolean wantsMore();
  }

  private static final byte[] NONE = {};
  private static final int FIRST = 256;

  private final String types;
  private final int most;
  private final int mostStartup;
  private boolean startup;
  private byte[] held = NONE;
  private int have;

  private MessageFramer(String types, int most, int mostStartup) {
    this.types = types;
    this.most = most;
    this.mostStartup = mostStartup;
    startup = mostStartup > 0;
  }

  /**
   * What a client sends; bodies of at most {@code most} bytes. Startup messages come until {@link
   * #started}.
   */
  public static MessageFramer fromClient(int most) {
    return new MessageFramer(
        "QXPBEDCSHFdcfp", most, 10_000); // the limit that servers of this protocol have
  }

  /** What a server sends; bodies of at most {@code most} bytes. */
  public static MessageFramer fromServer(int most) {
    return new MessageFramer("RSKZTDCEINA", most, 0);
  }

  /** The startup message came: typed messages follow. */
  public void startupComplete() {
    startup = false;
  }

  /** Whether a message has begun and is not whole. */
  public boolean isPartial() {
    return have > 0;
  }

  /**
   * Takes all bytes. @throws ProtocolException if they can't be messages; nothing may be taken
   * after that
   */
  public void feed(ByteBuffer in, Listener user) throws ProtocolException {
    while (in.hasRemaining() && user.wantsMore()) {
      int head = startup ? 4 : 5;
      if (have < head) {
        if (!startup && have == 0 && types.indexOf(in.get(in.position()) & 0xff) < 0) {
          throw new ProtocolException("no message has the type " + (in.get(in.position()) & 0xff));
        }
        read(in, head);
        if (have < head) {
          return;
        }
      }
      int length = length(head - 4);
      int limit = startup ? mostStartup : most;
      if (length < 4 || length - 4 > limit) {
        throw new ProtocolException(
            "a message of length " + length + ", from 4 to " + (limit + 4) + " is taken");
      }
      int whole = head - 4 + length;
      read(in, whole);
      if (have < whole) {
        return;
      }
      char type = startup ? 0 : (char) (held[0] & 0xff);
      byte[] body = Arrays.copyOfRange(held, head, whole);
      have = 0;
      if (held.length > 4 * FIRST) {
        held = NONE;
      }
      user.onMessage(type, body);
    }
  }

  private void read(ByteBuffer in, int upTo) {
    int count = Math.min(upTo - have, in.remaining());
    if (have + count > held.length) {
      held =
          Arrays.copyOf(
              held,
              Math.max(
                  have + count, Math.min(Math.max(FIRST, 2 * held.length), Math.max(upTo, FIRST))));
    }
    in.get(held, have, count);
    have += count;
  }

  private int length(int at) {
    return ByteBuffer.wrap(held, at, 4).getInt();
  }
}
