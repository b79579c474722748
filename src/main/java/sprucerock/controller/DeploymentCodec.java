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

/** Converts deployments to and from their stored form, where a deployment is a "change". */
final class DeploymentCodec {
  private DeploymentCodec() {}

  /**
   * Applies a log entry about deployments.
   *
   * @return the reason why the entry had no effect, or null if it had one
   * @throws IllegalArgumentException if a newer controller wrote an entry of an unknown kind
   */
  static String apply(DeploymentManager manager, Input input) {
    Timestamp now = Timestamp.ofMs(input.getAtMs());
    long wallMs = input.getWallMs();
    switch (input.getWhatCase()) {
      case PROPOSED -> {
        return manager.propose(
            input.getProposed().getWho(),
            input.getProposed().getWhy(),
            version(input.getProposed().getVersion()),
            input.getProposed().getLive(),
            now,
            wallMs);
      }
      case CHANGE_WORD -> {
        return manager.command(
            DeploymentManager.OperatorCommand.valueOf(input.getChangeWord().getWord()),
            input.getChangeWord().getChange(),
            input.getChangeWord().getWho(),
            input.getChangeWord().getReason(),
            now,
            wallMs);
      }
      case AGENT ->
          manager.reportStatus(
              input.getAgent().getRelay(),
              input.getAgent().getZone(),
              input.getAgent().getBusy(),
              version(input.getAgent().getRuns()),
              input.getAgent().getReady(),
              input.getAgent().getDone(),
              now,
              wallMs);
      case SILENT -> manager.reportUnreachable(input.getSilent().getRelay(), now, wallMs);
      case FAILED ->
          manager.reportFailure(
              input.getFailed().getRelay(),
              version(input.getFailed().getVersion()),
              input.getFailed().getTurn(),
              input.getFailed().getHow(),
              now,
              wallMs);
      case CHECKED ->
          manager.reportValidation(
              input.getChecked().getRelay(),
              input.getChecked().getChange(),
              input.getChecked().getRefusal(),
              now,
              wallMs);
      case JUDGED ->
          manager.reportVerdict(
              input.getJudged().getChange(),
              input.getJudged().getStage(),
              Verdict.valueOf(input.getJudged().getVerdict()),
              input.getJudged().getReason(),
              now,
              wallMs);
      case ROOM ->
          manager.setRestartBudget(
              input.getRoom().getByZoneMap(), input.getRoom().getWhy(), now, wallMs);
      case TICK -> manager.tick(now, wallMs);
      default ->
          throw new IllegalArgumentException(
              "unknown kind of log entry; start the newer controller version that wrote it");
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

  /** Returns -1 for null, as the controller's time begins at 0. */
  private static double ms(Timestamp timestamp) {
    return timestamp == null ? -1 : timestamp.ms();
  }

  private static Timestamp timestamp(double ms) {
    return ms < 0 ? null : Timestamp.ofMs(ms);
  }

  static ChangeMemory write(DeploymentManager manager) {
    DeploymentSnapshot snapshot = DeploymentSnapshot.of(manager);
    ChangeMemory.Builder written =
        ChangeMemory.newBuilder()
            .setCurrent(version(snapshot.currentVersion()))
            .setSequence(snapshot.sequence())
            .setNumbers(snapshot.lastDeploymentNumber())
            .setWeather(snapshot.blockedReason())
            .setReleasing(snapshot.rolloutInProgress())
            .putAllRooms(snapshot.restartBudgetByZone())
            .addAllControls(snapshot.pendingControlRestarts());
    for (DeploymentSnapshot.RelayRecord relay : snapshot.relays()) {
      sprucerock.controller.v1.OfRelay.Builder stored =
          sprucerock.controller.v1.OfRelay.newBuilder()
              .setNumber(relay.number())
              .setZone(relay.zone())
              .setBusy(relay.busy())
              .setRuns(version(relay.observedVersion()))
              .setReady(relay.ready())
              .setSilentSinceMs(ms(relay.unreachableSince()))
              .setTurn(relay.generation())
              .setDone(relay.observedGeneration())
              .setToldAtMs(ms(relay.notifiedAt()))
              .setReadyAtMs(ms(relay.readyAt()));
      if (relay.desiredVersion() != null) {
        stored.setWanted(version(relay.desiredVersion()));
      }
      written.addRelays(stored);
    }
    for (DeploymentSnapshot.DeploymentRecord deployment : snapshot.deployments()) {
      sprucerock.controller.v1.OfChange.Builder stored =
          sprucerock.controller.v1.OfChange.newBuilder()
              .setNumber(deployment.number())
              .setWho(deployment.proposedBy())
              .setWhy(deployment.reason())
              .setFrom(version(deployment.fromVersion()))
              .setTo(version(deployment.toVersion()))
              .setState(deployment.state().name())
              .setStage(deployment.stage())
              .setSinceMs(ms(deployment.stateSince()))
              .setProgressMs(ms(deployment.lastProgress()))
              .setHeld(deployment.held())
              .addAllChecked(deployment.validated())
              .putAllRefused(deployment.rejections())
              .addAllMoved(deployment.updated())
              .putAllBeside(deployment.controls())
              .setVerdict(deployment.verdict().name())
              .setLive(deployment.hotReload());
      for (Deployment.Transition transition : deployment.transitions()) {
        stored.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(transition.sequence())
                .setAtMs(Math.round(transition.timestamp().ms()))
                .setWallMs(transition.wallMs())
                .setStanding(transition.state().name())
                .setStage(transition.stage())
                .setCause(transition.cause()));
      }
      written.addChanges(stored);
    }
    return written.build();
  }

  static void restore(ChangeMemory written, DeploymentManager manager) {
    List<DeploymentSnapshot.RelayRecord> relays =
        written.getRelaysList().stream()
            .map(
                relay ->
                    new DeploymentSnapshot.RelayRecord(
                        relay.getNumber(),
                        relay.getZone(),
                        relay.getBusy(),
                        version(relay.getRuns()),
                        relay.getReady(),
                        timestamp(relay.getSilentSinceMs()),
                        relay.hasWanted() ? version(relay.getWanted()) : null,
                        relay.getTurn(),
                        relay.getDone(),
                        timestamp(relay.getToldAtMs()),
                        timestamp(relay.getReadyAtMs())))
            .toList();
    List<DeploymentSnapshot.DeploymentRecord> deployments =
        written.getChangesList().stream()
            .map(
                deployment ->
                    new DeploymentSnapshot.DeploymentRecord(
                        deployment.getNumber(),
                        deployment.getWho(),
                        deployment.getWhy(),
                        version(deployment.getFrom()),
                        version(deployment.getTo()),
                        deployment.getLive(),
                        Deployment.State.valueOf(deployment.getState()),
                        deployment.getStage(),
                        timestamp(deployment.getSinceMs()),
                        timestamp(deployment.getProgressMs()),
                        deployment.getHeld(),
                        deployment.getCheckedList(),
                        sorted(deployment.getRefusedMap()),
                        deployment.getMovedList(),
                        inUpdateOrder(deployment.getBesideMap(), deployment.getMovedList()),
                        Verdict.valueOf(deployment.getVerdict()),
                        deployment.getStepsList().stream()
                            .map(
                                transition ->
                                    new Deployment.Transition(
                                        transition.getSequence(),
                                        Timestamp.ofMs(transition.getAtMs()),
                                        transition.getWallMs(),
                                        Deployment.State.valueOf(transition.getStanding()),
                                        transition.getStage(),
                                        transition.getCause()))
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
            deployments)
        .restore(manager);
  }

  private static <V> Map<Integer, V> sorted(Map<Integer, V> map) {
    return new java.util.TreeMap<>(map);
  }

  /**
   * Orders pairs of updated relay and control by the time of the update; a protobuf map has no
   * order.
   */
  private static Map<Integer, Integer> inUpdateOrder(
      Map<Integer, Integer> controls, List<Integer> updated) {
    Map<Integer, Integer> ordered = new LinkedHashMap<>();
    for (int relay : updated) {
      if (controls.containsKey(relay)) {
        ordered.put(relay, controls.get(relay));
      }
    }
    return ordered;
  }
}
