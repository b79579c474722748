package sprucerock.policy.evidence;

import sprucerock.time.Timestamp;

/** Pace that the fleet lost since a release: how much slower, times the seconds that it lasted. */
public final class LostPace {
  private double lostLogSeconds;
  private Timestamp updatedAt;

  /** Adds the time since the last update while the pace is lost; starts afresh where it isn't. */
  public void update(boolean lost, double pace, Timestamp now) {
    if (!lost) {
      lostLogSeconds = 0;
    } else if (updatedAt != null) {
      lostLogSeconds += pace * now.since(updatedAt).ms() / 1000;
    }
    updatedAt = now;
  }

  /** The logarithm of the slowdown, times seconds. */
  public double lostLogSeconds() {
    return lostLogSeconds;
  }
}
