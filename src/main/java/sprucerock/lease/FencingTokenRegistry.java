package sprucerock.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The highest fencing token of each lease, kept by a process that receives acts of lease holders.
 * It rejects acts under lower tokens without relying on clocks or grantors. The tokens are kept in
 * memory only: for one term after the process restarts, only the holders' clocks prevent acts of
 * former holders. Not thread-safe.
 */
public final class FencingTokenRegistry {
  /** The largest number of leases. Beyond it the least recently used lease is forgotten. */
  public static final int MAX_LEASES = 1024;

  private final Map<String, Long> highestTokens = new LinkedHashMap<>(16, 0.75f, true);
  private long rejectedCount;

  /**
   * Returns whether an act under a token may be done. If so, records the token as the lease's
   * highest.
   */
  public boolean admits(String name, long token) {
    Long highestSeen = highestTokens.get(name);
    if (highestSeen != null && token < highestSeen) {
      rejectedCount++;
      return false;
    }
    highestTokens.put(name, token);
    if (highestTokens.size() > MAX_LEASES) {
      Iterator<String> oldest = highestTokens.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return true;
  }

  /** Returns the highest token that acted under a lease; 0: none is known. */
  public long highestToken(String name) {
    return highestTokens.getOrDefault(name, 0L);
  }

  /** Returns the number of acts rejected so far. */
  public long rejectedCount() {
    return rejectedCount;
  }
}
