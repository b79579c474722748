package sprucerock.simulation;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Encodes reply frames, one after the other, in little-endian byte order. Records follow each other
 * in the order in which they are written.
 */
final class ReplyWriter {
  private static final int INITIAL_BYTES = 1 << 16;
  private static final int MAX_FIELD_BYTES = 0xffff;
  private static final int RECORD_HEADER_BYTES = 9;
  private static final int FRAME_HEADER_BYTES = 12;

  private ByteBuffer body = ByteBuffer.allocate(INITIAL_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private int recordCount;
  private int lengthPosition;

  /** Begins a record of a relay; {@link #closeRecord} ends it. */
  ReplyWriter openRecord(int code, long relay) {
    ensureCapacity(RECORD_HEADER_BYTES);
    body.put((byte) code);
    lengthPosition = body.position();
    body.putInt(0).putInt((int) relay);
    recordCount++;
    return this;
  }

  ReplyWriter u8(int value) {
    ensureCapacity(1);
    body.put((byte) value);
    return this;
  }

  ReplyWriter u16(int value) {
    ensureCapacity(2);
    body.putShort((short) value);
    return this;
  }

  ReplyWriter u32(long value) {
    ensureCapacity(4);
    body.putInt((int) value);
    return this;
  }

  ReplyWriter f64(double value) {
    ensureCapacity(8);
    body.putDouble(value);
    return this;
  }

  /** Writes a 16-bit length and the bytes; a value of more than 65,535 bytes is truncated. */
  ReplyWriter bytes(byte[] value) {
    int length = Math.min(value.length, MAX_FIELD_BYTES);
    u16(length);
    ensureCapacity(length);
    body.put(value, 0, length);
    return this;
  }

  /** Ends the record. */
  void closeRecord() {
    body.putInt(lengthPosition, body.position() - lengthPosition - Integer.BYTES);
  }

  /** Returns the reply frame to a batch and empties the writer. */
  byte[] takeFrame(int batch) {
    ByteBuffer frame =
        ByteBuffer.allocate(FRAME_HEADER_BYTES + body.position()).order(ByteOrder.LITTLE_ENDIAN);
    frame
        .putInt(batch)
        .putInt(body.position())
        .putInt(recordCount)
        .put(body.array(), 0, body.position());
    body.clear();
    recordCount = 0;
    return frame.array();
  }

  private void ensureCapacity(int bytes) {
    if (body.remaining() >= bytes) {
      return;
    }
    ByteBuffer larger = ByteBuffer.allocate(Math.max(body.capacity() * 2, body.position() + bytes));
    body.flip();
    body = larger.order(ByteOrder.LITTLE_ENDIAN).put(body);
  }
}
