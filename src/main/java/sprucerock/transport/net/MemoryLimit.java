package sprucerock.transport.net;

import java.util.function.LongSupplier;

/**
 * A bound on the bytes that several holders keep in memory together. Confined to one thread.
 *
 * <p>Guards against limits that hold for each connection alone: some hundred connections, each
 * within its own limit, would fill the heap.
 */
public final class MemoryLimit {
  private final long maxBytes;
  private final LongSupplier heldElsewhere;
  private long heldBytes;

  /**
   * A limit of which nothing is held.
   *
   * @param heldElsewhere bytes that count too, and that are not held here
   */
  public MemoryLimit(long maxBytes, LongSupplier heldElsewhere) {
    this.maxBytes = maxBytes;
    this.heldElsewhere = heldElsewhere;
  }

  /** A limit of a share of the heap's size. */
  public static MemoryLimit ofHeap(double share, LongSupplier heldElsewhere) {
    return new MemoryLimit((long) (Runtime.getRuntime().maxMemory() * share), heldElsewhere);
  }

  /** For holders that are bounded in another way. */
  public static MemoryLimit none() {
    return new MemoryLimit(Long.MAX_VALUE, () -> 0);
  }

  /** Whether so many bytes more may be held. */
  public boolean hasRoomFor(long bytes) {
    return bytes <= freeBytes();
  }

  /** How many bytes more may be held; below 0 when more are held than the limit. */
  public long freeBytes() {
    return maxBytes - heldElsewhere.getAsLong() - heldBytes;
  }

  /** Holds bytes, if there is room. */
  public boolean tryHold(long bytes) {
    boolean fits = hasRoomFor(bytes);
    if (fits) {
      heldBytes += bytes;
    }
    return fits;
  }

  /** Holds bytes whether or not there is room. */
  public void hold(long bytes) {
    heldBytes += bytes;
  }

  /** Releases bytes that were held. */
  public void release(long bytes) {
    heldBytes -= bytes;
  }

  /** The bytes that are held here now. */
  public long heldBytes() {
    return heldBytes;
  }
}
