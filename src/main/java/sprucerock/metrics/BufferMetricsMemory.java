package sprucerock.metrics;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;

/** A buffer, mapped or not. The kernel writes a mapped one back whatever becomes of the process. */
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
  public long get(int at) {
    return (long) LONGS.getAcquire(buffer, at);
  }

  @Override
  public void get(int at, long[] into, int from, int count) {
    longs.get(at / 8, into, from, count);
    VarHandle.acquireFence(); // what is read after this is newer
  }

  @Override
  public void put(int at, long value) {
    longs.put(at / 8, value); // in any order among themselves: putLast comes after all of them
  }

  @Override
  public void putLast(int at, long value) {
    VarHandle.releaseFence(); // nothing that was put before may come after it
    LONGS.setVolatile(buffer, at, value);
    VarHandle
        .fullFence(); // nor what is put from now on before it: a reader may still be at the other
    // copy
  }

  @Override
  public int size() {
    return buffer.capacity();
  }
}
