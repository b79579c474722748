package sprucerock.controller;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentState;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.ChangeMemory;
import sprucerock.controller.v1.Input;
import sprucerock.time.Timestamp;

/** Between the fleet's changes and what is kept of them on disk. */
final class ChangeCodec {
  private ChangeCodec() {}

  /** What an input came to: an operator's refusal, or null. Those of releases do nothing here. */
  static Object apply(DeploymentManager core, Input input) {
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
        return core.word(
            DeploymentManager.Word.valueOf(input.getChangeWord().getWord()),
            input.getChangeWord().getChange(),
            input.getChangeWord().getWho(),
            input.getChangeWord().getReason(),
            now,
            wall);
      }
      case AGENT ->
          core.says(
              input.getAgent().getRelay(),
              input.getAgent().getZone(),
              input.getAgent().getBusy(),
              version(input.getAgent().getRuns()),
              input.getAgent().getReady(),
              input.getAgent().getDone(),
              now,
              wall);
      case SILENT -> core.silent(input.getSilent().getRelay(), now, wall);
      case FAILED ->
          core.failed(
              input.getFailed().getRelay(),
              version(input.getFailed().getVersion()),
              input.getFailed().getTurn(),
              input.getFailed().getHow(),
              now,
              wall);
      case CHECKED ->
          core.checked(
              input.getChecked().getRelay(),
              input.getChecked().getChange(),
              input.getChecked().getRefusal(),
              now,
              wall);
      case JUDGED ->
          core.judged(
              input.getJudged().getChange(),
              input.getJudged().getStage(),
              Verdict.valueOf(input.getJudged().getVerdict()),
              input.getJudged().getReason(),
              now,
              wall);
      case ROOM -> core.room(input.getRoom().getByZoneMap(), input.getRoom().getWhy(), now, wall);
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

  private static Timestamp moment(double ms) {
    return ms < 0 ? null : Timestamp.ofMs(ms);
  }

  static ChangeMemory write(DeploymentManager core) {
    DeploymentState memory = DeploymentState.of(core);
    ChangeMemory.Builder written =
        ChangeMemory.newBuilder()
            .setCurrent(version(memory.current()))
            .setSequence(memory.sequence())
            .setNumbers(memory.numbers())
            .setWeather(memory.weather())
            .setReleasing(memory.releasing())
            .putAllRooms(memory.rooms())
            .addAllControls(memory.controls());
    for (DeploymentState.OfRelay one : memory.relays()) {
      sprucerock.controller.v1.OfRelay.Builder relay =
          sprucerock.controller.v1.OfRelay.newBuilder()
              .setNumber(one.number())
              .setZone(one.zone())
              .setBusy(one.busy())
              .setRuns(version(one.runs()))
              .setReady(one.ready())
              .setSilentSinceMs(ms(one.silentSince()))
              .setTurn(one.turn())
              .setDone(one.done())
              .setToldAtMs(ms(one.toldAt()))
              .setReadyAtMs(ms(one.readyAt()));
      if (one.wanted() != null) {
        relay.setWanted(version(one.wanted()));
      }
      written.addRelays(relay);
    }
    for (DeploymentState.OfChange one : memory.changes()) {
      sprucerock.controller.v1.OfChange.Builder change =
          sprucerock.controller.v1.OfChange.newBuilder()
              .setNumber(one.number())
              .setWho(one.who())
              .setWhy(one.why())
              .setFrom(version(one.from()))
              .setTo(version(one.to()))
              .setState(one.state().name())
              .setStage(one.stage())
              .setSinceMs(ms(one.since()))
              .setProgressMs(ms(one.progress()))
              .setHeld(one.held())
              .addAllChecked(one.checked())
              .putAllRefused(one.refused())
              .addAllMoved(one.moved())
              .putAllBeside(one.beside())
              .setVerdict(one.verdict().name())
              .setLive(one.live());
      for (Deployment.Step step : one.steps()) {
        change.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setAtMs(Math.round(step.at().ms()))
                .setWallMs(step.wallMs())
                .setStanding(step.state().name())
                .setStage(step.stage())
                .setCause(step.cause()));
      }
      written.addChanges(change);
    }
    return written.build();
  }

  static void read(ChangeMemory written, DeploymentManager core) {
    List<DeploymentState.OfRelay> relays =
        written.getRelaysList().stream()
            .map(
                one ->
                    new DeploymentState.OfRelay(
                        one.getNumber(),
                        one.getZone(),
                        one.getBusy(),
                        version(one.getRuns()),
                        one.getReady(),
                        moment(one.getSilentSinceMs()),
                        one.hasWanted() ? version(one.getWanted()) : null,
                        one.getTurn(),
                        one.getDone(),
                        moment(one.getToldAtMs()),
                        moment(one.getReadyAtMs())))
            .toList();
    List<DeploymentState.OfChange> changes =
        written.getChangesList().stream()
            .map(
                one ->
                    new DeploymentState.OfChange(
                        one.getNumber(),
                        one.getWho(),
                        one.getWhy(),
                        version(one.getFrom()),
                        version(one.getTo()),
                        one.getLive(),
                        Deployment.State.valueOf(one.getState()),
                        one.getStage(),
                        moment(one.getSinceMs()),
                        moment(one.getProgressMs()),
                        one.getHeld(),
                        one.getCheckedList(),
                        sorted(one.getRefusedMap()),
                        one.getMovedList(),
                        ordered(one.getBesideMap(), one.getMovedList()),
                        Verdict.valueOf(one.getVerdict()),
                        one.getStepsList().stream()
                            .map(
                                step ->
                                    new Deployment.Step(
                                        step.getSequence(),
                                        Timestamp.ofMs(step.getAtMs()),
                                        step.getWallMs(),
                                        Deployment.State.valueOf(step.getStanding()),
                                        step.getStage(),
                                        step.getCause()))
                            .toList()))
            .toList();
    new DeploymentState(
            version(written.getCurrent()),
            written.getSequence(),
            written.getNumbers(),
            written.getWeather(),
            written.getReleasing(),
            written.getRoomsMap(),
            written.getControlsList(),
            relays,
            changes)
        .into(core);
  }

  private static <V> Map<Integer, V> sorted(Map<Integer, V> any) {
    return new java.util.TreeMap<>(any);
  }

  /** In the order in which they were moved: a map's own is nobody's. */
  private static Map<Integer, Integer> ordered(Map<Integer, Integer> beside, List<Integer> moved) {
    Map<Integer, Integer> found = new LinkedHashMap<>();
    for (int number : moved) {
      if (beside.containsKey(number)) {
        found.put(number, beside.get(number));
      }
    }
    return found;
  }
}
