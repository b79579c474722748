package sprucerock.policy.evidence;

import sprucerock.time.Timestamp;

/** Pace that the fleet lost since a release: how much slower, times the seconds that it lasted. */
public final class LostPace {
  private double seconds;
  private Timestamp asOf;

  /** Adds the time since the last update while the pace is lost; starts afresh where it isn't. */
  public void update(boolean lost, double pace, Timestamp now) {
    if (!lost) {
      seconds = 0;
    } else if (asOf != null) {
      seconds += pace * now.since(asOf).ms() / 1000;
    }
    asOf = now;
  }

  /** The logarithm of the slowdown, times seconds. */
  public double seconds() {
    return seconds;
  }
}
