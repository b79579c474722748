package sprucerock.metrics;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;
import sprucerock.accounting.MetricsStore;

/**
 * Figures in a file: a head, the layout, the rows' names, and two copies of all values, each with
 * its turn's number and a checksum. A turn is written into the copy that does not count; then one
 * long says that this one counts now. A kill between any two writes leaves the state before or
 * after a turn, never half of one, and a reader elsewhere needs no lock.
 */
final class MappedMetricsFile implements MetricsStore {
  static final long MAGIC = 0x3130474946525053L; // "SPRFIG01"
  static final int NAME = 80; // its length, and 72 bytes: a build and the longest method
  static final int GENERATION = 8;
  static final int SEQUENCE = 16;
  static final int CLOSED = 24;
  static final int VALUES = 32;
  static final int ROWS = 40;
  static final int LAYOUT_BYTES = 48;
  static final int LAYOUT_CRC = 56;
  static final int HEAD = 64;

  private final int namesAt;
  private final int valuesAt;
  private final long[] values;
  private final int[] now;
  private final int[] before;
  private final boolean[] isNow;
  private int nowCount;
  private int beforeCount;
  private long check;
  private long sequence;
  private volatile MetricsMemory memory; // written by the relay, read by whoever scrapes

  /** A fresh file in memory that is all zero. */
  MappedMetricsFile(MetricsMemory memory, String layout, int values, int rows, long generation) {
    this.memory = memory;
    byte[] text = layout.getBytes(StandardCharsets.UTF_8);
    this.values = new long[values];
    now = new int[values];
    before = new int[values];
    isNow = new boolean[values];
    namesAt = HEAD + padded(text.length);
    valuesAt = namesAt + rows * NAME;
    putBytes(HEAD, text);
    memory.put(GENERATION, generation);
    memory.put(VALUES, values);
    memory.put(ROWS, rows);
    memory.put(LAYOUT_BYTES, text.length);
    memory.put(LAYOUT_CRC, crc(text));
    memory.putLast(0, MAGIC);
  }

  static int padded(int bytes) {
    return bytes + 7 & ~7;
  }

  static long crc(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  static int size(String layout, int values, int rows) {
    return HEAD
        + padded(layout.getBytes(StandardCharsets.UTF_8).length)
        + rows * NAME
        + 2 * (values + 2) * 8;
  }

  /** Goes on elsewhere, where the same bytes stand. */
  void moveTo(MetricsMemory other) {
    memory = other;
  }

  MetricsMemory memory() {
    return memory;
  }

  private void putBytes(int at, byte[] bytes) {
    for (int i = 0; i < bytes.length; i += 8) {
      long piece = 0;
      for (int j = 0; j < 8 && i + j < bytes.length; j++) {
        piece |= (bytes[i + j] & 0xffL) << 8 * j;
      }
      memory.put(at + i, piece);
    }
  }

  @Override
  public void name(int row, String label) {
    byte[] bytes = label.getBytes(StandardCharsets.UTF_8);
    byte[] cut = Arrays.copyOf(bytes, Math.min(bytes.length, NAME - 8));
    int at = namesAt + row * NAME;
    putBytes(at + 8, cut);
    memory.putLast(at, cut.length); // until here the row has no name
  }

  /**
   * How much a value weighs in the checksum: odd, so that each bit counts, and another for each
   * place.
   */
  static long weight(int index) {
    return (index + 1) * 0x9E3779B97F4A7C15L | 1;
  }

  @Override
  public void put(int account, long value) {
    check += (value - values[account]) * weight(account);
    values[account] = value;
    if (isNow[account]) {
      return;
    }
    isNow[account] = true;
    now[nowCount++] = account;
  }

  @Override
  public void commit() {
    long next = sequence + 1;
    int at = copyAt(valuesAt, values.length, next);
    // this copy lacks the last turn too, which went to the other one
    for (int i = 0; i < beforeCount; i++) {
      memory.put(at + before[i] * 8, values[before[i]]);
    }
    for (int i = 0; i < nowCount; i++) {
      memory.put(at + now[i] * 8, values[now[i]]);
    }
    memory.put(at + values.length * 8, next);
    memory.put(at + values.length * 8 + 8, checksum(check, next));
    memory.putLast(SEQUENCE, next);
    sequence = next;
    System.arraycopy(now, 0, before, 0, nowCount);
    beforeCount = nowCount;
    for (int i = 0; i < nowCount; i++) {
      isNow[now[i]] = false;
    }
    nowCount = 0;
  }

  static int copyAt(int valuesAt, int values, long sequence) {
    return valuesAt + (int) (sequence & 1) * (values + 2) * 8;
  }

  static long checksum(long check, long sequence) {
    return check ^ sequence * 0xD6E8FEB86659FD93L;
  }

  /** The relay ended in good order. */
  void close() {
    memory.putLast(CLOSED, 1);
  }
}
