package sprucerock.controller;

import java.util.Locale;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Ballot;
import sprucerock.controller.v1.Delivery;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Between the core and what is kept of it on disk: inputs are applied from their records, a state
 * is written and read.
 */
final class Codec {
  private Codec() {}

  /**
   * What an input came to, for whoever brought it: an {@code Answer}, a {@code Taken}, an
   * operator's refusal, or null.
   */
  static Object apply(
      RolloutManager core, DeploymentManager changes, MaintenanceWindows freezes, Input input) {
    Timestamp now = Timestamp.ofMs(input.getAtMs());
    long wall = input.getWallMs();
    Object answer =
        switch (input.getWhatCase()) {
          case ANNOUNCED ->
              core.announced(
                  input.getAnnounced().getDelivery(),
                  input.getAnnounced().getBuild(),
                  input.getAnnounced().getArtifact(),
                  input.getAnnounced().getSource(),
                  now,
                  wall);
          case CAST ->
              core.cast(
                  input.getCast().getRelay(),
                  input.getCast().getBuild(),
                  input.getCast().getStage(),
                  RolloutManager.Say.valueOf(input.getCast().getSay()),
                  now,
                  wall);
          case WORD ->
              core.word(
                  RolloutManager.Action.valueOf(input.getWord().getAction()),
                  input.getWord().getBuild(),
                  input.getWord().getWho(),
                  input.getWord().getReason(),
                  now,
                  wall);
          case READY -> {
            core.ready(input.getReady().getBuild(), input.getReady().getUnits(), now, wall);
            yield null;
          }
          case TICK -> {
            core.tick(now, wall);
            changes.tick(now, wall);
            MaintenanceCodec.apply(freezes, input);
            yield null;
          }
          case RESTARTED -> {
            core.restarted(input.getRestarted().getDownMs(), now, wall);
            changes.restarted(
                TimeSpan.ofMs(Math.max(0, input.getRestarted().getDownMs())), now, wall);
            yield null;
          }
          case DELIVERED -> {
            core.delivered(input.getDelivered().getSequence());
            yield null;
          }
          case FREEZE, FREEZE_WORD, FREEZE_CLEARED, RACK, WORTH ->
              MaintenanceCodec.apply(freezes, input);
          default -> ChangeCodec.apply(changes, input);
        };
    // relays that judge a build are not restarted meanwhile
    Rollout.Standing standing = core.present.standing;
    boolean releasing =
        standing == Rollout.Standing.STARTING
            || standing == Rollout.Standing.ON_TRIAL
            || standing == Rollout.Standing.GOING_BACK;
    if (releasing != changes.releasing()) {
      changes.releasing(releasing, now, wall);
    }
    // nor are its units counted on where racks are to be spared
    freezes.setCanaryShare(releasing ? core.share(core.present) : 0, freezes.advanceClock(wall));
    return answer;
  }

  static State write(
      RolloutManager core, DeploymentManager changes, MaintenanceWindows freezes, long atMs) {
    State.Builder state =
        State.newBuilder()
            .setAtMs(atMs)
            .setSequence(core.sequence)
            .setDelivered(core.delivered)
            .setPresent(core.present.build)
            .setEarlier(core.earlier)
            .setEpoch(core.epoch)
            .setChanges(ChangeCodec.write(changes))
            .setFreezes(MaintenanceCodec.write(freezes));
    for (Rollout one : core.releases.values()) {
      sprucerock.controller.v1.Release.Builder release =
          sprucerock.controller.v1.Release.newBuilder()
              .setBuild(one.build)
              .setArtifact(one.artifact)
              .setStanding(one.standing.name())
              .setStage(one.stage)
              .setSinceMs(ms(one.since))
              .setHeldMs((long) one.heldFor.ms())
              .setHeld(one.held)
              .setUnits(one.endpoints)
              .setClockRan(one.clockRan);
      if (one.clock != null) {
        release.setStageClockMs(ms(one.clock)).setHasClock(true);
      }
      if (one.held) {
        release.setHeldSinceMs(ms(one.heldSince));
      }
      if (one.clockStopped != null) {
        release.setClockStoppedMs(ms(one.clockStopped)).setHasClockStopped(true);
      }
      for (Rollout.Step step : one.steps()) {
        release.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setAtMs(ms(step.at()))
                .setWallMs(step.wallMs())
                .setStanding(step.standing().name())
                .setStage(step.stage())
                .setCause(step.cause()));
      }
      state.addReleases(release);
    }
    core.ballots.forEach(
        (relay, vote) -> {
          Ballot.Builder ballot =
              Ballot.newBuilder()
                  .setRelay(relay)
                  .setBuild(vote.build)
                  .setStage(vote.stage)
                  .setSay(vote.say.name())
                  .setInSecond(vote.inSecond);
          if (vote.until != null) {
            ballot.setUntilMs(ms(vote.until));
          }
          if (vote.second != null) {
            ballot.setSecondMs(ms(vote.second));
          }
          state.addBallots(ballot);
        });
    for (RolloutManager.Delivery one : core.deliveries.values()) {
      state.addDeliveries(
          Delivery.newBuilder()
              .setId(one.id())
              .setAtMs(ms(one.at()))
              .setAnswer(one.answer().name())
              .setContent(one.content()));
    }
    return state.build();
  }

  private static long ms(Timestamp moment) {
    return Math.round(moment.ms());
  }

  static void read(
      State state, RolloutManager core, DeploymentManager changes, MaintenanceWindows freezes) {
    MaintenanceCodec.read(state.getFreezes(), freezes);
    ChangeCodec.read(state.getChanges(), changes);
    core.releases.clear();
    core.sequence = state.getSequence();
    core.delivered = state.getDelivered();
    core.earlier = state.getEarlier();
    core.epoch = state.getEpoch();
    for (sprucerock.controller.v1.Release one : state.getReleasesList()) {
      Rollout release =
          new Rollout(one.getBuild(), one.getArtifact(), Timestamp.ofMs(one.getSinceMs()));
      release.standing = Rollout.Standing.valueOf(one.getStanding().toUpperCase(Locale.ROOT));
      release.stage = one.getStage();
      release.heldFor = TimeSpan.ofMs(one.getHeldMs());
      release.held = one.getHeld();
      release.endpoints = one.getUnits();
      release.clockRan = one.getClockRan();
      if (one.getHasClock()) {
        release.clock = Timestamp.ofMs(one.getStageClockMs());
      }
      if (one.getHeld()) {
        release.heldSince = Timestamp.ofMs(one.getHeldSinceMs());
      }
      if (one.getHasClockStopped()) {
        release.clockStopped = Timestamp.ofMs(one.getClockStoppedMs());
      }
      for (sprucerock.controller.v1.Step step : one.getStepsList()) {
        release.add(
            new Rollout.Step(
                step.getSequence(),
                Timestamp.ofMs(step.getAtMs()),
                step.getWallMs(),
                Rollout.Standing.valueOf(step.getStanding()),
                step.getStage(),
                step.getCause()));
      }
      core.releases.put(release.build, release);
    }
    core.present = core.releases.get(state.getPresent());
    for (Ballot one : state.getBallotsList()) {
      RolloutManager.Ballot vote = new RolloutManager.Ballot(one.getRelay());
      vote.build = one.getBuild();
      vote.stage = one.getStage();
      vote.say = RolloutManager.Say.valueOf(one.getSay());
      vote.until = Timestamp.ofMs(one.getUntilMs());
      vote.second = Timestamp.ofMs(one.getSecondMs());
      vote.inSecond = one.getInSecond();
      core.ballots.put(one.getRelay(), vote);
    }
    core.known();
    for (Delivery one : state.getDeliveriesList()) {
      core.deliveries.put(
          one.getId(),
          new RolloutManager.Delivery(
              one.getId(),
              Timestamp.ofMs(one.getAtMs()),
              RolloutManager.Answer.valueOf(one.getAnswer()),
              one.getContent()));
    }
  }
}
