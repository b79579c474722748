package sprucerock.metrics;

/**
 * Bytes that outlive a kill of the process. Longs stand at multiples of eight, and are written
 * whole.
 */
interface MetricsMemory {
  long get(int at);

  /** Many at once, in no order: for what a checksum is held against. */
  void get(int at, long[] into, int from, int count);

  void put(int at, long value);

  /** Written after all that was put before. */
  void putLast(int at, long value);

  int size();
}
