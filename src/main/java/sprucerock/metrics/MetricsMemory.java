package sprucerock.metrics;

/**
 * The bytes of a metrics file. Longs stand at offsets that are multiples of eight, and are written
 * whole.
 */
interface MetricsMemory {
  /** Reads a long, and sees all that was written before a {@link #putLast} of it. */
  long get(int offset);

  /** Reads {@code count} longs, in any order: a checksum tells whether they belong together. */
  void get(int offset, long[] into, int from, int count);

  /** Writes a long, in any order among other such writes. */
  void put(int offset, long value);

  /** Writes a long after all that was put before, and before all that is put later. */
  void putOrdered(int offset, long value);

  /** In bytes. */
  int sizeBytes();
}
