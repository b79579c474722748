package sprucerock.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * At the place where acts land: the highest fencing token of each lease that acted there, below
 * which none acts any more. It holds whatever clocks do, and never asks the grantors. It is lost
 * with its process; then time alone guards, for one term. Not thread-safe.
 */
public final class FencingTokenRegistry {
  /** Leases that are remembered; beyond, the one that acted longest ago is forgotten. */
  public static final int MAX_LEASES = 1024;

  private final Map<String, Long> highestTokens = new LinkedHashMap<>(16, 0.75f, true);
  private long rejectedCount;

  /** Whether an act under that token may be done; it is then the highest. */
  public boolean admits(String name, long token) {
    Long known = highestTokens.get(name);
    if (known != null && token < known) {
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

  /** The highest token that acted; 0: none is known. */
  public long highestToken(String name) {
    return highestTokens.getOrDefault(name, 0L);
  }

  /** Acts that were rejected so far. */
  public long rejectedCount() {
    return rejectedCount;
  }
}
