package sprucerock.policy.evidence;

import sprucerock.time.Timestamp;

/**
 * The state of the investigation of a baseline slowdown during one canary trial. It only holds the
 * state; the policy decides on transitions.
 */
public final class Slowdown {
  private Timestamp slowSince;
  private Timestamp pausedAt;
  private Timestamp resumedAt;
  private boolean canaryCleared;
  private int blameCount;

  /** When the baseline became slow; null while it is not. */
  public Timestamp slowSince() {
    return slowSince;
  }

  /** When shadow requests were paused; null while they are not. */
  public Timestamp pausedAt() {
    return pausedAt;
  }

  /**
   * When shadow requests last resumed because the baseline had recovered; null if they never did.
   */
  public Timestamp resumedAt() {
    return resumedAt;
  }

  /** Whether the baseline stayed slow without shadow requests, so the canary is not to blame. */
  public boolean isCanaryCleared() {
    return canaryCleared;
  }

  /** How often the baseline became slow again soon after shadow requests resumed. */
  public int blameCount() {
    return blameCount;
  }

  /** Records that the baseline became slow. */
  public void begin(Timestamp now) {
    slowSince = now;
  }

  /** Ends the slowdown; the next one is investigated anew. */
  public void end() {
    slowSince = null;
    canaryCleared = false;
  }

  /** Begins a new stage. A pause, and whether the canary is cleared, carry over to the stage. */
  public void enterStage() {
    slowSince = null;
  }

  /** Pauses shadow requests, to see whether the baseline recovers. */
  public void pause(Timestamp now) {
    pausedAt = now;
  }

  /** Resumes shadow requests after the baseline recovered. */
  public void resume(Timestamp now) {
    pausedAt = null;
    resumedAt = now;
  }

  /** Resumes shadow requests and clears the canary, as the baseline did not recover in time. */
  public void clearCanary() {
    pausedAt = null;
    canaryCleared = true;
  }

  /** Counts that the baseline became slow again soon after shadow requests resumed. */
  public void blameCanary() {
    blameCount++;
  }
}
