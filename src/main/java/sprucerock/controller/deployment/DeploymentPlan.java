package sprucerock.controller.deployment;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * How deployments proceed through a fleet, from the controller's configuration.
 *
 * @param stages the stages, whose shares of the relays grow to 1; the first stage updates one relay
 *     whatever its share
 * @param observationTime the minimum time for which a stage is observed after its relays are ready
 * @param progressDeadline a stage that makes no progress, or is not shown to be no worse, within
 *     this time is rolled back. A deployment that is held for this time is rolled back too, or
 *     given up if it has not begun. Validation ends after this time with the answers that have
 *     arrived
 * @param readyWithin an updated relay that is not ready within this time has failed
 * @param maxUnavailableShare the share of a zone's relays that may be unavailable at once; in each
 *     zone the plan allows at least one relay
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
   * A stage of a deployment.
   *
   * @param share the share of the relays that run the new version, over 0 and up to 1
   * @param maxLoss the loss that the comparison must rule out before the next stage, as a share of
   *     the priority weight that is answered in time; over 0 and under 1
   */
  public record Stage(double share, double maxLoss) {}

  /**
   * Checks the stages.
   *
   * @throws IllegalArgumentException if the shares don't grow to 1, or a loss is not over 0 and
   *     under 1
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
