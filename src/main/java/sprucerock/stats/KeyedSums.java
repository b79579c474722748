package sprucerock.stats;

import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A decaying sum for each of the most recently used keys, bounded in number. */
public final class KeyedSums {
  private final TimeSpan decayTime;
  private final LinkedHashMap<Long, DecayingSum> sums;

  /**
   * Creates sums without keys.
   *
   * @param decayTime the time in which a term's weight falls to 1/e
   * @param maxKeys the maximum number of keys; the least recently used one is removed first
   */
  public KeyedSums(TimeSpan decayTime, int maxKeys) {
    this.decayTime = decayTime;
    sums =
        new LinkedHashMap<>(64, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, DecayingSum> eldest) {
            return size() > maxKeys;
          }
        };
  }

  /** Adds a term to the key's sum. */
  public void add(long key, Timestamp now, double amount) {
    sums.computeIfAbsent(key, k -> new DecayingSum(decayTime)).add(now, amount);
  }

  /** The key's rate per second; 0 if the key is unknown. */
  public double perSecond(long key, Timestamp now) {
    DecayingSum sum = sums.get(key);
    return sum == null ? 0 : sum.perSecond(now);
  }
}
