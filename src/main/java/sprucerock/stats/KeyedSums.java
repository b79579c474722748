package sprucerock.stats;

import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A decaying sum a key, for as many of the keys used last as it is told to hold. */
public final class KeyedSums {
  private final TimeSpan life;
  private final LinkedHashMap<Long, DecayingSum> sums;

  public KeyedSums(TimeSpan life, int most) {
    this.life = life;
    sums =
        new LinkedHashMap<>(64, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, DecayingSum> eldest) {
            return size() > most;
          }
        };
  }

  public void add(long key, Timestamp now, double amount) {
    sums.computeIfAbsent(key, k -> new DecayingSum(life)).add(now, amount);
  }

  public double perSecond(long key, Timestamp now) {
    DecayingSum sum = sums.get(key);
    return sum == null ? 0 : sum.perSecond(now);
  }
}
