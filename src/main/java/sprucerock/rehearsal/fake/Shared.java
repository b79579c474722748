package sprucerock.rehearsal.fake;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What all units of a day share: what they depend on, and the memory by which they drop repeats.
 */
public final class Shared {
  private static final int TOKENS = 200_000;

  private final DecayingSum begun = new DecayingSum(TimeSpan.ofMs(2000));
  private final DecayingSum dragging = new DecayingSum(TimeSpan.ofMs(2000));
  private final Map<Integer, Double> methodSlow = new HashMap<>();
  private final LinkedHashMap<Long, Timestamp> tokens =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Timestamp> eldest) {
          return size() > TOKENS;
        }
      };
  private double slow = 1;
  private double drag = 1;

  /** Something that all depend on is this much slower; 1: it is well. */
  public void slow(double times) {
    slow = times;
  }

  /** The same for what one method needs. */
  public void slow(int method, double times) {
    methodSlow.put(method, times);
  }

  void begins(BuildFault fault, Timestamp now) {
    begun.add(now, 1);
    if (fault.what() == BuildFault.What.SLOWS_ALL) {
      dragging.add(now, 1);
    }
  }

  /**
   * How much slower work is that begins now: a build that slows all does so in step with its share
   * of the work.
   */
  double slowness(int method, Timestamp now) {
    double dragged =
        1 + (drag - 1) * Math.min(1, 2 * dragging.at(now) / Math.max(begun.at(now), 1));
    return slow * methodSlow.getOrDefault(method, 1.0) * dragged;
  }

  /**
   * A build that slows all is about; {@code times} as slow as it makes them at half of the work or
   * more.
   */
  public void drag(double times) {
    drag = times;
  }

  /**
   * Notes a tokened effect; false where the token had its effect within the window, so that it is a
   * repeat.
   */
  boolean firstEffect(long token, TimeSpan window, Timestamp now) {
    Timestamp before = tokens.get(token);
    if (before != null && !now.since(before).over(window)) {
      return false;
    }
    tokens.put(token, now);
    return true;
  }
}
