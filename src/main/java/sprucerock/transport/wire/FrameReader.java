package sprucerock.transport.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.util.Arrays;
import sprucerock.transport.net.MemoryLimit;

/**
 * Decodes frames from bytes that come in pieces of any size. A frame is a length of four bytes (of
 * all that follows it), a kind of one, the head's length of three, the head, and the body; numbers
 * are big-endian. Holds one incomplete frame at most; of a large one that there is no memory for,
 * its head alone. Not thread-safe.
 */
public final class FrameReader {
  /** Gets the decoded frames. */
  public interface Sink {
    /** A frame; its body is a copy that belongs to it, or the empty array. */
    void frame(FrameKind kind, MessageLite head, byte[] body);

    /** A frame whose body was skipped, as there was no memory for it. */
    default void frameWithoutBody(FrameKind kind, MessageLite head) {}
  }

  /** The length, the kind and the head's length. */
  static final int PREFIX_BYTES = 8;

  static final int LENGTH_BYTES = 4; // not counted in the length itself
  static final int KIND_SHIFT = 24;
  private static final int HEAD_LENGTH_MASK = 0xffffff;
  private static final int INITIAL_BYTES = 256;
  private static final int MAX_KEPT_BYTES = 1 << 16; // a large frame's buffer is not kept

  /** Smaller frames, and smaller heads of skipped ones, are not counted. */
  private static final int FREE_BYTES = 1024;

  // kinds that a newer version may have and that are skipped; what lies beyond is no frame
  private static final int FIRST_UNKNOWN = 17;
  private static final int LAST_UNKNOWN = 127;
  static final byte[] NO_BODY = {};

  private final int maxFrameBytes;
  private final MemoryLimit memory;
  private byte[] partial = new byte[INITIAL_BYTES];
  private int partialBytes;

  /** What is held of the memory for the incomplete frame. */
  private int heldBytes;

  /** Of the body of a frame that there was no memory for. */
  private int bytesToSkip;

  /** Reads frames of at most {@code maxFrameBytes} after their length, as many as come. */
  public FrameReader(int maxFrameBytes) {
    this(maxFrameBytes, MemoryLimit.none());
  }

  /** The same; {@code memory}: what incomplete frames of several connections may hold together. */
  public FrameReader(int maxFrameBytes, MemoryLimit memory) {
    this.maxFrameBytes = maxFrameBytes;
    this.memory = memory;
  }

  /** Whether a frame has begun whose rest is missing. */
  public boolean hasPartialFrame() {
    return partialBytes > 0;
  }

  /**
   * Consumes all bytes and hands on the frames that are complete.
   *
   * @throws MalformedFrameException if they are not this protocol; the reader can't be used then
   */
  public void feed(ByteBuffer bytes, Sink sink) throws MalformedFrameException {
    while (bytes.hasRemaining()) {
      if (bytesToSkip > 0) {
        skip(bytes);
      } else if (!readWhole(bytes, sink) && !readPartial(bytes, sink)) {
        return;
      }
    }
  }

  /** Releases what is held for an incomplete frame; the reader can't be used then. */
  public void close() {
    releaseHeld();
  }

  private void releaseHeld() {
    memory.release(heldBytes);
    heldBytes = 0;
  }

  private void skip(ByteBuffer bytes) {
    int count = Math.min(bytesToSkip, bytes.remaining());
    bytes.position(bytes.position() + count);
    bytesToSkip -= count;
  }

  /** Decodes a frame that begins and ends in these bytes; false if there is none. */
  private boolean readWhole(ByteBuffer bytes, Sink sink) throws MalformedFrameException {
    if (partialBytes > 0 || bytes.remaining() < PREFIX_BYTES) {
      return false;
    }
    int size = LENGTH_BYTES + checkedLength(bytes.getInt(bytes.position()));
    if (bytes.remaining() < size) {
      return false;
    }
    ByteBuffer frame = bytes.slice(bytes.position(), size);
    bytes.position(bytes.position() + size);
    decode(frame, sink, true);
    return true;
  }

  /** Goes on with a frame that came in pieces; false if there is more to come. */
  private boolean readPartial(ByteBuffer bytes, Sink sink) throws MalformedFrameException {
    if (!fillPartial(bytes, PREFIX_BYTES)) {
      return false;
    }
    int size = LENGTH_BYTES + checkedLength(ByteBuffer.wrap(partial).getInt(0));
    boolean fits = size <= FREE_BYTES || heldBytes == size || hold(size);
    int wanted = fits ? size : headEnd(size);
    if (!fillPartial(bytes, wanted)) {
      return false;
    }
    ByteBuffer frame = ByteBuffer.wrap(partial, 0, wanted).slice();
    partialBytes = 0;
    bytesToSkip = size - wanted;
    decode(frame, sink, fits);
    if (partial.length > MAX_KEPT_BYTES) {
      partial = new byte[INITIAL_BYTES];
    }
    releaseHeld();
    return true;
  }

  private boolean hold(int size) {
    // one whose body is being left out goes on so: the head may be there already
    boolean fits = partialBytes == PREFIX_BYTES && memory.tryHold(size);
    if (fits) {
      heldBytes = size;
    }
    return fits;
  }

  /** Where the head ends of a frame that there is no memory for. */
  private int headEnd(int size) throws MalformedFrameException {
    int end = PREFIX_BYTES + (ByteBuffer.wrap(partial).getInt(LENGTH_BYTES) & HEAD_LENGTH_MASK);
    if (end > FREE_BYTES || end > size) {
      throw new MalformedFrameException("no memory for a frame of " + size + " bytes");
    }
    return end;
  }

  private boolean fillPartial(ByteBuffer bytes, int wanted) {
    // grown by what came, not by what a length promises: a bad one cannot ask for memory
    int take = Math.min(bytes.remaining(), wanted - partialBytes);
    if (partialBytes + take > partial.length) {
      partial =
          Arrays.copyOf(
              partial, Math.min(wanted, Math.max(partialBytes + take, 2 * partial.length)));
    }
    if (take > 0) {
      bytes.get(partial, partialBytes, take);
      partialBytes += take;
    }
    return partialBytes >= wanted;
  }

  private int checkedLength(int stated) throws MalformedFrameException {
    if (stated < PREFIX_BYTES - LENGTH_BYTES) {
      throw new MalformedFrameException("a frame of " + stated + " bytes can't be");
    }
    if (stated > maxFrameBytes) {
      throw new MalformedFrameException(
          "a frame of " + stated + " bytes, " + maxFrameBytes + " at most");
    }
    return stated;
  }

  private static void decode(ByteBuffer frame, Sink sink, boolean hasBody)
      throws MalformedFrameException {
    int start = frame.getInt(LENGTH_BYTES);
    FrameKind kind = FrameKind.of(start >>> KIND_SHIFT);
    if (kind == null
        && start >>> KIND_SHIFT >= FIRST_UNKNOWN
        && start >>> KIND_SHIFT <= LAST_UNKNOWN) {
      return; // of a newer program: skipped
    }
    int head = start & HEAD_LENGTH_MASK;
    int body = frame.capacity() - PREFIX_BYTES - head;
    if (kind == null) {
      throw new MalformedFrameException("no kind of frame is " + (start >>> KIND_SHIFT));
    }
    if (body < 0) {
      throw new MalformedFrameException(kind + ": the head is longer than the frame");
    }
    if (body > 0 && !kind.hasBody) {
      throw new MalformedFrameException(kind + ": has a body of " + body + " bytes");
    }
    byte[] bytes = NO_BODY;
    if (body > 0) {
      bytes = new byte[body];
      frame.get(PREFIX_BYTES + head, bytes);
    }
    MessageLite message;
    try {
      message = kind.parser().parseFrom(frame.slice(PREFIX_BYTES, head));
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedFrameException(kind + ": the head can't be read: " + e.getMessage());
    }
    if (hasBody) {
      sink.frame(kind, message, bytes);
    } else {
      sink.frameWithoutBody(kind, message);
    }
  }
}
