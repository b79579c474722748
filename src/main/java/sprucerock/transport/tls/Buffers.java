package sprucerock.transport.tls;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Buffers of one loop's TLS links, taken and given back on its thread. */
public final class Buffers {
  /** Holds a whole record, of whichever kind. */
  static final int RECORD = 17 * 1024;

  private static final int KEPT = 256;

  private final ArrayDeque<ByteBuffer> kept = new ArrayDeque<>();

  ByteBuffer take() {
    ByteBuffer one = kept.poll();
    return one != null ? one : ByteBuffer.allocate(RECORD);
  }

  void give(ByteBuffer one) {
    if (one.capacity() == RECORD && kept.size() < KEPT) {
      kept.add(one.clear());
    }
  }
}
