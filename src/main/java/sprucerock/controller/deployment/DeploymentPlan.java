package sprucerock.controller.deployment;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * How deployments proceed through a fleet, from the controller's configuration.
 *
 * @param stages the stages, whose shares of the relays grow to 1; the first stage updates one relay
 *     whatever its share
 * @param observationTime how long a stage is observed at least once its relays are ready
 * @param progressDeadline a stage that is not shown to be no worse within this time is rolled back;
 *     so is a stage that is held for this time
 * @param readyWithin an updated relay that is not ready within this time has failed
 * @param maxUnavailableShare the share of a zone's relays that may be unavailable at once; the plan
 *     always allows one relay
 * @param maxRejectedShare the share of relays that may reject a version before the deployment is
 *     given up; below it, only these relays are skipped
 * @param unreachableAfter an agent that has not reported for this time is unreachable
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
   * @param share the share of the relays that run the new version, over 0 and up to 1
   * @param maxLoss the loss of priority weight answered in time, between 0 and 1, that must be
   *     ruled out before the next stage
   */
  public record Stage(double share, double maxLoss) {}

  /**
   * Checks the stages.
   *
   * @throws IllegalArgumentException if the shares don't grow to 1, or a loss is not between 0 and
   *     1
   */
  public DeploymentPlan {
    double previousShare = 0;
    for (Stage stage : stages) {
      if (!(stage.share > previousShare && stage.share <= 1)) {
        throw new IllegalArgumentException(
            "the share of a stage must be over that of the stage before and at most 1, but is "
                + stage.share
                + " after "
                + previousShare);
      }
      if (!(stage.maxLoss > 0 && stage.maxLoss < 1)) {
        throw new IllegalArgumentException(
            "the harm to rule out lies between 0 and 1, not at " + stage.maxLoss);
      }
      previousShare = stage.share;
    }
    if (previousShare != 1) {
      throw new IllegalArgumentException(
          "the last stage of a change is the whole fleet, not " + previousShare + " of it");
    }
    stages = List.copyOf(stages);
  }
}
