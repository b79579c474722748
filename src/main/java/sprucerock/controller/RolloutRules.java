package sprucerock.controller;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The configured rules of rollouts.
 *
 * @param votesToAdvance the number of relays whose votes advance a stage
 * @param votesToPause the number of relays whose votes pause the clock
 * @param votesToRollBack the number of relays whose votes roll a build back
 * @param voteValidity how long a vote counts
 * @param minStageTime the least time of a stage once its endpoints are ready
 * @param clockedStageTime the time of a stage under the clock
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
  /** The share of the fleet's endpoints that run the build, and the exposure cap. */
  public record Stage(double share, double exposureCap) {}

  /**
   * What lets a build advance: the votes of a configured number of relays, the votes of more than
   * half of the relays, or the clock.
   */
  public enum Control {
    SINGLE,
    MAJORITY,
    CLOCKED
  }
}
