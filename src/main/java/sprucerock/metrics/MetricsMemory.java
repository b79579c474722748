package sprucerock.metrics;

/**
 * The bytes of a metrics file. They are read and written as longs, each at an offset that is a
 * multiple of eight and in a single memory access.
 */
interface MetricsMemory {
  /**
   * Reads a long. A reader that sees a value written by {@link #putOrdered} also sees all writes
   * before it.
   */
  long get(int offset);

  /**
   * Reads {@code count} longs in any order. A checksum tells the caller whether they belong to the
   * same commit.
   */
  void get(int offset, long[] into, int from, int count);

  /** Writes a long, in any order relative to other calls of this method. */
  void put(int offset, long value);

  /** Writes a long after all earlier writes and before all later writes. */
  void putOrdered(int offset, long value);

  /** Returns the size in bytes. */
  int sizeBytes();
}
