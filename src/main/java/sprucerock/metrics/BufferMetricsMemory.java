package sprucerock.metrics;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;

/**
 * Metrics memory in a byte buffer. The kernel writes a mapped one back whatever becomes of the
 * process.
 */
final class BufferMetricsMemory implements MetricsMemory {
  private static final VarHandle LONGS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

  private final ByteBuffer buffer;
  private final LongBuffer longs;

  BufferMetricsMemory(ByteBuffer buffer) {
    this.buffer = buffer.order(ByteOrder.LITTLE_ENDIAN);
    longs = buffer.duplicate().clear().order(ByteOrder.LITTLE_ENDIAN).asLongBuffer();
  }

  @Override
  public long get(int offset) {
    return (long) LONGS.getAcquire(buffer, offset);
  }

  @Override
  public void get(int offset, long[] into, int from, int count) {
    longs.get(offset / Long.BYTES, into, from, count);
    VarHandle.acquireFence(); // what is read after this is as new or newer
  }

  @Override
  public void put(int offset, long value) {
    longs.put(
        offset / Long.BYTES,
        value); // in any order among themselves: putLast comes after all of them
  }

  @Override
  public void putOrdered(int offset, long value) {
    VarHandle.releaseFence(); // nothing that was put before may come after it
    LONGS.setVolatile(buffer, offset, value);
    // nor may what is put from now on come before it: a reader may still be at the other copy
    VarHandle.fullFence();
  }

  @Override
  public int sizeBytes() {
    return buffer.capacity();
  }
}
