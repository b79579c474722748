package sprucerock.metrics;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;
import sprucerock.accounting.MetricsStore;

/**
 * Writes metrics into a file that survives a kill of the process. The file has a header, the
 * layout, the names of the rows, and two copies of all values, each with a sequence number and a
 * checksum.
 *
 * <p>A commit writes the inactive copy and then makes it the active one by writing a single long. A
 * kill between any two writes therefore leaves the state before or after a commit, never a part of
 * one, and a reader in another process needs no lock. All offsets and sizes are in bytes. The
 * format is stored data and must not change.
 */
final class MappedMetricsFile implements MetricsStore {
  /** The text SPRFIG01, little-endian. */
  static final long MAGIC = 0x3130474946525053L;

  /** Size of a row's name: 8 bytes for its length and 72 for a build and the longest method. */
  static final int ROW_NAME_BYTES = 80;

  static final int GENERATION_OFFSET = 8;
  static final int SEQUENCE_OFFSET = 16;
  static final int CLOSED_OFFSET = 24;
  static final int VALUE_COUNT_OFFSET = 32;
  static final int ROW_COUNT_OFFSET = 40;
  static final int LAYOUT_SIZE_OFFSET = 48;
  static final int LAYOUT_CRC_OFFSET = 56;
  static final int HEADER_BYTES = 64;

  private final int namesOffset;
  private final int valuesOffset;
  private final long[] values;
  private final int[] changed;
  private final int[] changedInLastCommit;
  private final boolean[] isChanged;
  private int changedCount;
  private int changedInLastCommitCount;
  private long weightedSum;
  private long sequence;

  // The relay's thread sets this field, scrape threads read it.
  private volatile MetricsMemory memory;

  /** Starts a file in a memory that is all zero. */
  MappedMetricsFile(
      MetricsMemory memory, String layout, int valueCount, int rowCount, long generation) {
    this.memory = memory;
    final byte[] layoutBytes = layout.getBytes(StandardCharsets.UTF_8);
    this.values = new long[valueCount];
    changed = new int[valueCount];
    changedInLastCommit = new int[valueCount];
    isChanged = new boolean[valueCount];
    namesOffset = HEADER_BYTES + roundUpToLongs(layoutBytes.length);
    valuesOffset = namesOffset + rowCount * ROW_NAME_BYTES;
    writeBytes(HEADER_BYTES, layoutBytes);
    memory.put(GENERATION_OFFSET, generation);
    memory.put(VALUE_COUNT_OFFSET, valueCount);
    memory.put(ROW_COUNT_OFFSET, rowCount);
    memory.put(LAYOUT_SIZE_OFFSET, layoutBytes.length);
    memory.put(LAYOUT_CRC_OFFSET, crc32(layoutBytes));
    memory.putOrdered(0, MAGIC);
  }

  /** Rounds a number of bytes up to a multiple of eight. */
  static int roundUpToLongs(int bytes) {
    return bytes + 7 & ~7;
  }

  static long crc32(byte[] bytes) {
    CRC32 crc32 = new CRC32();
    crc32.update(bytes);
    return crc32.getValue();
  }

  /** Returns the size of a file. */
  static int fileSizeBytes(String layout, int valueCount, int rowCount) {
    return HEADER_BYTES
        + roundUpToLongs(layout.getBytes(StandardCharsets.UTF_8).length)
        + rowCount * ROW_NAME_BYTES
        + 2 * copySizeBytes(valueCount);
  }

  /** Continues in another memory that has the same content. */
  void switchMemory(MetricsMemory newMemory) {
    memory = newMemory;
  }

  MetricsMemory memory() {
    return memory;
  }

  private void writeBytes(int offset, byte[] bytes) {
    for (int i = 0; i < bytes.length; i += 8) {
      long packed = 0;
      for (int j = 0; j < 8 && i + j < bytes.length; j++) {
        packed |= (bytes[i + j] & 0xffL) << 8 * j;
      }
      memory.put(offset + i, packed);
    }
  }

  @Override
  public void nameRow(int row, String label) {
    byte[] bytes = label.getBytes(StandardCharsets.UTF_8);
    byte[] truncated = Arrays.copyOf(bytes, Math.min(bytes.length, ROW_NAME_BYTES - 8));
    int offset = namesOffset + row * ROW_NAME_BYTES;
    writeBytes(offset + 8, truncated);
    // The row has no name until its length is written.
    memory.putOrdered(offset, truncated.length);
  }

  /**
   * Returns a value's factor in the checksum. Factors are odd, so that each bit of a value affects
   * the checksum, and different for each index.
   */
  static long checksumWeight(int index) {
    return ((index + 1) * 0x9E3779B97F4A7C15L) | 1;
  }

  @Override
  public void put(int index, long value) {
    weightedSum += (value - values[index]) * checksumWeight(index);
    values[index] = value;
    if (isChanged[index]) {
      return;
    }
    isChanged[index] = true;
    changed[changedCount++] = index;
  }

  @Override
  public void commit() {
    long nextSequence = sequence + 1;
    int offset = copyOffset(valuesOffset, values.length, nextSequence);
    // This copy also lacks the changes of the last commit, which went to the other copy.
    for (int i = 0; i < changedInLastCommitCount; i++) {
      memory.put(offset + changedInLastCommit[i] * 8, values[changedInLastCommit[i]]);
    }
    for (int i = 0; i < changedCount; i++) {
      memory.put(offset + changed[i] * 8, values[changed[i]]);
    }
    memory.put(offset + values.length * 8, nextSequence);
    memory.put(offset + values.length * 8 + 8, checksum(weightedSum, nextSequence));
    memory.putOrdered(SEQUENCE_OFFSET, nextSequence);
    sequence = nextSequence;
    System.arraycopy(changed, 0, changedInLastCommit, 0, changedCount);
    changedInLastCommitCount = changedCount;
    for (int i = 0; i < changedCount; i++) {
      isChanged[changed[i]] = false;
    }
    changedCount = 0;
  }

  /** Returns the size of one copy: all values, a sequence number and a checksum. */
  static int copySizeBytes(int valueCount) {
    return (valueCount + 2) * Long.BYTES;
  }

  /** Returns the offset of the copy that a commit with this sequence number writes. */
  static int copyOffset(int valuesOffset, int valueCount, long sequence) {
    return valuesOffset + (int) (sequence & 1) * copySizeBytes(valueCount);
  }

  /**
   * Returns the checksum of a copy.
   *
   * @param weightedSum the sum of all values, each multiplied by its {@link #checksumWeight}
   * @param sequence the sequence number of the copy
   */
  static long checksum(long weightedSum, long sequence) {
    return weightedSum ^ sequence * 0xD6E8FEB86659FD93L;
  }

  /** Records that the relay shut down cleanly. */
  void close() {
    memory.putOrdered(CLOSED_OFFSET, 1);
  }
}
