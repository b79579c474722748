package sprucerock.controller;

import java.util.Locale;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Ballot;
import sprucerock.controller.v1.Delivery;
import sprucerock.controller.v1.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The state of rollouts, deployments and maintenance windows as it is written to a snapshot, and
 * back.
 */
final class SnapshotCodec {
  private SnapshotCodec() {}

  static State writeSnapshot(
      RolloutManager core, DeploymentManager deployments, MaintenanceWindows freezes, long atMs) {
    State.Builder state =
        State.newBuilder()
            .setAtMs(atMs)
            .setSequence(core.sequence)
            .setDelivered(core.webhooksDeliveredUpTo)
            .setPresent(core.current.build)
            .setEarlier(core.previousBuild)
            .setEpoch(core.epoch)
            .setChanges(DeploymentCodec.write(deployments))
            .setFreezes(MaintenanceCodec.write(freezes));
    for (Rollout one : core.rolloutsByBuild.values()) {
      sprucerock.controller.v1.Release.Builder release =
          sprucerock.controller.v1.Release.newBuilder()
              .setBuild(one.build)
              .setArtifact(one.artifact)
              .setStanding(one.state.name())
              .setStage(one.stage)
              .setSinceMs(ms(one.since))
              .setHeldMs((long) one.pausedTime.ms())
              .setHeld(one.heldByOperator)
              .setUnits(one.readyEndpoints)
              .setClockRan(one.clockRunning);
      if (one.clockStart != null) {
        release.setStageClockMs(ms(one.clockStart)).setHasClock(true);
      }
      if (one.heldByOperator) {
        release.setHeldSinceMs(ms(one.heldSince));
      }
      if (one.clockUpdatedAt != null) {
        release.setClockStoppedMs(ms(one.clockUpdatedAt)).setHasClockStopped(true);
      }
      for (Rollout.Transition step : one.transitions()) {
        release.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setAtMs(ms(step.time()))
                .setWallMs(step.wallMs())
                .setStanding(step.state().name())
                .setStage(step.stage())
                .setCause(step.cause()));
      }
      state.addReleases(release);
    }
    core.ballots.ballots.forEach(
        (relay, vote) -> {
          Ballot.Builder ballot =
              Ballot.newBuilder()
                  .setRelay(relay)
                  .setBuild(vote.build)
                  .setStage(vote.stage)
                  .setSay(vote.vote.name())
                  .setInSecond(vote.votesInWindow);
          if (vote.expiresAt != null) {
            ballot.setUntilMs(ms(vote.expiresAt));
          }
          if (vote.rateWindowStart != null) {
            ballot.setSecondMs(ms(vote.rateWindowStart));
          }
          state.addBallots(ballot);
        });
    for (DeliveryLog.Delivery one : core.deliveries.deliveries.values()) {
      state.addDeliveries(
          Delivery.newBuilder()
              .setId(one.id())
              .setAtMs(ms(one.receivedAt()))
              .setAnswer(one.result().name())
              .setContent(one.content()));
    }
    return state.build();
  }

  private static long ms(Timestamp moment) {
    return Math.round(moment.ms());
  }

  static void restoreSnapshot(
      State state, RolloutManager core, DeploymentManager deployments, MaintenanceWindows freezes) {
    MaintenanceCodec.restore(state.getFreezes(), freezes);
    DeploymentCodec.restore(state.getChanges(), deployments);
    core.rolloutsByBuild.clear();
    core.sequence = state.getSequence();
    core.webhooksDeliveredUpTo = state.getDelivered();
    core.previousBuild = state.getEarlier();
    core.epoch = state.getEpoch();
    for (sprucerock.controller.v1.Release one : state.getReleasesList()) {
      Rollout release =
          new Rollout(one.getBuild(), one.getArtifact(), Timestamp.ofMs(one.getSinceMs()));
      release.state = Rollout.State.valueOf(one.getStanding().toUpperCase(Locale.ROOT));
      release.stage = one.getStage();
      release.pausedTime = TimeSpan.ofMs(one.getHeldMs());
      release.heldByOperator = one.getHeld();
      release.readyEndpoints = one.getUnits();
      release.clockRunning = one.getClockRan();
      if (one.getHasClock()) {
        release.clockStart = Timestamp.ofMs(one.getStageClockMs());
      }
      if (one.getHeld()) {
        release.heldSince = Timestamp.ofMs(one.getHeldSinceMs());
      }
      if (one.getHasClockStopped()) {
        release.clockUpdatedAt = Timestamp.ofMs(one.getClockStoppedMs());
      }
      for (sprucerock.controller.v1.Step step : one.getStepsList()) {
        release.addTransition(
            new Rollout.Transition(
                step.getSequence(),
                Timestamp.ofMs(step.getAtMs()),
                step.getWallMs(),
                Rollout.State.valueOf(step.getStanding()),
                step.getStage(),
                step.getCause()));
      }
      core.rolloutsByBuild.put(release.build, release);
    }
    core.current = core.rolloutsByBuild.get(state.getPresent());
    for (Ballot one : state.getBallotsList()) {
      BallotBox.Ballot vote = new BallotBox.Ballot(one.getRelay());
      vote.build = one.getBuild();
      vote.stage = one.getStage();
      vote.vote = RolloutManager.Vote.valueOf(one.getSay());
      vote.expiresAt = Timestamp.ofMs(one.getUntilMs());
      vote.rateWindowStart = Timestamp.ofMs(one.getSecondMs());
      vote.votesInWindow = one.getInSecond();
      core.ballots.ballots.put(one.getRelay(), vote);
    }
    core.restoreVotes();
    for (Delivery one : state.getDeliveriesList()) {
      core.deliveries.deliveries.put(
          one.getId(),
          new DeliveryLog.Delivery(
              one.getId(),
              Timestamp.ofMs(one.getAtMs()),
              RolloutManager.AnnouncementResult.valueOf(one.getAnswer()),
              one.getContent()));
    }
  }
}
