package sprucerock.metrics;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;

/**
 * All metrics of one relay as of one commit, read from its file or its memory. The relay may be
 * running, have shut down, or have been killed.
 */
public final class MetricsSnapshot {
  /** Reports a metrics file that can't be used; the message gives the reason in one line. */
  public static final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFileException(String message) {
      super(message);
    }
  }

  private static final int MAX_READ_ATTEMPTS = 10_000;
  private static final int MAX_VALUES = 10_000_000;
  private static final int MAX_LAYOUT_BYTES = 1 << 20;

  /** How many times a relay was started with this file; 1 after the first start. */
  public final long generation;

  /** Whether the relay shut down cleanly; if false, it is running or was killed. */
  public final boolean cleanShutdown;

  /** One line for each sheet: its name, row key, number of rows and columns. */
  public final String layout;

  /** The names of all rows, null for a row that is not in use. */
  public final String[] rowNames;

  /** All values, by account. */
  public final long[] values;

  private MetricsSnapshot(
      long generation, boolean cleanShutdown, String layout, String[] rowNames, long[] values) {
    this.generation = generation;
    this.cleanShutdown = cleanShutdown;
    this.layout = layout;
    this.rowNames = rowNames;
    this.values = values;
  }

  /**
   * Reads a metrics file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidFileException if the file is not a metrics file or is damaged
   */
  public static MetricsSnapshot read(Path file) throws IOException, InvalidFileException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      long size = channel.size();
      if (size < MappedMetricsFile.HEADER_BYTES || size > Integer.MAX_VALUE) {
        throw new InvalidFileException(
            file
                + ": "
                + size
                + " bytes can't be a metrics file; allowed are "
                + MappedMetricsFile.HEADER_BYTES
                + " to "
                + Integer.MAX_VALUE);
      }
      return read(
          new BufferMetricsMemory(channel.map(FileChannel.MapMode.READ_ONLY, 0, size)),
          file.toString());
    }
  }

  /** Reads metrics from a memory; {@code source} names the memory in errors. */
  static MetricsSnapshot read(MetricsMemory memory, String source) throws InvalidFileException {
    Header header = Header.read(memory, source);
    MetricsCopies copies =
        new MetricsCopies(memory, header.rowCount(), header.valueCount(), header.layout(), source);
    for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
      if (readCurrentCopy(memory, copies, source)) {
        return new MetricsSnapshot(
            memory.get(MappedMetricsFile.GENERATION_OFFSET),
            memory.get(MappedMetricsFile.CLOSED_OFFSET) == 1,
            header.layout(),
            copies.rowNames,
            copies.lastValues);
      }
      Thread.onSpinWait();
    }
    throw new InvalidFileException(
        source + ": changed during each of " + MAX_READ_ATTEMPTS + " read attempts");
  }

  /**
   * Reads the active copy. Returns false if a running relay committed meanwhile, so that another
   * attempt is needed.
   */
  private static boolean readCurrentCopy(MetricsMemory memory, MetricsCopies copies, String source)
      throws InvalidFileException {
    long sequence = memory.get(MappedMetricsFile.SEQUENCE_OFFSET);
    if (copies.readCopy(sequence) == sequence) {
      return true;
    }
    if (memory.get(MappedMetricsFile.SEQUENCE_OFFSET) != sequence) {
      return false;
    }
    // The sequence number has not changed, so no running relay interfered: the relay was killed
    // between two writes, or the file is damaged. The other copy may be intact, or this copy may be
    // intact but not yet active.
    long newest = Math.max(copies.readCopy(0), copies.readCopy(1));
    if (newest >= 0 && copies.readCopy(newest) >= 0) {
      return true;
    }
    throw new InvalidFileException(source + ": the checksums of both copies are wrong");
  }

  /** A file's header and layout, after validation. */
  private record Header(int valueCount, int rowCount, String layout) {
    static Header read(MetricsMemory memory, String source) throws InvalidFileException {
      if (memory.get(0) != MappedMetricsFile.MAGIC) {
        throw new InvalidFileException(
            source + ": not a metrics file, or a metrics file of another version");
      }
      long valueCount = memory.get(MappedMetricsFile.VALUE_COUNT_OFFSET);
      long rowCount = memory.get(MappedMetricsFile.ROW_COUNT_OFFSET);
      long layoutBytes = memory.get(MappedMetricsFile.LAYOUT_SIZE_OFFSET);
      boolean inBounds =
          valueCount >= 0
              && valueCount <= MAX_VALUES
              && rowCount >= 0
              && rowCount <= valueCount
              && layoutBytes >= 0
              && layoutBytes < MAX_LAYOUT_BYTES;
      if (!inBounds || fileSizeBytes(valueCount, rowCount, layoutBytes) != memory.sizeBytes()) {
        throw new InvalidFileException(source + ": truncated, or the header is damaged");
      }
      byte[] layout = readBytes(memory, MappedMetricsFile.HEADER_BYTES, (int) layoutBytes);
      if (MappedMetricsFile.crc32(layout) != memory.get(MappedMetricsFile.LAYOUT_CRC_OFFSET)) {
        throw new InvalidFileException(source + ": the layout is damaged");
      }
      return new Header(
          (int) valueCount, (int) rowCount, new String(layout, StandardCharsets.UTF_8));
    }

    private static long fileSizeBytes(long valueCount, long rowCount, long layoutBytes) {
      return MappedMetricsFile.HEADER_BYTES
          + MappedMetricsFile.roundUpToLongs((int) layoutBytes)
          + rowCount * MappedMetricsFile.ROW_NAME_BYTES
          + 2 * (valueCount + 2) * Long.BYTES;
    }
  }

  /** Reads bytes that are packed into longs, from an offset that is a multiple of eight. */
  static byte[] readBytes(MetricsMemory memory, int offset, int count) {
    byte[] bytes = new byte[count];
    for (int i = 0; i < count; i++) {
      bytes[i] = (byte) (memory.get(offset + (i & ~7)) >>> 8 * (i & 7));
    }
    return bytes;
  }

  /**
   * Returns accounts with the layout and row names of this snapshot, to audit its values and to
   * name them. The values of these accounts are zero.
   *
   * @throws InvalidFileException if the layout is that of another version
   */
  public MethodAccounts accounts() throws InvalidFileException {
    List<String> methods = new ArrayList<>();
    int[] capacities = new int[3];
    int row = 0;
    for (String line : layout.split("\n")) {
      String[] parts = line.split(" ");
      int rows = Integer.parseInt(parts[2]);
      for (int i = 0; i < rows - 1 && parts[0].equals("rpcs"); i++) {
        methods.add(rowNames[row + i]);
      }
      if (parts[0].equals("build_picks")) {
        capacities[0] = rows - 1;
      }
      if (parts[0].equals("unit_picks")) {
        capacities[1] = rows - 1;
      }
      if (parts[0].equals("customer_rpcs")) {
        capacities[2] = rows - 1;
      }
      row += rows;
    }
    MethodAccounts accounts =
        new MethodAccounts(
            methods, new MethodAccounts.Capacity(capacities[0], capacities[1], capacities[2]));
    if (!accounts.layout().equals(layout)) {
      throw new InvalidFileException("the metrics have the layout of another version");
    }
    int globalRow = 0;
    for (MetricsSheet sheet : accounts.sheets()) {
      for (int i = 0; i < sheet.rowCount(); i++, globalRow++) {
        if (rowNames[globalRow] != null) {
          accounts.nameRow(sheet, i, rowNames[globalRow]);
        }
      }
    }
    return accounts;
  }
}
