package sprucerock.relay.snapshot;

import java.util.Arrays;
import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * The times until which work may be placed on each rack, shared by all threads that place work.
 * Immutable; reading needs no lock and no allocation. A rack that is not in the snapshot never has
 * a maintenance window. Times are of this process's monotonic clock, computed from durations; no
 * wall clock is involved.
 */
public final class RackSnapshot {
  /** The snapshot of a process without rack permits: no rack can have a maintenance window. */
  public static final RackSnapshot EMPTY = new RackSnapshot(0, Map.of());

  private final long sequence;
  // An open addressing hash table, at most half full: a miss ends at the first empty slot. An empty
  // slot has the key -1.
  private final int[] keys;
  private final double[] untilMs;
  private final int mask;
  private final int size;

  /**
   * Creates a snapshot.
   *
   * @param sequence the controller's sequence number of these times; later ones are higher
   * @param until the times until which work may be placed on a rack, by {@link #key}
   */
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
          int slot = slot(key);
          while (keys[slot] != -1) {
            slot = (slot + 1) & mask;
          }
          keys[slot] = key;
          untilMs[slot] = time.ms();
        });
  }

  /** Returns the key of a rack from its zone, 0 to 32,767, and its cell, 0 to 65,535. */
  public static int key(int zone, int cell) {
    return ((zone & 0x7fff) << 16) | (cell & 0xffff);
  }

  /** Returns the slot at which the search for a key begins, by Fibonacci hashing. */
  private int slot(int key) {
    int mixed = key * 0x9E3779B1;
    return (mixed ^ (mixed >>> 15)) & mask;
  }

  /**
   * Returns whether work may be placed on a rack.
   *
   * @param nowMs the start of the work, in milliseconds of the monotonic clock
   * @param maxDurationMs how long the work takes at most
   */
  public boolean mayPlace(int key, double nowMs, double maxDurationMs) {
    for (int slot = slot(key); keys[slot] != -1; slot = (slot + 1) & mask) {
      if (keys[slot] == key) {
        return nowMs + maxDurationMs <= untilMs[slot];
      }
    }
    return true;
  }

  /** Returns until when work may be placed on a rack; null: it never has a maintenance window. */
  public Timestamp mayPlaceUntil(int key) {
    for (int slot = slot(key); keys[slot] != -1; slot = (slot + 1) & mask) {
      if (keys[slot] == key) {
        return Timestamp.ofMs(untilMs[slot]);
      }
    }
    return null;
  }

  /** Returns the controller's sequence number of this snapshot. */
  public long sequence() {
    return sequence;
  }

  /** Returns the number of racks in the snapshot. */
  public int size() {
    return size;
  }
}
