package sprucerock.metrics;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;
import sprucerock.accounting.MetricsStore;

/**
 * Writes metrics into a file that survives a kill of the process: a header, the layout, the rows'
 * names, and two copies of all values, each with its sequence number and a checksum.
 *
 * <p>A commit writes the copy that does not count; then one long says that this one counts now. A
 * kill between any two writes leaves the state before or after a commit, never half of one, and a
 * reader elsewhere needs no lock. All offsets and sizes are in bytes; the form is stored data and
 * stays.
 */
final class MappedMetricsFile implements MetricsStore {
  /** The text SPRFIG01, little-endian. */
  static final long MAGIC = 0x3130474946525053L;

  /** Bytes of a row's name: its length, and 72 for a build and the longest method. */
  static final int NAME_BYTES = 80;

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
  private volatile MetricsMemory memory; // written by the relay, read by whoever scrapes

  /** Begins a file in a memory that is all zero. */
  MappedMetricsFile(MetricsMemory memory, String layout, int values, int rows, long generation) {
    this.memory = memory;
    final byte[] text = layout.getBytes(StandardCharsets.UTF_8);
    this.values = new long[values];
    changed = new int[values];
    changedInLastCommit = new int[values];
    isChanged = new boolean[values];
    namesOffset = HEADER_BYTES + roundUpToLongs(text.length);
    valuesOffset = namesOffset + rows * NAME_BYTES;
    putBytes(HEADER_BYTES, text);
    memory.put(GENERATION_OFFSET, generation);
    memory.put(VALUE_COUNT_OFFSET, values);
    memory.put(ROW_COUNT_OFFSET, rows);
    memory.put(LAYOUT_SIZE_OFFSET, text.length);
    memory.put(LAYOUT_CRC_OFFSET, crc(text));
    memory.putOrdered(0, MAGIC);
  }

  /** Rounds up to a multiple of eight. */
  static int roundUpToLongs(int bytes) {
    return bytes + 7 & ~7;
  }

  static long crc(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  /** The size of a whole file. */
  static int fileSizeBytes(String layout, int values, int rows) {
    return HEADER_BYTES
        + roundUpToLongs(layout.getBytes(StandardCharsets.UTF_8).length)
        + rows * NAME_BYTES
        + 2 * copySizeBytes(values);
  }

  /** Goes on in another memory that has the same bytes. */
  void switchMemory(MetricsMemory other) {
    memory = other;
  }

  MetricsMemory memory() {
    return memory;
  }

  private void putBytes(int at, byte[] bytes) {
    for (int i = 0; i < bytes.length; i += 8) {
      long packed = 0;
      for (int j = 0; j < 8 && i + j < bytes.length; j++) {
        packed |= (bytes[i + j] & 0xffL) << 8 * j;
      }
      memory.put(at + i, packed);
    }
  }

  @Override
  public void nameRow(int row, String label) {
    byte[] bytes = label.getBytes(StandardCharsets.UTF_8);
    byte[] cut = Arrays.copyOf(bytes, Math.min(bytes.length, NAME_BYTES - 8));
    int at = namesOffset + row * NAME_BYTES;
    putBytes(at + 8, cut);
    memory.putOrdered(at, cut.length); // until here the row has no name
  }

  /** A value's factor in the checksum: odd, so that each bit counts, and another for each index. */
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
    long next = sequence + 1;
    int at = copyOffset(valuesOffset, values.length, next);
    // this copy lacks the last commit too, which went to the other one
    for (int i = 0; i < changedInLastCommitCount; i++) {
      memory.put(at + changedInLastCommit[i] * 8, values[changedInLastCommit[i]]);
    }
    for (int i = 0; i < changedCount; i++) {
      memory.put(at + changed[i] * 8, values[changed[i]]);
    }
    memory.put(at + values.length * 8, next);
    memory.put(at + values.length * 8 + 8, checksum(weightedSum, next));
    memory.putOrdered(SEQUENCE_OFFSET, next);
    sequence = next;
    System.arraycopy(changed, 0, changedInLastCommit, 0, changedCount);
    changedInLastCommitCount = changedCount;
    for (int i = 0; i < changedCount; i++) {
      isChanged[changed[i]] = false;
    }
    changedCount = 0;
  }

  /** Of one copy: the values, its sequence number and its checksum. */
  static int copySizeBytes(int values) {
    return (values + 2) * Long.BYTES;
  }

  /** Where the copy begins that commits of this sequence number go to. */
  static int copyOffset(int valuesOffset, int values, long sequence) {
    return valuesOffset + (int) (sequence & 1) * copySizeBytes(values);
  }

  /** A copy's checksum: of its values, each by its {@link #weight}, and its sequence number. */
  static long checksum(long weightedSum, long sequence) {
    return weightedSum ^ sequence * 0xD6E8FEB86659FD93L;
  }

  /** Notes that the relay shut down cleanly. */
  void close() {
    memory.putOrdered(CLOSED_OFFSET, 1);
  }
}
