package sprucerock.controller;

import java.util.TreeSet;
import sprucerock.controller.maintenance.AnnounceResult;
import sprucerock.controller.maintenance.MaintenanceRequest;
import sprucerock.controller.maintenance.MaintenanceState;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.FamiliesWorth;
import sprucerock.controller.v1.FreezeMemory;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.OfFreeze;
import sprucerock.hardware.HardwareModel;
import sprucerock.hardware.LeastSquaresFit;

/** Between maintenance windows and their records in the log and its snapshots ("freezes" there). */
final class MaintenanceCodec {
  private MaintenanceCodec() {}

  /** Applies a log entry: numbers of windows, why an operator's command was rejected, or null. */
  static Object apply(MaintenanceWindows core, Input input) {
    long now = core.advanceClock(input.getWallMs());
    switch (input.getWhatCase()) {
      case FREEZE -> {
        return announce(core, input.getFreeze(), now);
      }
      case FREEZE_WORD -> {
        var word = input.getFreezeWord();
        return switch (word.getWord()) {
          case "CALL_OFF" -> core.cancel(word.getFreeze(), word.getWho(), word.getReason(), now);
          case "EXTEND" ->
              core.extend(word.getFreeze(), word.getToMs(), word.getWho(), word.getReason(), now);
          case "FORCE" -> core.force(word.getFreeze(), word.getWho(), word.getReason(), now);
          default ->
              throw new IllegalArgumentException(
                  "a word about freezes of an unknown kind, written by a newer controller");
        };
      }
      case FREEZE_CLEARED -> core.permitsReturned(input.getFreezeCleared().getFreeze(), now);
      case WORTH -> {
        HardwareModel model = readModel(input.getWorth());
        return model == null || !core.updateModel(model, now)
            ? "it is none, or an older one"
            : null;
      }
      case RACK -> core.setRackDown(input.getRack().getRack(), input.getRack().getDown(), now);
      default -> core.tick(now);
    }
    return null;
  }

  private static Object announce(MaintenanceWindows core, FreezeWanted wanted, long now) {
    MaintenanceRequest request =
        new MaintenanceRequest(
            new TreeSet<>(wanted.getRacksList()),
            wanted.getFromMs(),
            wanted.getLastsMs(),
            wanted.getSlackMs(),
            wanted.getRule(),
            wanted.getZone(),
            wanted.getEmergency(),
            wanted.getWho(),
            wanted.getReason());
    AnnounceResult result = core.announce(request, now);
    return result instanceof AnnounceResult.Announced announced
        ? announced.windowNumbers()
        : ((AnnounceResult.Rejected) result).reason();
  }

  /** Null where it can't be one. */
  private static HardwareModel readModel(FamiliesWorth said) {
    int families = said.getFamiliesCount();
    int methods = said.getMethodsCount();
    int pairs = (methods + 1) * families * families;
    boolean can =
        families > 0
            && families <= LeastSquaresFit.MAX_FAMILIES
            && methods <= LeastSquaresFit.MAX_METHODS
            && said.getLogsCount() == pairs
            && said.getErrorsCount() == pairs
            && said.getCoresCount() == families
            && said.getCoresErrorsCount() == families
            && said.getFree() > 0;
    if (!can) {
      return null;
    }
    return HardwareModel.of(
        said.getNumber(),
        said.getWindow(),
        said.getFamiliesList(),
        said.getMethodsList(),
        said.getLogsList(),
        said.getErrorsList(),
        said.getCoresList(),
        said.getCoresErrorsList(),
        said.getFree());
  }

  private static FamiliesWorth writeModel(HardwareModel model) {
    FamiliesWorth.Builder said =
        FamiliesWorth.newBuilder()
            .setNumber(model.fencingToken())
            .setWindow(model.newestWindow())
            .addAllFamilies(model.families())
            .addAllMethods(model.methods())
            .setFree(model.degreesOfFreedom());
    model.forEachTimeRatio(time -> said.addLogs(time.logValue()).addErrors(time.standardError()));
    for (int family : model.families()) {
      said.addCores(model.concurrency(family).logValue())
          .addCoresErrors(model.concurrency(family).standardError());
    }
    return said.build();
  }

  static FreezeMemory write(MaintenanceWindows core) {
    MaintenanceState notes = MaintenanceState.capture(core);
    FreezeMemory.Builder written =
        FreezeMemory.newBuilder()
            .setSequence(notes.sequence())
            .setNumbers(notes.lastWindowNumber())
            .addAllDown(notes.downRacks())
            .setOnTrial(notes.canaryShare())
            .setNowMs(notes.nowMs());
    if (core.model() != null) {
      written.setWorth(writeModel(core.model()));
    }
    for (MaintenanceState.Window one : notes.windows()) {
      OfFreeze.Builder freeze =
          OfFreeze.newBuilder()
              .setNumber(one.number())
              .addAllRacks(one.racks())
              .setFromMs(one.startMs())
              .setToMs(one.endMs())
              .setSlackMs(one.slackMs())
              .setEmergency(one.emergency())
              .setSeries(one.series())
              .setWho(one.operator())
              .setWhy(one.reason())
              .setState(one.state().name())
              .setBoundSinceMs(one.bindingSinceMs())
              .addAllForcedBy(one.forcedBy());
      for (MaintenanceWindow.Step step : one.steps()) {
        freeze.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setWallMs(step.wallMs())
                .setStanding(step.state().name())
                .setCause(step.cause()));
      }
      written.addFreezes(freeze);
    }
    return written.build();
  }

  static void restore(FreezeMemory written, MaintenanceWindows core) {
    if (written.hasWorth()) {
      core.restoreModel(readModel(written.getWorth()));
    }
    new MaintenanceState(
            written.getSequence(),
            written.getNumbers(),
            written.getDownList(),
            written.getOnTrial(),
            written.getNowMs(),
            written.getFreezesList().stream()
                .map(
                    one ->
                        new MaintenanceState.Window(
                            one.getNumber(),
                            one.getRacksList(),
                            one.getFromMs(),
                            one.getToMs(),
                            one.getSlackMs(),
                            one.getEmergency(),
                            one.getSeries(),
                            one.getWho(),
                            one.getWhy(),
                            MaintenanceWindow.State.valueOf(one.getState()),
                            one.getBoundSinceMs(),
                            one.getForcedByList(),
                            one.getStepsList().stream()
                                .map(
                                    step ->
                                        new MaintenanceWindow.Step(
                                            step.getSequence(),
                                            step.getWallMs(),
                                            MaintenanceWindow.State.valueOf(step.getStanding()),
                                            step.getCause()))
                                .toList()))
                .toList())
        .restore(core);
  }
}
