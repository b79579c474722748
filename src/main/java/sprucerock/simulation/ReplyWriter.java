package sprucerock.simulation;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** The records of one reply, in the order in which they were written. */
final class ReplyWriter {
  private ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
  private int count;
  private int start;

  ReplyWriter open(int code, long relay) {
    room(9);
    body.put((byte) code);
    start = body.position();
    body.putInt(0).putInt((int) relay);
    count++;
    return this;
  }

  ReplyWriter u8(int value) {
    room(1);
    body.put((byte) value);
    return this;
  }

  ReplyWriter u16(int value) {
    room(2);
    body.putShort((short) value);
    return this;
  }

  ReplyWriter u32(long value) {
    room(4);
    body.putInt((int) value);
    return this;
  }

  ReplyWriter f64(double value) {
    room(8);
    body.putDouble(value);
    return this;
  }

  ReplyWriter bytes(byte[] value) {
    int length = Math.min(value.length, 0xffff);
    u16(length);
    room(length);
    body.put(value, 0, length);
    return this;
  }

  void close() {
    body.putInt(start, body.position() - start - 4);
  }

  byte[] frame(int batch) {
    ByteBuffer whole = ByteBuffer.allocate(12 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
    whole.putInt(batch).putInt(body.position()).putInt(count).put(body.array(), 0, body.position());
    body.clear();
    count = 0;
    return whole.array();
  }

  private void room(int bytes) {
    if (body.remaining() >= bytes) {
      return;
    }
    ByteBuffer wider = ByteBuffer.allocate(Math.max(body.capacity() * 2, body.position() + bytes));
    body.flip();
    body = wider.order(ByteOrder.LITTLE_ENDIAN).put(body);
  }
}
