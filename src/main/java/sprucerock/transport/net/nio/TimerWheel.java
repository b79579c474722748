package sprucerock.transport.net.nio;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.PriorityQueue;
import sprucerock.transport.net.Timers.Timer;

/**
 * A hashed timer wheel with slots of an eighth of a millisecond. A relay keeps several timers an
 * RPC for seconds, and nearly all are cancelled before they are due: in a heap each would cost its
 * depth twice, here it is inserted and removed once. No timer runs early, and none is more than a
 * slot late on the wheel's account. Confined to the loop thread.
 */
final class TimerWheel {
  private static final int SLOTS_PER_MS = 8;

  /** Eight seconds, beyond most deadlines; later timers wait in a heap. */
  private static final int SLOTS = 1 << 16;

  private static final int NO_SLOT = -1;
  private static final int INITIAL_SLOT_CAPACITY = 4;

  /** A timer. */
  private final class Entry implements Timer {
    private final double whenMs;
    private final long order;
    private Runnable action;
    private int slot = NO_SLOT; // while it waits in the heap

    Entry(double whenMs, long order, Runnable action) {
      this.whenMs = whenMs;
      this.order = order;
      this.action = action;
    }

    @Override
    public void cancel() {
      if (action == null) {
        return;
      }
      action = null; // frees action the action holds now; the entry is removed when due
      // a slot without live timers must not wake the loop: most timers are cancelled
      if (slot >= 0 && --liveCount[slot] == 0) {
        clear(slot);
      }
    }
  }

  private final Comparator<Entry> byDueTime =
      (a, b) -> {
        int comparison = Double.compare(a.whenMs, b.whenMs);
        return comparison != 0 ? comparison : Long.compare(a.order, b.order);
      };

  /** Runs the action of a timer that is due. */
  interface Runner {
    /** Must not throw: timers of the same slot would be lost. */
    void run(Runnable action);
  }

  @SuppressWarnings({"unchecked", "rawtypes"}) // Java has no arrays of a generic type
  private final ArrayList<Entry>[] slots = new ArrayList[SLOTS];

  /** A bit for each slot with live timers. */
  private final long[] occupied = new long[SLOTS / 64];

  private final int[] liveCount = new int[SLOTS];
  private final PriorityQueue<Entry> beyondWheel = new PriorityQueue<>(byDueTime);
  private long reached; // no slot before this one has a timer
  private long timerCount;

  /** The first slot that begins at or after a time. */
  private static long slot(double ms) {
    return (long) Math.ceil(ms * SLOTS_PER_MS);
  }

  /**
   * Adds a timer.
   *
   * @param whenMs when it is due, in milliseconds of the clock that {@link #run} is given
   */
  Timer add(double whenMs, Runnable action) {
    Entry entry = new Entry(whenMs, timerCount++, action);
    if (slot(whenMs) - reached >= SLOTS) {
      beyondWheel.add(entry);
    } else {
      put(entry);
    }
    return entry;
  }

  private void put(Entry entry) {
    int at = (int) Math.max(slot(entry.whenMs), reached) & SLOTS - 1;
    if (entry.action == null) {
      return; // cancelled in the heap
    }
    if (slots[at] == null) {
      slots[at] = new ArrayList<>(INITIAL_SLOT_CAPACITY);
    }
    slots[at].add(entry);
    entry.slot = at;
    liveCount[at]++;
    occupied[at >> 6] |= 1L << at;
  }

  private void clear(int at) {
    slots[at] = null;
    liveCount[at] = 0;
    occupied[at >> 6] &= ~(1L << at);
  }

  /**
   * Runs all timers that are due, in the order of their times. Those that are added meanwhile for
   * now or before wait for the next turn.
   */
  void run(double nowMs, Runner runner) {
    long last = (long) Math.floor(nowMs * SLOTS_PER_MS);
    // a clock that jumps far advances in steps, so that no slot is met a round too early
    while (reached <= last) {
      while (!beyondWheel.isEmpty() && slot(beyondWheel.peek().whenMs) - reached < SLOTS) {
        put(beyondWheel.poll());
      }
      runTo(Math.min(last, reached + SLOTS / 2), runner);
    }
  }

  private void runTo(long upTo, Runner runner) {
    while (reached <= upTo) {
      int at = (int) reached & SLOTS - 1;
      if ((occupied[at >> 6] & 1L << at) == 0) {
        // skips the rest of a word without timers
        reached =
            occupied[at >> 6] >>> at == 0 ? Math.min((reached | 63) + 1, upTo + 1) : reached + 1;
        continue;
      }
      ArrayList<Entry> due = slots[at];
      clear(at);
      reached++;
      if (due.size() > 1) {
        due.sort(byDueTime);
      }
      for (int i = 0; i < due.size(); i++) {
        due.get(i).slot = NO_SLOT;
      }
      for (int i = 0; i < due.size(); i++) {
        Runnable action = due.get(i).action;
        due.get(i).action = null;
        if (action != null) {
          runner.run(action);
        }
      }
    }
  }

  /** A time in milliseconds before which no timer is due; infinity if there is none. */
  double nextDueMs() {
    double beyondMs = beyondWheel.isEmpty() ? Double.POSITIVE_INFINITY : beyondWheel.peek().whenMs;
    for (long word = reached >> 6; word <= reached + SLOTS - 1 >> 6; word++) {
      long bits = occupied[(int) word & occupied.length - 1];
      if (word == reached >> 6) {
        bits &= -1L << reached;
      }
      if (bits != 0) {
        return Math.min(
            beyondMs, (double) ((word << 6) + Long.numberOfTrailingZeros(bits)) / SLOTS_PER_MS);
      }
    }
    return beyondMs;
  }
}
