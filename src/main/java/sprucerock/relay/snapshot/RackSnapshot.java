package sprucerock.relay.snapshot;

import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * Until when work may be placed on each rack, for every thread that places some: one immutable
 * object, read without a lock and without making anything. A rack that is not in it is never
 * frozen. Times are of this process's steady clock, told by durations; no wall's clock has a part
 * in it.
 */
public final class RackSnapshot {
  /** Of a process that was told nothing: no rack can be frozen. */
  public static final RackSnapshot NOTHING = new RackSnapshot(0, Map.of());

  private final long sequence;
  // Open addressing in one array of keys, at most half full: a miss ends at the first empty place.
  private final int[] keys;
  private final double[] untilMs;
  private final int mask;
  private final int size;

  /** {@code until}: by {@link #key}. */
  public RackSnapshot(long sequence, Map<Integer, Timestamp> until) {
    this.sequence = sequence;
    size = until.size();
    int room = Integer.highestOneBit(Math.max(4, 4 * size));
    mask = room - 1;
    keys = new int[room];
    java.util.Arrays.fill(keys, -1);
    untilMs = new double[room];
    until.forEach(
        (key, moment) -> {
          int at = place(key);
          while (keys[at] != -1) {
            at = at + 1 & mask;
          }
          keys[at] = key;
          untilMs[at] = moment.ms();
        });
  }

  /** Of a rack: its zone and its cell, each under 32,768 and 65,536. */
  public static int key(int zone, int cell) {
    return (zone & 0x7fff) << 16 | cell & 0xffff;
  }

  private int place(int key) {
    int mixed = key * 0x9E3779B1;
    return (mixed ^ mixed >>> 15) & mask;
  }

  /**
   * Whether work that begins now and takes that long at most may be placed on a rack; all in
   * milliseconds of the steady clock.
   */
  public boolean mayPlace(int key, double nowMs, double takesMs) {
    for (int at = place(key); keys[at] != -1; at = at + 1 & mask) {
      if (keys[at] == key) {
        return nowMs + takesMs <= untilMs[at];
      }
    }
    return true;
  }

  /** Until when a rack is free for certain; null: it is never frozen. */
  public Timestamp freeUntil(int key) {
    for (int at = place(key); keys[at] != -1; at = at + 1 & mask) {
      if (keys[at] == key) {
        return Timestamp.ofMs(untilMs[at]);
      }
    }
    return null;
  }

  /** Of the state that it was told by. */
  public long sequence() {
    return sequence;
  }

  public int size() {
    return size;
  }
}
