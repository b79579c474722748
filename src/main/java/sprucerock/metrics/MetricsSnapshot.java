package sprucerock.metrics;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MethodMetrics;

/**
 * All figures of one relay at the end of one turn, read from its file; the relay may run, be ended
 * or be dead.
 */
public final class MetricsSnapshot {
  /** A file that can't be used; the message says why in one line. */
  public static final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFileException(String message) {
      super(message);
    }
  }

  private static final int TRIES = 10_000;
  private static final int MOST_VALUES = 10_000_000;

  public final long generation;
  public final boolean cleanShutdown;
  public final String layout;
  public final String[] rowNames;
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
   * @throws BadFileException if what it holds are no figures, or not whole
   */
  public static MetricsSnapshot read(Path file) throws IOException, InvalidFileException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      long size = channel.size();
      if (size < MappedMetricsFile.HEAD || size > Integer.MAX_VALUE) {
        throw new InvalidFileException(file + ": " + size + " bytes are no figures");
      }
      return read(
          new BufferMetricsMemory(channel.map(FileChannel.MapMode.READ_ONLY, 0, size)),
          file.toString());
    }
  }

  static MetricsSnapshot read(MetricsMemory memory, String file) throws InvalidFileException {
    if (memory.get(0) != MappedMetricsFile.MAGIC) {
      throw new InvalidFileException(file + ": no figures, or those of another version");
    }
    long count = memory.get(MappedMetricsFile.VALUES);
    long rows = memory.get(MappedMetricsFile.ROWS);
    long layoutBytes = memory.get(MappedMetricsFile.LAYOUT_BYTES);
    boolean fits =
        count >= 0
            && count <= MOST_VALUES
            && rows >= 0
            && rows <= count
            && layoutBytes >= 0
            && layoutBytes < 1 << 20
            && MappedMetricsFile.HEAD
                    + MappedMetricsFile.padded((int) layoutBytes)
                    + rows * MappedMetricsFile.NAME
                    + 2 * (count + 2) * 8
                == memory.size();
    if (!fits) {
      throw new InvalidFileException(file + ": cut short, or its head is damaged");
    }
    byte[] layout = bytes(memory, MappedMetricsFile.HEAD, (int) layoutBytes);
    if (MappedMetricsFile.crc(layout) != memory.get(MappedMetricsFile.LAYOUT_CRC)) {
      throw new InvalidFileException(file + ": its layout is damaged");
    }
    Copies copies =
        new Copies(
            memory,
            MappedMetricsFile.HEAD + MappedMetricsFile.padded(layout.length),
            (int) rows,
            (int) count,
            new String(layout, StandardCharsets.UTF_8),
            file);
    for (int i = 0; i < TRIES; i++) {
      long sequence = memory.get(MappedMetricsFile.SEQUENCE);
      // a relay that goes on may begin to write where we read: then the checksum is wrong and the
      // number moves on
      boolean read = copies.read(sequence) == sequence;
      if (!read && memory.get(MappedMetricsFile.SEQUENCE) == sequence) {
        // nobody writes: it was cut off just there. The other copy, or this one without its number,
        // is whole
        long even = copies.read(0);
        long odd = copies.read(1);
        read = Math.max(even, odd) >= 0 && copies.read(Math.max(even, odd)) >= 0;
        if (!read) {
          throw new InvalidFileException(file + ": its checksums are wrong");
        }
      }
      if (read) {
        return new MetricsSnapshot(
            memory.get(MappedMetricsFile.GENERATION),
            memory.get(MappedMetricsFile.CLOSED) == 1,
            new String(layout, StandardCharsets.UTF_8),
            copies.names,
            copies.values);
      }
      Thread.onSpinWait();
    }
    throw new InvalidFileException(file + ": changed at each of " + TRIES + " looks");
  }

  /**
   * The copies of the values, of which rows without a name are not looked at: these are zero, and
   * weigh nothing. A look has to be over before a relay under load has ended two turns, and most
   * rows are never used.
   */
  private static final class Copies {
    private final MetricsMemory memory;
    private final String file;
    private final int namesAt;
    private final int valuesAt;
    private final int[] firsts;
    final String[] names;
    final long[] values;

    Copies(MetricsMemory memory, int namesAt, int rows, int count, String layout, String file)
        throws InvalidFileException {
      this.memory = memory;
      this.file = file;
      this.namesAt = namesAt;
      valuesAt = namesAt + rows * MappedMetricsFile.NAME;
      names = new String[rows];
      values = new long[count];
      firsts = new int[rows + 1];
      int row = 0;
      for (String line : layout.split("\n")) {
        String[] parts = line.split(" ");
        int columns = parts[3].split(",").length;
        for (int i = Integer.parseInt(parts[2]); i > 0 && row < rows; i--, row++) {
          firsts[row + 1] = firsts[row] + columns;
        }
      }
      if (row != rows || firsts[rows] != count) {
        throw new InvalidFileException(file + ": its layout does not fit its head");
      }
    }

    /**
     * Reads the copy that a turn's number falls to; returns the number that stands in it, -1 where
     * it is not whole.
     */
    long read(long sequence) throws InvalidFileException {
      int at = MappedMetricsFile.copyAt(valuesAt, values.length, sequence);
      long check = 0;
      for (int row = 0; row < names.length; row++) {
        int nameAt = namesAt + row * MappedMetricsFile.NAME;
        long length = memory.get(nameAt);
        if (length < 0 || length > MappedMetricsFile.NAME - 8) {
          throw new InvalidFileException(file + ": a name is damaged");
        }
        if (length == 0) {
          continue;
        }
        if (names[row] == null) {
          names[row] = new String(bytes(memory, nameAt + 8, (int) length), StandardCharsets.UTF_8);
        }
        memory.get(at + firsts[row] * 8, values, firsts[row], firsts[row + 1] - firsts[row]);
        for (int i = firsts[row]; i < firsts[row + 1]; i++) {
          check += values[i] * MappedMetricsFile.weight(i);
        }
      }
      long own = memory.get(at + values.length * 8);
      boolean whole =
          memory.get(at + values.length * 8 + 8) == MappedMetricsFile.checksum(check, own)
              && (own & 1) == (sequence & 1);
      return whole ? own : -1;
    }
  }

  private static byte[] bytes(MetricsMemory memory, int at, int count) {
    byte[] bytes = new byte[count];
    for (int i = 0; i < count; i++) {
      bytes[i] = (byte) (memory.get(at + (i & 7)) >>> 8 * (i & 7));
    }
    return bytes;
  }

  /** Accounts of the same layout and names, to check and name these values by. */
  public MethodAccounts accounts() throws InvalidFileException {
    List<String> methods = new ArrayList<>();
    int[] rooms = new int[3];
    int row = 0;
    for (String line : layout.split("\n")) {
      String[] parts = line.split(" ");
      int rows = Integer.parseInt(parts[2]);
      for (int i = 0; i < rows - 1 && parts[0].equals("rpcs"); i++) {
        methods.add(rowNames[row + i]);
      }
      if (parts[0].equals("build_picks")) {
        rooms[0] = rows - 1;
      }
      if (parts[0].equals("unit_picks")) {
        rooms[1] = rows - 1;
      }
      if (parts[0].equals("customer_rpcs")) {
        rooms[2] = rows - 1;
      }
      row += rows;
    }
    MethodAccounts made =
        new MethodAccounts(methods, new MethodAccounts.Capacity(rooms[0], rooms[1], rooms[2]));
    if (!made.layout().equals(layout)) {
      throw new InvalidFileException("figures of another version");
    }
    int at = 0;
    for (MethodMetrics sheet : made.tables()) {
      for (int i = 0; i < sheet.rows(); i++, at++) {
        if (rowNames[at] != null) {
          made.nameRow(sheet, i, rowNames[at]);
        }
      }
    }
    return made;
  }
}
