package sprucerock.transport.net.nio;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.PriorityQueue;
import sprucerock.transport.net.Timers.Timer;

/**
 * What is to be done later, in slots of an eighth of a millisecond. A relay keeps several timers an
 * RPC for seconds, and nearly all are moot when they come due: in a heap each would cost its depth
 * twice, here it is put in and taken out once. Nothing runs early, and nothing more than a slot
 * late on its account.
 */
final class TimerWheel {
  private static final int PER_MS = 8;
  private static final int SLOTS =
      1 << 16; // eight seconds, beyond most deadlines; later ones wait in a heap

  /** One thing to be done. */
  private final class Entry implements Timer {
    private final double whenMs;
    private final long order;
    private Runnable what;
    private int slot = -1; // none while it waits in the heap

    Entry(double whenMs, long order, Runnable what) {
      this.whenMs = whenMs;
      this.order = order;
      this.what = what;
    }

    @Override
    public void cancel() {
      if (what == null) {
        return;
      }
      what = null; // its place goes when its time comes; what it held goes now
      // a slot in which nothing is left to do must not wake the loop: most timers are cancelled
      if (slot >= 0 && --live[slot] == 0) {
        empty(slot);
      }
    }
  }

  private final Comparator<Entry> inTime =
      (a, b) -> {
        int byTime = Double.compare(a.whenMs, b.whenMs);
        return byTime != 0 ? byTime : Long.compare(a.order, b.order);
      };

  /** Runs one thing that is due. */
  interface Runner {
    void run(Runnable what);
  }

  @SuppressWarnings("unchecked")
  private final ArrayList<Entry>[] slots = new ArrayList[SLOTS];

  private final long[] filled = new long[SLOTS / 64];
  private final int[] live = new int[SLOTS];
  private final PriorityQueue<Entry> later = new PriorityQueue<>(inTime);
  private long reached; // all slots before this one are empty
  private long made;

  private static long slot(double ms) {
    return (long) Math.ceil(ms * PER_MS);
  }

  Timer add(double whenMs, Runnable what) {
    Entry entry = new Entry(whenMs, made++, what);
    if (slot(whenMs) - reached >= SLOTS) {
      later.add(entry);
    } else {
      put(entry);
    }
    return entry;
  }

  private void put(Entry entry) {
    int at = (int) Math.max(slot(entry.whenMs), reached) & SLOTS - 1;
    if (entry.what == null) {
      return; // cancelled in the heap
    }
    if (slots[at] == null) {
      slots[at] = new ArrayList<>(4);
    }
    slots[at].add(entry);
    entry.slot = at;
    live[at]++;
    filled[at >> 6] |= 1L << at;
  }

  private void empty(int at) {
    slots[at] = null;
    live[at] = 0;
    filled[at >> 6] &= ~(1L << at);
  }

  /**
   * Runs all that is due, in the order of their times; what is added meanwhile for now or before
   * waits for the next turn.
   */
  void run(double nowMs, Runner runner) {
    long last = (long) Math.floor(nowMs * PER_MS);
    while (reached
        <= last) { // a clock that jumps far goes round in steps, so that no slot is met a turn too
      // early
      while (!later.isEmpty() && slot(later.peek().whenMs) - reached < SLOTS) {
        put(later.poll());
      }
      runTo(Math.min(last, reached + SLOTS / 2), runner);
    }
  }

  private void runTo(long upTo, Runner runner) {
    while (reached <= upTo) {
      int at = (int) reached & SLOTS - 1;
      if ((filled[at >> 6] & 1L << at) == 0) {
        // skips the rest of a word that is empty
        reached =
            filled[at >> 6] >>> at == 0 ? Math.min((reached | 63) + 1, upTo + 1) : reached + 1;
        continue;
      }
      ArrayList<Entry> due = slots[at];
      empty(at);
      reached++;
      if (due.size() > 1) {
        due.sort(inTime);
      }
      for (int i = 0; i < due.size(); i++) {
        due.get(i).slot = -1;
      }
      for (int i = 0; i < due.size(); i++) {
        Runnable what = due.get(i).what;
        due.get(i).what = null;
        if (what != null) {
          runner.run(what);
        }
      }
    }
  }

  /** When the next thing is due, at the earliest; infinity where there is none. */
  double next() {
    double beyond = later.isEmpty() ? Double.POSITIVE_INFINITY : later.peek().whenMs;
    for (long word = reached >> 6; word <= reached + SLOTS - 1 >> 6; word++) {
      long bits = filled[(int) word & filled.length - 1];
      if (word == reached >> 6) {
        bits &= -1L << reached;
      }
      if (bits != 0) {
        return Math.min(beyond, (double) ((word << 6) + Long.numberOfTrailingZeros(bits)) / PER_MS);
      }
    }
    return beyond;
  }
}
