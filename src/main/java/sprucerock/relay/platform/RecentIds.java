package sprucerock.relay.platform;

/**
 * Remembers the ids of requests that were sent on, as fingerprints of 64 bits: at least the last
 * {@link #GENERATION_IDS}, at most twice as many. Guards against an id that is sent on a second
 * time after its client has left. Its memory is fixed. Confined to the loop thread.
 */
final class RecentIds {
  /** Some minutes of the largest rate of one relay. */
  static final int GENERATION_IDS = 1 << 14;

  private static final int SLOTS = 2 * GENERATION_IDS;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX = 0xff51afd7ed558ccdL;
  private static final long EMPTY = 0;

  private final long seed;
  private long[] newer = new long[SLOTS];
  private long[] older = new long[SLOTS];
  private int newerCount;

  /** {@code seed}: so that nobody can make two ids of one fingerprint. */
  RecentIds(long seed) {
    this.seed = seed;
  }

  /** Remembers an id. */
  void add(String id) {
    long fingerprint = fingerprint(id);
    int slot = find(newer, fingerprint);
    if (newer[slot] == fingerprint) {
      return;
    }
    if (newerCount == GENERATION_IDS) {
      older = newer;
      newer = new long[SLOTS];
      newerCount = 0;
      slot = find(newer, fingerprint);
    }
    newer[slot] = fingerprint;
    newerCount++;
  }

  /** Whether an id is remembered. */
  boolean contains(String id) {
    long fingerprint = fingerprint(id);
    return newer[find(newer, fingerprint)] == fingerprint
        || older[find(older, fingerprint)] == fingerprint;
  }

  /** The slot that holds a fingerprint, or the empty one where it belongs. */
  private static int find(long[] slots, long fingerprint) {
    int slot = (int) fingerprint & SLOTS - 1;
    while (slots[slot] != EMPTY && slots[slot] != fingerprint) {
      slot = slot + 1 & SLOTS - 1;
    }
    return slot;
  }

  private long fingerprint(String id) {
    long hash = seed;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ hash >>> 33) * MIX;
    hash ^= hash >>> 33;
    return hash == EMPTY ? 1 : hash;
  }
}
