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
 * All metrics of one relay at the end of one commit, read from its file or its memory; the relay
 * may run, have ended, or have been killed.
 */
public final class MetricsSnapshot {
  /** A metrics file that can't be used; the message says why in one line. */
  public static final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFileException(String message) {
      super(message);
    }
  }

  private static final int MAX_READ_ATTEMPTS = 10_000;
  private static final int MAX_VALUES = 10_000_000;
  private static final int MAX_LAYOUT_BYTES = 1 << 20;

  /** How often a relay was started with this file; 1 for the first time. */
  public final long generation;

  /** Whether the relay shut down cleanly; else it runs, or was killed. */
  public final boolean cleanShutdown;

  /** A line for each family of metrics: name, key, rows, columns. */
  public final String layout;

  /** The names of all rows, null for one that is not in use. */
  public final String[] rowNames;

  /** All values, row by row. */
  public final long[] values;

  private MetricsSnapshot(
      long generation, boolean closed, String layout, String[] names, long[] values) {
    this.generation = generation;
    this.cleanShutdown = closed;
    this.layout = layout;
    this.rowNames = names;
    this.values = values;
  }

  /**
   * Reads a file.
   *
   * @throws IOException if it can't be read at all
   * @throws InvalidFileException if it is no metrics file, or is damaged
   */
  public static MetricsSnapshot read(Path file) throws IOException, InvalidFileException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      long size = channel.size();
      if (size < MappedMetricsFile.HEADER_BYTES || size > Integer.MAX_VALUE) {
        throw new InvalidFileException(file + ": " + size + " bytes are no figures");
      }
      return read(
          new BufferMetricsMemory(channel.map(FileChannel.MapMode.READ_ONLY, 0, size)),
          file.toString());
    }
  }

  /** Reads a memory; {@code source} names it in errors. */
  static MetricsSnapshot read(MetricsMemory memory, String source) throws InvalidFileException {
    Header header = Header.read(memory, source);
    MetricsCopies copies =
        new MetricsCopies(memory, header.rows(), header.values(), header.layout(), source);
    for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
      if (readCurrentCopy(memory, copies, source)) {
        return new MetricsSnapshot(
            memory.get(MappedMetricsFile.GENERATION_OFFSET),
            memory.get(MappedMetricsFile.CLOSED_OFFSET) == 1,
            header.layout(),
            copies.rowNames,
            copies.values);
      }
      Thread.onSpinWait();
    }
    throw new InvalidFileException(source + ": changed at each of " + MAX_READ_ATTEMPTS + " looks");
  }

  /** False where a relay that runs has written meanwhile, and another attempt is needed. */
  private static boolean readCurrentCopy(MetricsMemory memory, MetricsCopies copies, String source)
      throws InvalidFileException {
    long sequence = memory.get(MappedMetricsFile.SEQUENCE_OFFSET);
    if (copies.readCopy(sequence) == sequence) {
      return true;
    }
    if (memory.get(MappedMetricsFile.SEQUENCE_OFFSET) != sequence) {
      return false;
    }
    // Nobody writes: the relay was killed just here. The other copy, or this one before its
    // sequence number counts, is intact.
    long newest = Math.max(copies.readCopy(0), copies.readCopy(1));
    if (newest >= 0 && copies.readCopy(newest) >= 0) {
      return true;
    }
    throw new InvalidFileException(source + ": its checksums are wrong");
  }

  /** A file's header and layout, checked. */
  private record Header(int values, int rows, String layout) {
    static Header read(MetricsMemory memory, String source) throws InvalidFileException {
      if (memory.get(0) != MappedMetricsFile.MAGIC) {
        throw new InvalidFileException(source + ": no figures, or those of another version");
      }
      long values = memory.get(MappedMetricsFile.VALUE_COUNT_OFFSET);
      long rows = memory.get(MappedMetricsFile.ROW_COUNT_OFFSET);
      long layoutBytes = memory.get(MappedMetricsFile.LAYOUT_SIZE_OFFSET);
      boolean inBounds =
          values >= 0
              && values <= MAX_VALUES
              && rows >= 0
              && rows <= values
              && layoutBytes >= 0
              && layoutBytes < MAX_LAYOUT_BYTES;
      if (!inBounds || size(values, rows, layoutBytes) != memory.sizeBytes()) {
        throw new InvalidFileException(source + ": cut short, or its head is damaged");
      }
      byte[] layout = readBytes(memory, MappedMetricsFile.HEADER_BYTES, (int) layoutBytes);
      if (MappedMetricsFile.crc(layout) != memory.get(MappedMetricsFile.LAYOUT_CRC_OFFSET)) {
        throw new InvalidFileException(source + ": its layout is damaged");
      }
      return new Header((int) values, (int) rows, new String(layout, StandardCharsets.UTF_8));
    }

    private static long size(long values, long rows, long layoutBytes) {
      return MappedMetricsFile.HEADER_BYTES
          + MappedMetricsFile.roundUpToLongs((int) layoutBytes)
          + rows * MappedMetricsFile.NAME_BYTES
          + 2 * (values + 2) * Long.BYTES;
    }
  }

  /** Bytes that stand in longs, from an offset that is a multiple of eight. */
  static byte[] readBytes(MetricsMemory memory, int offset, int count) {
    byte[] bytes = new byte[count];
    for (int i = 0; i < count; i++) {
      bytes[i] = (byte) (memory.get(offset + (i & ~7)) >>> 8 * (i & 7));
    }
    return bytes;
  }

  /**
   * Accounts of the same layout and row names, to check and name these values by.
   *
   * @throws InvalidFileException if the file is of another version
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
      throw new InvalidFileException("figures of another version");
    }
    int next = 0;
    for (MetricsSheet family : accounts.sheets()) {
      for (int i = 0; i < family.rowCount(); i++, next++) {
        if (rowNames[next] != null) {
          accounts.nameRow(family, i, rowNames[next]);
        }
      }
    }
    return accounts;
  }
}
