package sprucerock.relay.snapshot;

import java.util.Arrays;
import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * Until when work may be placed on each rack, for every thread that places some: immutable, read
 * without a lock and without allocating. A rack that is not in it never has a maintenance window.
 * Times are of this process's steady clock, reckoned from durations; no wall clock has a part in
 * it.
 */
public final class RackSnapshot {
  /** Of a process that was granted nothing: no rack can have a maintenance window. */
  public static final RackSnapshot EMPTY = new RackSnapshot(0, Map.of());

  private final long sequence;
  // Open addressing in one array of keys, at most half full: a miss ends at the first empty slot.
  private final int[] keys;
  private final double[] untilMs;
  private final int mask;
  private final int size;

  /** One of a sequence; {@code until} has the racks' times by {@link #key}. */
  public RackSnapshot(long sequence, Map<Integer, Timestamp> until) {
    this.sequence = sequence;
    size = until.size();
    int slots = Integer.highestOneBit(Math.max(4, 4 * size));
    mask = slots - 1;
    keys = new int[slots];
    Arrays.fill(keys, -1);
    untilMs = new double[slots];
    until.forEach(
        (key, time) -> {
          int at = slot(key);
          while (keys[at] != -1) {
            at = (at + 1) & mask;
          }
          keys[at] = key;
          untilMs[at] = time.ms();
        });
  }

  /** A rack's key: its zone, 0 to 32,767, and its cell, 0 to 65,535. */
  public static int key(int zone, int cell) {
    return ((zone & 0x7fff) << 16) | (cell & 0xffff);
  }

  private int slot(int key) {
    int mixed = key * 0x9E3779B1;
    return (mixed ^ (mixed >>> 15)) & mask;
  }

  /**
   * Whether work that begins now and takes that long at most may be placed on a rack; all in
   * milliseconds of the steady clock.
   */
  public boolean mayPlace(int key, double nowMs, double takesMs) {
    for (int at = slot(key); keys[at] != -1; at = (at + 1) & mask) {
      if (keys[at] == key) {
        return nowMs + takesMs <= untilMs[at];
      }
    }
    return true;
  }

  /** Until when a rack is free for certain; null: it never has a maintenance window. */
  public Timestamp freeUntil(int key) {
    for (int at = slot(key); keys[at] != -1; at = (at + 1) & mask) {
      if (keys[at] == key) {
        return Timestamp.ofMs(untilMs[at]);
      }
    }
    return null;
  }

  /** The controller's sequence that it was made from. */
  public long sequence() {
    return sequence;
  }

  /** Racks that are in it. */
  public int size() {
    return size;
  }
}
