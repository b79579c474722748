package sprucerock.controller;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The configured rules of rollouts.
 *
 * @param votesToAdvance the number of relays whose votes advance a stage
 * @param votesToPause the number of relays whose votes pause the stage clock
 * @param votesToRollBack the number of relays whose votes roll a build back
 * @param voteValidity how long a vote counts
 * @param minStageTime the minimum duration of a stage once its endpoints are ready
 * @param clockedStageTime the duration of a stage under {@link Control#CLOCKED}
 * @param startTimeout the time after which a build whose endpoints are not ready is rolled back
 * @param rollbackTime how long relays are notified of a rollback before the build is withdrawn
 * @param observationTime how long votes can still roll back a released build
 * @param maxVotesPerSecond the limit for one relay; further votes are rejected
 */
public record RolloutRules(
    List<Stage> stages,
    Control control,
    int votesToAdvance,
    int votesToPause,
    int votesToRollBack,
    TimeSpan voteValidity,
    TimeSpan minStageTime,
    TimeSpan clockedStageTime,
    TimeSpan startTimeout,
    TimeSpan rollbackTime,
    TimeSpan observationTime,
    int maxVotesPerSecond) {
  /**
   * A stage of a rollout.
   *
   * @param share the share of the fleet's endpoints that run the build
   * @param exposureCap the largest share of attempts that relays may send to the build
   */
  public record Stage(double share, double exposureCap) {}

  /** What lets a build advance. */
  public enum Control {
    /** The votes of {@code votesToAdvance} relays. */
    SINGLE,
    /** The same here; {@code votesToAdvance} is meant to be more than half of the relays. */
    MAJORITY,
    /** The stage clock; relays may pause it. */
    CLOCKED
  }
}
