package sprucerock.transport.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Makes frames of bytes that come in pieces of any size. A frame is a length of four bytes (of all
 * that follows it), a kind of one, the head's length of three, the head, and the body; numbers are
 * big-endian. Holds one frame at most.
 */
public final class FrameReader {
  /** Where frames go. */
  public interface Sink {
    /** The body is the frame's own copy, or the empty array. */
    void frame(FrameKind kind, MessageLite head, byte[] body);
  }

  static final int START = 8;
  // kinds that a later version within reach may have; what lies beyond is noise
  private static final int FIRST_UNKNOWN = 17;
  private static final int LAST_UNKNOWN = 127;
  static final byte[] NO_BODY = {};

  private final int mostBytes;
  private byte[] partial = new byte[256];
  private int have;

  /** Takes frames of at most so many bytes after their length. */
  public FrameReader(int mostBytes) {
    this.mostBytes = mostBytes;
  }

  /** Whether bytes of a frame are there whose rest is missing. */
  public boolean hasPartialFrame() {
    return have > 0;
  }

  /** Takes all bytes there are. After an exception the rest means nothing any more. */
  public void feed(ByteBuffer bytes, Sink sink) throws MalformedFrameException {
    while (bytes.hasRemaining()) {
      if (have == 0 && bytes.remaining() >= START) {
        int size = 4 + length(bytes.getInt(bytes.position()));
        if (bytes.remaining() >= size) {
          ByteBuffer whole = bytes.slice(bytes.position(), size);
          bytes.position(bytes.position() + size);
          one(whole, sink);
          continue;
        }
      }
      if (!more(bytes, START)) {
        return;
      }
      int size = 4 + length(ByteBuffer.wrap(partial).getInt(0));
      if (!more(bytes, size)) {
        return;
      }
      ByteBuffer whole = ByteBuffer.wrap(partial, 0, size).slice();
      have = 0;
      one(whole, sink);
      if (partial.length > 1 << 16) {
        partial = new byte[256]; // a large frame's room is not kept
      }
    }
  }

  private boolean more(ByteBuffer bytes, int wanted) {
    // grown by what came, not by what a length promises: a bad one cannot ask for memory
    int take = Math.min(bytes.remaining(), wanted - have);
    if (have + take > partial.length) {
      partial = Arrays.copyOf(partial, Math.min(wanted, Math.max(have + take, 2 * partial.length)));
    }
    if (take > 0) {
      bytes.get(partial, have, take);
      have += take;
    }
    return have >= wanted;
  }

  private int length(int told) throws MalformedFrameException {
    if (told < START - 4) {
      throw new MalformedFrameException("a frame of " + told + " bytes can't be");
    }
    if (told > mostBytes) {
      throw new MalformedFrameException("a frame of " + told + " bytes, " + mostBytes + " at most");
    }
    return told;
  }

  private static void one(ByteBuffer frame, Sink sink) throws MalformedFrameException {
    int start = frame.getInt(4);
    FrameKind kind = FrameKind.of(start >>> 24);
    if (kind == null && start >>> 24 >= FIRST_UNKNOWN && start >>> 24 <= LAST_UNKNOWN) {
      return; // of a newer program: read past
    }
    int head = start & 0xffffff;
    int body = frame.capacity() - START - head;
    if (kind == null) {
      throw new MalformedFrameException("no kind of frame is " + (start >>> 24));
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
      frame.get(START + head, bytes);
    }
    MessageLite message;
    try {
      message = kind.parser().parseFrom(frame.slice(START, head));
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedFrameException(kind + ": the head can't be read: " + e.getMessage());
    }
    sink.frame(kind, message, bytes);
  }
}
