package sprucerock.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stands where acts land: of each lease the highest number that acted, below which none acts any
 * more. It holds whatever clocks do, and needs no word with granters. It forgets with its process;
 * then time alone guards, for one term.
 */
public final class FencingTokenRegistry {
  /** Names that are remembered; beyond, the one that acted longest ago is forgotten. */
  public static final int MAX_LEASES = 1024;

  private final Map<String, Long> highest = new LinkedHashMap<>(16, 0.75f, true);
  private long rejectedCount;

  /** Whether an act under that number may be done; it is then the highest. */
  public boolean admits(String name, long number) {
    Long known = highest.get(name);
    if (known != null && number < known) {
      rejectedCount++;
      return false;
    }
    highest.put(name, number);
    if (highest.size() > MAX_LEASES) {
      Iterator<String> oldest = highest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return true;
  }

  /** The highest that acted; 0: none is known. */
  public long highest(String name) {
    return highest.getOrDefault(name, 0L);
  }

  /** Acts that were refused so far. */
  public long rejectedCount() {
    return rejectedCount;
  }
}
