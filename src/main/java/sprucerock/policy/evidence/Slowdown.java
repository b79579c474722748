package sprucerock.policy.evidence;

import sprucerock.time.Timestamp;

/**
 * How far a slowdown of the baseline has been looked into while one canary is on trial. It holds
 * the facts; the policy decides when one state follows another.
 */
public final class Slowdown {
  private Timestamp slowSince;
  private Timestamp pausedAt;
  private Timestamp resumedAt;
  private boolean canaryCleared;
  private int blameCount;

  /** Since when the baseline is slow; null where it isn't. */
  public Timestamp slowSince() {
    return slowSince;
  }

  /** When shadow requests were stopped for it; null while they go on. */
  public Timestamp pausedAt() {
    return pausedAt;
  }

  /** When they went on last, as the pace came back; null before the first time. */
  public Timestamp resumedAt() {
    return resumedAt;
  }

  /** The pace stayed bad without shadow requests, so the canary isn't to blame. */
  public boolean isCanaryCleared() {
    return canaryCleared;
  }

  /** How often the baseline was slow again soon after shadow requests went on. */
  public int blameCount() {
    return blameCount;
  }

  /** The baseline got slow. */
  public void begin(Timestamp now) {
    slowSince = now;
  }

  /** The pace is good, so that the next slowdown counts afresh. */
  public void end() {
    slowSince = null;
    canaryCleared = false;
  }

  /** A new stage begins; whether it is paused or excused holds on. */
  public void enterStage() {
    slowSince = null;
  }

  /** Shadow requests stop, to see whether the pace comes back. */
  public void pause(Timestamp now) {
    pausedAt = now;
  }

  /** The pace came back, so shadow requests go on. */
  public void resume(Timestamp now) {
    pausedAt = null;
    resumedAt = now;
  }

  /** The pace did not come back in time: shadow requests go on, and the canary is excused. */
  public void clearCanary() {
    pausedAt = null;
    canaryCleared = true;
  }

  /** The baseline got slow again soon after shadow requests went on. */
  public void blameCanary() {
    blameCount++;
  }
}
