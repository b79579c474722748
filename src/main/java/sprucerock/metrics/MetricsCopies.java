package sprucerock.metrics;

import java.nio.charset.StandardCharsets;

/**
 * Reads the two copies of the values in a metrics file. Rows without a name are skipped: they are
 * zero and add nothing to the checksum. Most rows are never used, and a read must finish before a
 * relay under load has committed twice.
 */
final class MetricsCopies {
  /** The names of all rows, null for a row that is not in use; filled by {@link #readCopy}. */
  final String[] rowNames;

  /** The values of the copy that was read last, by account. */
  final long[] lastValues;

  private final MetricsMemory memory;
  private final String source;
  private final int namesOffset;
  private final int valuesOffset;

  /** The index of each row's first value, followed by the number of all values. */
  private final int[] firstValueOfRow;

  /**
   * Prepares reading a file whose header was checked.
   *
   * @param source the name of the file in errors
   * @throws MetricsSnapshot.InvalidFileException if the layout does not have these numbers of rows
   *     and values
   */
  MetricsCopies(MetricsMemory memory, int rowCount, int valueCount, String layout, String source)
      throws MetricsSnapshot.InvalidFileException {
    this.memory = memory;
    this.source = source;
    int layoutBytes = (int) memory.get(MappedMetricsFile.LAYOUT_SIZE_OFFSET);
    namesOffset = MappedMetricsFile.HEADER_BYTES + MappedMetricsFile.roundUpToLongs(layoutBytes);
    valuesOffset = namesOffset + rowCount * MappedMetricsFile.ROW_NAME_BYTES;
    rowNames = new String[rowCount];
    lastValues = new long[valueCount];
    firstValueOfRow = new int[rowCount + 1];
    int row = 0;
    for (String line : layout.split("\n")) {
      String[] parts = line.split(" ");
      int columns = parts[3].split(",").length;
      for (int i = Integer.parseInt(parts[2]); i > 0 && row < rowCount; i--, row++) {
        firstValueOfRow[row + 1] = firstValueOfRow[row] + columns;
      }
    }
    if (row != rowCount || firstValueOfRow[rowCount] != valueCount) {
      throw new MetricsSnapshot.InvalidFileException(
          source + ": the layout has other numbers of rows or values than the header");
    }
  }

  /**
   * Reads the copy that a commit with the given sequence number writes.
   *
   * @return the sequence number in the copy, or -1 if its checksum is wrong
   * @throws MetricsSnapshot.InvalidFileException if a row's name is damaged
   */
  long readCopy(long sequence) throws MetricsSnapshot.InvalidFileException {
    int offset = MappedMetricsFile.copyOffset(valuesOffset, lastValues.length, sequence);
    long weightedSum = 0;
    for (int row = 0; row < rowNames.length; row++) {
      if (!readName(row)) {
        continue;
      }
      int first = firstValueOfRow[row];
      int end = firstValueOfRow[row + 1];
      memory.get(offset + first * Long.BYTES, lastValues, first, end - first);
      for (int i = first; i < end; i++) {
        weightedSum += lastValues[i] * MappedMetricsFile.checksumWeight(i);
      }
    }
    int sequenceOffset = offset + lastValues.length * Long.BYTES;
    long copySequence = memory.get(sequenceOffset);
    boolean intact =
        memory.get(sequenceOffset + Long.BYTES)
                == MappedMetricsFile.checksum(weightedSum, copySequence)
            && (copySequence & 1) == (sequence & 1);
    return intact ? copySequence : -1;
  }

  /** Reads a row's name; returns false if the row has no name yet. */
  private boolean readName(int row) throws MetricsSnapshot.InvalidFileException {
    int offset = namesOffset + row * MappedMetricsFile.ROW_NAME_BYTES;
    long length = memory.get(offset);
    if (length < 0 || length > MappedMetricsFile.ROW_NAME_BYTES - Long.BYTES) {
      throw new MetricsSnapshot.InvalidFileException(
          source + ": the name of row " + row + " is damaged");
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
