package sprucerock.controller;

import java.util.List;
import sprucerock.controller.AppendResult.Announced;
import sprucerock.controller.AppendResult.Done;
import sprucerock.controller.AppendResult.NoEffect;
import sprucerock.controller.AppendResult.Value;
import sprucerock.controller.AppendResult.Voted;
import sprucerock.controller.AppendResult.WindowsOpened;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Applies log entries to the controller's state. It is deterministic: the same entries in the same
 * order give the same state, both in the incarnation that appended them and in every incarnation
 * that replays them.
 */
final class StateMachine {
  private final RolloutManager rollouts;
  private final DeploymentManager deployments;
  private final MaintenanceWindows maintenanceWindows;

  StateMachine(
      RolloutManager rollouts,
      DeploymentManager deployments,
      MaintenanceWindows maintenanceWindows) {
    this.rollouts = rollouts;
    this.deployments = deployments;
    this.maintenanceWindows = maintenanceWindows;
  }

  /**
   * Applies one entry at the timestamps that the entry carries.
   *
   * @throws IllegalArgumentException if a newer controller wrote an entry of an unknown kind
   */
  Value apply(Input entry) {
    Timestamp now = Timestamp.ofMs(entry.getAtMs());
    long wallMs = entry.getWallMs();
    Value value =
        switch (entry.getWhatCase()) {
          case ANNOUNCED, CAST, WORD, READY, DELIVERED -> applyToRollouts(entry, now, wallMs);
          case TICK -> {
            rollouts.tick(now, wallMs);
            deployments.tick(now, wallMs);
            MaintenanceCodec.apply(maintenanceWindows, entry);
            yield Done.INSTANCE;
          }
          case RESTARTED -> {
            long downMs = entry.getRestarted().getDownMs();
            rollouts.restarted(downMs, now, wallMs);
            deployments.controllerRestarted(TimeSpan.ofMs(Math.max(0, downMs)), now, wallMs);
            yield Done.INSTANCE;
          }
          case FREEZE, FREEZE_WORD, FREEZE_CLEARED, RACK, WORTH ->
              valueOf(MaintenanceCodec.apply(maintenanceWindows, entry));
          default -> Done.unless(DeploymentCodec.apply(deployments, entry));
        };
    shareRolloutState(now, wallMs);
    return value;
  }

  private Value applyToRollouts(Input entry, Timestamp now, long wallMs) {
    switch (entry.getWhatCase()) {
      case ANNOUNCED -> {
        var announced = entry.getAnnounced();
        return new Announced(
            rollouts.announceDelivery(
                announced.getDelivery(),
                announced.getBuild(),
                announced.getArtifact(),
                announced.getSource(),
                now,
                wallMs));
      }
      case CAST -> {
        var cast = entry.getCast();
        return new Voted(
            rollouts.castVote(
                cast.getRelay(),
                cast.getBuild(),
                cast.getStage(),
                RolloutManager.Vote.valueOf(cast.getSay()),
                now,
                wallMs));
      }
      case WORD -> {
        var command = entry.getWord();
        return Done.unless(
            rollouts.command(
                RolloutManager.OperatorCommand.valueOf(command.getAction()),
                command.getBuild(),
                command.getWho(),
                command.getReason(),
                now,
                wallMs));
      }
      case READY ->
          rollouts.reportEndpoints(
              entry.getReady().getBuild(), entry.getReady().getUnits(), now, wallMs);
      default -> rollouts.markWebhooksDelivered(entry.getDelivered().getSequence());
    }
    return Done.INSTANCE;
  }

  /** Informs deployments and maintenance windows whether a rollout is in progress. */
  private void shareRolloutState(Timestamp now, long wallMs) {
    Rollout.State state = rollouts.current.state;
    boolean inProgress =
        state == Rollout.State.STARTING
            || state == Rollout.State.ON_TRIAL
            || state == Rollout.State.GOING_BACK;
    // Relays that judge a build are not restarted while its rollout is in progress.
    if (inProgress != deployments.rolloutInProgress()) {
      deployments.setRolloutInProgress(inProgress, now, wallMs);
    }
    // Capacity checks don't count on the canary's endpoints when racks are to be taken down.
    maintenanceWindows.setCanaryShare(
        inProgress ? rollouts.fleetShare(rollouts.current) : 0,
        maintenanceWindows.advanceClock(wallMs));
  }

  /**
   * Converts the result of the maintenance codec: the numbers of new windows, the reason why a
   * command had no effect, or null.
   */
  private static Value valueOf(Object result) {
    if (result instanceof List<?> numbers) {
      return new WindowsOpened(numbers.stream().map(Long.class::cast).toList());
    }
    return result == null ? Done.INSTANCE : new NoEffect((String) result);
  }
}
