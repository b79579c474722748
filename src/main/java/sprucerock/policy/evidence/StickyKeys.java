package sprucerock.policy.evidence;

import java.util.HashSet;
import java.util.Set;

/** The keys that the canary answered at this relay, and the traffic share reserved for them. */
public final class StickyKeys {
  private final Set<Long> keys = new HashSet<>();
  private double reservedShare;

  /** Adds a key whose request the canary answered. */
  public void add(long key) {
    keys.add(key);
  }

  /** Whether the key must stay with the canary. */
  public boolean contains(long key) {
    return keys.contains(key);
  }

  /** Forgets the keys; their reserved share is not released. */
  public void clear() {
    keys.clear();
  }

  /** The share of all requests, from 0 to 1, that is reserved for the keys of this trial. */
  public double reservedShare() {
    return reservedShare;
  }

  /** Adds the share of a key that may become sticky. */
  public void reserve(double moreShare) {
    reservedShare += moreShare;
  }
}
