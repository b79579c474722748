package sprucerock.metrics;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;

/**
 * Metrics memory in a byte buffer. If the buffer is a mapped file, the kernel writes it back even
 * if the process is killed.
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
    // Later reads see values at least as new as those read here.
    VarHandle.acquireFence();
  }

  @Override
  public void put(int offset, long value) {
    // These writes may become visible in any order, but all of them before a later putOrdered.
    longs.put(offset / Long.BYTES, value);
  }

  @Override
  public void putOrdered(int offset, long value) {
    // No earlier write may move after this write.
    VarHandle.releaseFence();
    LONGS.setVolatile(buffer, offset, value);
    // No later write may move before this write: the next commit overwrites the copy that readers
    // use until they see this write.
    VarHandle.fullFence();
  }

  @Override
  public int sizeBytes() {
    return buffer.capacity();
  }
}
