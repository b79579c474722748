package sprucerock.controller;

import java.util.Locale;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Ballot;
import sprucerock.controller.v1.Delivery;
import sprucerock.controller.v1.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Converts rollouts, deployments and maintenance windows to and from a stored snapshot. */
final class SnapshotCodec {
  private SnapshotCodec() {}

  static State writeSnapshot(
      RolloutManager rollouts,
      DeploymentManager deployments,
      MaintenanceWindows maintenanceWindows,
      long atMs) {
    State.Builder state =
        State.newBuilder()
            .setAtMs(atMs)
            .setSequence(rollouts.sequence)
            .setDelivered(rollouts.webhooksDeliveredUpTo)
            .setPresent(rollouts.current.build)
            .setEarlier(rollouts.previousBuild)
            .setEpoch(rollouts.epoch)
            .setChanges(DeploymentCodec.write(deployments))
            .setFreezes(MaintenanceCodec.write(maintenanceWindows));
    for (Rollout rollout : rollouts.rolloutsByBuild.values()) {
      sprucerock.controller.v1.Release.Builder stored =
          sprucerock.controller.v1.Release.newBuilder()
              .setBuild(rollout.build)
              .setArtifact(rollout.artifact)
              .setStanding(rollout.state.name())
              .setStage(rollout.stage)
              .setSinceMs(ms(rollout.since))
              .setHeldMs((long) rollout.pausedTime.ms())
              .setHeld(rollout.heldByOperator)
              .setUnits(rollout.readyEndpoints)
              .setClockRan(rollout.clockRunning);
      if (rollout.clockStart != null) {
        stored.setStageClockMs(ms(rollout.clockStart)).setHasClock(true);
      }
      if (rollout.heldByOperator) {
        stored.setHeldSinceMs(ms(rollout.heldSince));
      }
      if (rollout.clockUpdatedAt != null) {
        stored.setClockStoppedMs(ms(rollout.clockUpdatedAt)).setHasClockStopped(true);
      }
      for (Rollout.Transition transition : rollout.transitions()) {
        stored.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(transition.sequence())
                .setAtMs(ms(transition.time()))
                .setWallMs(transition.wallMs())
                .setStanding(transition.state().name())
                .setStage(transition.stage())
                .setCause(transition.cause()));
      }
      state.addReleases(stored);
    }
    rollouts.ballots.ballots.forEach(
        (relay, ballot) -> {
          Ballot.Builder stored =
              Ballot.newBuilder()
                  .setRelay(relay)
                  .setBuild(ballot.build)
                  .setStage(ballot.stage)
                  .setSay(ballot.vote.name())
                  .setInSecond(ballot.votesInWindow);
          if (ballot.expiresAt != null) {
            stored.setUntilMs(ms(ballot.expiresAt));
          }
          if (ballot.rateWindowStart != null) {
            stored.setSecondMs(ms(ballot.rateWindowStart));
          }
          state.addBallots(stored);
        });
    for (DeliveryLog.Delivery delivery : rollouts.deliveries.deliveries.values()) {
      state.addDeliveries(
          Delivery.newBuilder()
              .setId(delivery.id())
              .setAtMs(ms(delivery.receivedAt()))
              .setAnswer(delivery.result().name())
              .setContent(delivery.content()));
    }
    return state.build();
  }

  private static long ms(Timestamp timestamp) {
    return Math.round(timestamp.ms());
  }

  static void restoreSnapshot(
      State state,
      RolloutManager rollouts,
      DeploymentManager deployments,
      MaintenanceWindows maintenanceWindows) {
    MaintenanceCodec.restore(state.getFreezes(), maintenanceWindows);
    DeploymentCodec.restore(state.getChanges(), deployments);
    rollouts.rolloutsByBuild.clear();
    rollouts.sequence = state.getSequence();
    rollouts.webhooksDeliveredUpTo = state.getDelivered();
    rollouts.previousBuild = state.getEarlier();
    rollouts.epoch = state.getEpoch();
    for (sprucerock.controller.v1.Release stored : state.getReleasesList()) {
      Rollout rollout =
          new Rollout(stored.getBuild(), stored.getArtifact(), Timestamp.ofMs(stored.getSinceMs()));
      rollout.state = Rollout.State.valueOf(stored.getStanding().toUpperCase(Locale.ROOT));
      rollout.stage = stored.getStage();
      rollout.pausedTime = TimeSpan.ofMs(stored.getHeldMs());
      rollout.heldByOperator = stored.getHeld();
      rollout.readyEndpoints = stored.getUnits();
      rollout.clockRunning = stored.getClockRan();
      if (stored.getHasClock()) {
        rollout.clockStart = Timestamp.ofMs(stored.getStageClockMs());
      }
      if (stored.getHeld()) {
        rollout.heldSince = Timestamp.ofMs(stored.getHeldSinceMs());
      }
      if (stored.getHasClockStopped()) {
        rollout.clockUpdatedAt = Timestamp.ofMs(stored.getClockStoppedMs());
      }
      for (sprucerock.controller.v1.Step transition : stored.getStepsList()) {
        rollout.addTransition(
            new Rollout.Transition(
                transition.getSequence(),
                Timestamp.ofMs(transition.getAtMs()),
                transition.getWallMs(),
                Rollout.State.valueOf(transition.getStanding()),
                transition.getStage(),
                transition.getCause()));
      }
      rollouts.rolloutsByBuild.put(rollout.build, rollout);
    }
    rollouts.current = rollouts.rolloutsByBuild.get(state.getPresent());
    for (Ballot stored : state.getBallotsList()) {
      BallotBox.Ballot ballot = new BallotBox.Ballot(stored.getRelay());
      ballot.build = stored.getBuild();
      ballot.stage = stored.getStage();
      ballot.vote = RolloutManager.Vote.valueOf(stored.getSay());
      ballot.expiresAt = Timestamp.ofMs(stored.getUntilMs());
      ballot.rateWindowStart = Timestamp.ofMs(stored.getSecondMs());
      ballot.votesInWindow = stored.getInSecond();
      rollouts.ballots.ballots.put(stored.getRelay(), ballot);
    }
    rollouts.restoreVotes();
    for (Delivery stored : state.getDeliveriesList()) {
      rollouts.deliveries.deliveries.put(
          stored.getId(),
          new DeliveryLog.Delivery(
              stored.getId(),
              Timestamp.ofMs(stored.getAtMs()),
              RolloutManager.AnnouncementResult.valueOf(stored.getAnswer()),
              stored.getContent()));
    }
  }
}
