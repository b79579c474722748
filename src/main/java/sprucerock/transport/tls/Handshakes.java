package sprucerock.transport.tls;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * How many handshakes a relay begins: so many a second in all and at one unit, and so many under
 * way. It guards units that restart or rotate, and the relay itself, against storms of handshakes,
 * whatever sets them off. What finds no room waits in a bounded line, first come first served; who
 * waits too long or finds the line full is turned away. No I/O; one thread.
 */
public final class Handshakes {
  /**
   * Limits: handshakes a second and under way at a time, in all; at one unit a second; how many may
   * wait.
   */
  public record Most(int aSecond, int atOnce, int aSecondEach, int waiting) {}

  /** One that wants to begin. */
  private record Wish(Object peer, Runnable begin, Runnable refused, Timestamp until) {}

  private final Most most;
  private final Map<Object, Room> peers = new HashMap<>();
  private final ArrayDeque<Wish> line = new ArrayDeque<>();
  private final Room all;
  private int underWay;

  /** A bucket that fills at a rate. */
  private static final class Room {
    private final double perSecond;
    private double tokens;
    private Timestamp at;

    Room(int perSecond, Timestamp now) {
      this.perSecond = perSecond;
      tokens = Math.max(1, perSecond / 10.0); // a tenth of a second's worth at once
      at = now;
    }

    boolean has(Timestamp now) {
      tokens =
          Math.min(Math.max(1, perSecond / 10), tokens + perSecond * now.since(at).ms() / 1000);
      at = now;
      return tokens >= 1 - 1e-9;
    }

    boolean full() {
      return tokens >= Math.max(1, perSecond / 10) - 1e-9;
    }

    TimeSpan untilNext() {
      return TimeSpan.ofMs(Math.max(0, 1 - tokens) * 1000 / perSecond);
    }
  }

  public Handshakes(Most most, Timestamp now) {
    this.most = most;
    all = new Room(most.aSecond, now);
  }

  /**
   * Begins now, or once there is room, or is refused: at once where the line is full, at {@code
   * until} where none came.
   */
  public void want(Object peer, Timestamp now, Timestamp until, Runnable begin, Runnable refused) {
    if (line.isEmpty() && take(peer, now)) {
      begin.run();
    } else if (line.size() >= most.waiting) {
      refused.run();
    } else {
      line.add(new Wish(peer, begin, refused, until));
    }
  }

  private boolean take(Object peer, Timestamp now) {
    Room own = peers.computeIfAbsent(peer, key -> new Room(most.aSecondEach, now));
    if (underWay >= most.atOnce || !all.has(now) || !own.has(now)) {
      return false;
    }
    all.tokens--;
    own.tokens--;
    underWay++;
    return true;
  }

  /** One that had begun is over, whichever way. */
  public void over() {
    underWay--;
  }

  /**
   * Lets those begin that there is room for now. Those of one unit that has had its share don't
   * hold up others.
   */
  public void pass(Timestamp now) {
    peers.values().removeIf(room -> room.has(now) && room.full());
    for (int i = line.size(); i > 0; i--) {
      Wish wish = line.poll();
      if (!wish.until.after(now)) {
        wish.refused.run();
      } else if (take(wish.peer, now)) {
        wish.begin.run();
      } else {
        line.add(wish); // a whole round keeps the order
      }
    }
  }

  /** When to pass next; null: nobody waits. */
  public Timestamp next(Timestamp now) {
    if (line.isEmpty()) {
      return null;
    }
    return now.plus(all.untilNext().atLeast(TimeSpan.ofMs(5)).atMost(TimeSpan.ofMs(100)));
  }

  public int waiting() {
    return line.size();
  }

  public int underWay() {
    return underWay;
  }

  /**
   * When each of many is moved over within a time: spread by lot, so that no two fleets move in
   * step.
   */
  public static TimeSpan turn(TimeSpan within, DeterministicRandom chance) {
    return within.times(chance.next());
  }
}
