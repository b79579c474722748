package sprucerock.policy.evidence;

import sprucerock.time.Timestamp;

/**
 * The slowdown of the fleet since a release: the integral over time of the slowdown's logarithm,
 * from when the present slowdown began.
 */
public final class LostPace {
  private double logSlowdownSeconds;
  private Timestamp updatedAt;

  /**
   * Adds the present slowdown for the time since the last update.
   *
   * @param slowed whether the fleet is slower than before; resets the sum if it is not
   * @param logSlowdown the logarithm of the slowdown
   */
  public void update(boolean slowed, double logSlowdown, Timestamp now) {
    if (!slowed) {
      logSlowdownSeconds = 0;
    } else if (updatedAt != null) {
      logSlowdownSeconds += logSlowdown * now.since(updatedAt).ms() / 1000;
    }
    updatedAt = now;
  }

  /** The sum of the logarithm of the slowdown times its duration in seconds. */
  public double logSlowdownSeconds() {
    return logSlowdownSeconds;
  }
}
