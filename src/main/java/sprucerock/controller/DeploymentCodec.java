package sprucerock.controller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentSnapshot;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.ChangeMemory;
import sprucerock.controller.v1.Input;
import sprucerock.time.Timestamp;

/** Between the fleet's changes and what is kept of them on disk. */
final class DeploymentCodec {
  private DeploymentCodec() {}

  /**
   * Applies an entry about deployments; why it had no effect, or null.
   *
   * @throws IllegalArgumentException if its kind is not known here
   */
  static String apply(DeploymentManager core, Input input) {
    Timestamp now = Timestamp.ofMs(input.getAtMs());
    long wall = input.getWallMs();
    switch (input.getWhatCase()) {
      case PROPOSED -> {
        return core.propose(
            input.getProposed().getWho(),
            input.getProposed().getWhy(),
            version(input.getProposed().getVersion()),
            input.getProposed().getLive(),
            now,
            wall);
      }
      case CHANGE_WORD -> {
        return core.command(
            DeploymentManager.OperatorCommand.valueOf(input.getChangeWord().getWord()),
            input.getChangeWord().getChange(),
            input.getChangeWord().getWho(),
            input.getChangeWord().getReason(),
            now,
            wall);
      }
      case AGENT ->
          core.reportStatus(
              input.getAgent().getRelay(),
              input.getAgent().getZone(),
              input.getAgent().getBusy(),
              version(input.getAgent().getRuns()),
              input.getAgent().getReady(),
              input.getAgent().getDone(),
              now,
              wall);
      case SILENT -> core.reportUnreachable(input.getSilent().getRelay(), now, wall);
      case FAILED ->
          core.reportFailure(
              input.getFailed().getRelay(),
              version(input.getFailed().getVersion()),
              input.getFailed().getTurn(),
              input.getFailed().getHow(),
              now,
              wall);
      case CHECKED ->
          core.reportValidation(
              input.getChecked().getRelay(),
              input.getChecked().getChange(),
              input.getChecked().getRefusal(),
              now,
              wall);
      case JUDGED ->
          core.reportVerdict(
              input.getJudged().getChange(),
              input.getJudged().getStage(),
              Verdict.valueOf(input.getJudged().getVerdict()),
              input.getJudged().getReason(),
              now,
              wall);
      case ROOM ->
          core.setRestartBudget(
              input.getRoom().getByZoneMap(), input.getRoom().getWhy(), now, wall);
      case TICK -> core.tick(now, wall);
      default ->
          throw new IllegalArgumentException(
              "an input of an unknown kind, written by a newer controller");
    }
    return null;
  }

  private static Version version(sprucerock.controller.v1.Version written) {
    return new Version(written.getProgram(), written.getSettings());
  }

  static sprucerock.controller.v1.Version version(Version version) {
    return sprucerock.controller.v1.Version.newBuilder()
        .setProgram(version.program())
        .setSettings(version.settings())
        .build();
  }

  private static double ms(Timestamp moment) {
    return moment == null ? -1 : moment.ms(); // the controller's time begins at 0
  }

  private static Timestamp timestamp(double ms) {
    return ms < 0 ? null : Timestamp.ofMs(ms);
  }

  static ChangeMemory write(DeploymentManager core) {
    DeploymentSnapshot memory = DeploymentSnapshot.of(core);
    ChangeMemory.Builder written =
        ChangeMemory.newBuilder()
            .setCurrent(version(memory.currentVersion()))
            .setSequence(memory.sequence())
            .setNumbers(memory.lastDeploymentNumber())
            .setWeather(memory.blockedReason())
            .setReleasing(memory.rolloutInProgress())
            .putAllRooms(memory.restartBudgetByZone())
            .addAllControls(memory.pendingControlRestarts());
    for (DeploymentSnapshot.RelayRecord one : memory.relays()) {
      sprucerock.controller.v1.OfRelay.Builder relay =
          sprucerock.controller.v1.OfRelay.newBuilder()
              .setNumber(one.number())
              .setZone(one.zone())
              .setBusy(one.busy())
              .setRuns(version(one.observedVersion()))
              .setReady(one.ready())
              .setSilentSinceMs(ms(one.unreachableSince()))
              .setTurn(one.generation())
              .setDone(one.observedGeneration())
              .setToldAtMs(ms(one.notifiedAt()))
              .setReadyAtMs(ms(one.readyAt()));
      if (one.desiredVersion() != null) {
        relay.setWanted(version(one.desiredVersion()));
      }
      written.addRelays(relay);
    }
    for (DeploymentSnapshot.DeploymentRecord one : memory.deployments()) {
      sprucerock.controller.v1.OfChange.Builder change =
          sprucerock.controller.v1.OfChange.newBuilder()
              .setNumber(one.number())
              .setWho(one.proposedBy())
              .setWhy(one.reason())
              .setFrom(version(one.fromVersion()))
              .setTo(version(one.toVersion()))
              .setState(one.state().name())
              .setStage(one.stage())
              .setSinceMs(ms(one.stateSince()))
              .setProgressMs(ms(one.lastProgress()))
              .setHeld(one.held())
              .addAllChecked(one.validated())
              .putAllRefused(one.rejections())
              .addAllMoved(one.updated())
              .putAllBeside(one.controls())
              .setVerdict(one.verdict().name())
              .setLive(one.hotReload());
      for (Deployment.Transition step : one.transitions()) {
        change.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setAtMs(Math.round(step.timestamp().ms()))
                .setWallMs(step.wallMs())
                .setStanding(step.state().name())
                .setStage(step.stage())
                .setCause(step.cause()));
      }
      written.addChanges(change);
    }
    return written.build();
  }

  static void restore(ChangeMemory written, DeploymentManager core) {
    List<DeploymentSnapshot.RelayRecord> relays =
        written.getRelaysList().stream()
            .map(
                one ->
                    new DeploymentSnapshot.RelayRecord(
                        one.getNumber(),
                        one.getZone(),
                        one.getBusy(),
                        version(one.getRuns()),
                        one.getReady(),
                        timestamp(one.getSilentSinceMs()),
                        one.hasWanted() ? version(one.getWanted()) : null,
                        one.getTurn(),
                        one.getDone(),
                        timestamp(one.getToldAtMs()),
                        timestamp(one.getReadyAtMs())))
            .toList();
    List<DeploymentSnapshot.DeploymentRecord> changes =
        written.getChangesList().stream()
            .map(
                one ->
                    new DeploymentSnapshot.DeploymentRecord(
                        one.getNumber(),
                        one.getWho(),
                        one.getWhy(),
                        version(one.getFrom()),
                        version(one.getTo()),
                        one.getLive(),
                        Deployment.State.valueOf(one.getState()),
                        one.getStage(),
                        timestamp(one.getSinceMs()),
                        timestamp(one.getProgressMs()),
                        one.getHeld(),
                        one.getCheckedList(),
                        sorted(one.getRefusedMap()),
                        one.getMovedList(),
                        inUpdateOrder(one.getBesideMap(), one.getMovedList()),
                        Verdict.valueOf(one.getVerdict()),
                        one.getStepsList().stream()
                            .map(
                                step ->
                                    new Deployment.Transition(
                                        step.getSequence(),
                                        Timestamp.ofMs(step.getAtMs()),
                                        step.getWallMs(),
                                        Deployment.State.valueOf(step.getStanding()),
                                        step.getStage(),
                                        step.getCause()))
                            .toList()))
            .toList();
    new DeploymentSnapshot(
            version(written.getCurrent()),
            written.getSequence(),
            written.getNumbers(),
            written.getWeather(),
            written.getReleasing(),
            written.getRoomsMap(),
            written.getControlsList(),
            relays,
            changes)
        .restore(core);
  }

  private static <V> Map<Integer, V> sorted(Map<Integer, V> any) {
    return new java.util.TreeMap<>(any);
  }

  /** In the order in which they were moved: a map's own is nobody's. */
  private static Map<Integer, Integer> inUpdateOrder(
      Map<Integer, Integer> beside, List<Integer> moved) {
    Map<Integer, Integer> found = new LinkedHashMap<>();
    for (int number : moved) {
      if (beside.containsKey(number)) {
        found.put(number, beside.get(number));
      }
    }
    return found;
  }
}
