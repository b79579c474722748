package sprucerock.controller.deployment;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * How deployments go through a fleet, from its configuration.
 *
 * @param stages the shares of the relays that run the new version, growing to 1; the first stage is
 *     one relay whatever its share
 * @param watch a stage is observed at least so long once its relays are ready
 * @param patience a stage that is not known to be no worse by then goes back; so does one that is
 *     held for so long
 * @param readyWithin a relay that is told to change and is not ready by then has failed
 * @param out the share of a zone's relays that may be out at once where there is room for more than
 *     one
 * @param refused the share of relays that may refuse a version before it is given up; these are
 *     left out
 * @param silent an agent not heard for so long is not there
 */
public record DeploymentPlan(
    List<Stage> stages,
    TimeSpan observationTime,
    TimeSpan progressDeadline,
    TimeSpan readyWithin,
    double maxUnavailableShare,
    double maxRejectedShare,
    TimeSpan unreachableAfter) {
  /**
   * A stage.
   *
   * @param share of the relays, over 0 and up to 1
   * @param maxLoss the loss of weight served in time, between 0 and 1, that has to be ruled out
   *     before the next stage
   */
  public record Stage(double share, double maxLoss) {}

  /**
   * Checks the stages.
   *
   * @throws IllegalArgumentException if the stages do not grow to 1
   */
  public DeploymentPlan {
    double before = 0;
    for (Stage stage : stages) {
      if (!(stage.share > before && stage.share <= 1)) {
        throw new IllegalArgumentException(
            "stages of a change grow, and none is over 1: " + stage.share + " after " + before);
      }
      if (!(stage.maxLoss > 0 && stage.maxLoss < 1)) {
        throw new IllegalArgumentException(
            "the harm to rule out lies between 0 and 1, not at " + stage.maxLoss);
      }
      before = stage.share;
    }
    if (before != 1) {
      throw new IllegalArgumentException(
          "the last stage of a change is the whole fleet, not " + before + " of it");
    }
    stages = List.copyOf(stages);
  }
}
