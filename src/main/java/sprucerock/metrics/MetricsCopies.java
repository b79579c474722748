package sprucerock.metrics;

import java.nio.charset.StandardCharsets;

/**
 * Reads the two copies of a metrics file's values. Rows without a name are skipped: they are zero
 * and add nothing to the checksum. A read has to be over before a relay under load has committed
 * twice, and most rows are never used.
 */
final class MetricsCopies {
  /** The names of all rows, null for one that is not in use; filled by {@link #read}. */
  final String[] rowNames;

  /** The values of the copy that was read last. */
  final long[] values;

  private final MetricsMemory memory;
  private final String source;
  private final int namesOffset;
  private final int valuesOffset;

  /** The index of each row's first value, and the number of all values behind the last. */
  private final int[] firstValueOfRow;

  /**
   * Prepares reading.
   *
   * @throws MetricsSnapshot.InvalidFileException if the layout has other numbers of rows or values
   */
  MetricsCopies(MetricsMemory memory, int rows, int valueCount, String layout, String source)
      throws MetricsSnapshot.InvalidFileException {
    this.memory = memory;
    this.source = source;
    int layoutBytes = (int) memory.get(MappedMetricsFile.LAYOUT_SIZE_OFFSET);
    namesOffset = MappedMetricsFile.HEADER_BYTES + MappedMetricsFile.roundUpToLongs(layoutBytes);
    valuesOffset = namesOffset + rows * MappedMetricsFile.NAME_BYTES;
    rowNames = new String[rows];
    values = new long[valueCount];
    firstValueOfRow = new int[rows + 1];
    int row = 0;
    for (String line : layout.split("\n")) {
      String[] parts = line.split(" ");
      int columns = parts[3].split(",").length;
      for (int i = Integer.parseInt(parts[2]); i > 0 && row < rows; i--, row++) {
        firstValueOfRow[row + 1] = firstValueOfRow[row] + columns;
      }
    }
    if (row != rows || firstValueOfRow[rows] != valueCount) {
      throw new MetricsSnapshot.InvalidFileException(source + ": its layout does not fit its head");
    }
  }

  /**
   * Reads the copy that commits of a sequence number go to.
   *
   * @return the sequence number that stands in it, or -1 where its checksum is wrong
   * @throws MetricsSnapshot.InvalidFileException if a row's name is damaged
   */
  long readCopy(long sequence) throws MetricsSnapshot.InvalidFileException {
    int offset = MappedMetricsFile.copyOffset(valuesOffset, values.length, sequence);
    long weightedSum = 0;
    for (int row = 0; row < rowNames.length; row++) {
      if (!readName(row)) {
        continue;
      }
      int first = firstValueOfRow[row];
      int end = firstValueOfRow[row + 1];
      memory.get(offset + first * Long.BYTES, values, first, end - first);
      for (int i = first; i < end; i++) {
        weightedSum += values[i] * MappedMetricsFile.checksumWeight(i);
      }
    }
    int sequenceOffset = offset + values.length * Long.BYTES;
    long written = memory.get(sequenceOffset);
    boolean intact =
        memory.get(sequenceOffset + Long.BYTES) == MappedMetricsFile.checksum(weightedSum, written)
            && (written & 1) == (sequence & 1);
    return intact ? written : -1;
  }

  /** False where the row has no name yet. */
  private boolean readName(int row) throws MetricsSnapshot.InvalidFileException {
    int offset = namesOffset + row * MappedMetricsFile.NAME_BYTES;
    long length = memory.get(offset);
    if (length < 0 || length > MappedMetricsFile.NAME_BYTES - Long.BYTES) {
      throw new MetricsSnapshot.InvalidFileException(source + ": a name is damaged");
    }
    if (length == 0) {
      return false;
    }
    if (rowNames[row] == null) {
      byte[] name = MetricsSnapshot.readBytes(memory, offset + Long.BYTES, (int) length);
      rowNames[row] = new String(name, StandardCharsets.UTF_8);
    }
    return true;
  }
}
