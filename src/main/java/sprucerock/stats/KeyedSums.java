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
   * Holds no keys yet.
   *
   * @param life the time in which a term's weight falls to 1/e
   * @param maxKeys how many keys are held; the least recently used one goes first
   */
  public KeyedSums(TimeSpan life, int maxKeys) {
    this.decayTime = life;
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

  /** The key's rate a second; 0 where it isn't held. */
  public double perSecond(long key, Timestamp now) {
    DecayingSum sum = sums.get(key);
    return sum == null ? 0 : sum.perSecond(now);
  }
}
