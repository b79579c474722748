package sprucerock.policy.evidence;

import java.util.HashSet;
import java.util.Set;

/** Keys that the canary has answered here, and the share of the traffic that they brought. */
public final class StickyKeys {
  private final Set<Long> keys = new HashSet<>();
  private double share;

  /** The canary answered a request with this key. */
  public void add(long key) {
    keys.add(key);
  }

  /** Whether the key stays with the canary. */
  public boolean contains(long key) {
    return keys.contains(key);
  }

  /** Forgets the keys; the share that was reserved for them is not given back. */
  public void clear() {
    keys.clear();
  }

  /** The share of all requests, 0 to 1, that was reserved so far. */
  public double share() {
    return share;
  }

  /** Adds the share of a key that may stick from now on. */
  public void reserve(double moreShare) {
    share += moreShare;
  }
}
