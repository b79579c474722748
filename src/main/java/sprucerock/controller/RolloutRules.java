package sprucerock.controller;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * What a deployment's configuration says of its releases.
 *
 * @param on relays that must stand for going on; {@code hold}: that stop the clock; {@code back}:
 *     that send a build back
 * @param least a stage lasts at least so long once its units are there
 * @param step how long a stage lasts under the clock
 * @param startWithin after which a build whose units are not there goes back
 * @param goingBack how long a build that goes back is told as such before it is withdrawn
 * @param watch how long votes still send a released build back
 * @param votesASecond of one relay; further ones are too many
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
  /** The share of the fleet's places that get the build, and the cap on its exposure. */
  public record Stage(double share, double exposureCap) {}

  /**
   * Whose votes let a build go on: a stated number of relays, more than half of those that stand,
   * or the clock's.
   */
  public enum Control {
    SINGLE,
    MAJORITY,
    CLOCKED
  }
}
