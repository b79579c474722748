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

/** Converts maintenance windows to and from their stored form, where a window is a "freeze". */
final class MaintenanceCodec {
  private MaintenanceCodec() {}

  /**
   * Applies a log entry about maintenance windows.
   *
   * @return the numbers of new windows, the reason why a command had no effect, or null
   * @throws IllegalArgumentException if a newer controller wrote an unknown command
   */
  static Object apply(MaintenanceWindows windows, Input input) {
    long now = windows.advanceClock(input.getWallMs());
    switch (input.getWhatCase()) {
      case FREEZE -> {
        return announce(windows, input.getFreeze(), now);
      }
      case FREEZE_WORD -> {
        var command = input.getFreezeWord();
        return switch (command.getWord()) {
          case "CALL_OFF" ->
              windows.cancel(command.getFreeze(), command.getWho(), command.getReason(), now);
          case "EXTEND" ->
              windows.extend(
                  command.getFreeze(),
                  command.getToMs(),
                  command.getWho(),
                  command.getReason(),
                  now);
          case "FORCE" ->
              windows.force(command.getFreeze(), command.getWho(), command.getReason(), now);
          default ->
              throw new IllegalArgumentException(
                  "unknown command on maintenance windows;"
                      + " start the newer controller version that wrote it");
        };
      }
      case FREEZE_CLEARED -> windows.permitsReturned(input.getFreezeCleared().getFreeze(), now);
      case WORTH -> {
        HardwareModel model = readModel(input.getWorth());
        return model == null || !windows.updateModel(model, now)
            ? "the hardware model is malformed, or not newer than the current one"
            : null;
      }
      case RACK -> windows.setRackDown(input.getRack().getRack(), input.getRack().getDown(), now);
      default -> windows.tick(now);
    }
    return null;
  }

  private static Object announce(MaintenanceWindows windows, FreezeWanted stored, long now) {
    MaintenanceRequest request =
        new MaintenanceRequest(
            new TreeSet<>(stored.getRacksList()),
            stored.getFromMs(),
            stored.getLastsMs(),
            stored.getSlackMs(),
            stored.getRule(),
            stored.getZone(),
            stored.getEmergency(),
            stored.getWho(),
            stored.getReason());
    AnnounceResult result = windows.announce(request, now);
    return result instanceof AnnounceResult.Announced announced
        ? announced.windowNumbers()
        : ((AnnounceResult.Rejected) result).reason();
  }

  /** Returns null if the stored model is malformed. */
  private static HardwareModel readModel(FamiliesWorth stored) {
    int families = stored.getFamiliesCount();
    int methods = stored.getMethodsCount();
    int expectedValues = (methods + 1) * families * families;
    boolean wellFormed =
        families > 0
            && families <= LeastSquaresFit.MAX_FAMILIES
            && methods <= LeastSquaresFit.MAX_METHODS
            && stored.getLogsCount() == expectedValues
            && stored.getErrorsCount() == expectedValues
            && stored.getCoresCount() == families
            && stored.getCoresErrorsCount() == families
            && stored.getFree() > 0;
    if (!wellFormed) {
      return null;
    }
    return HardwareModel.of(
        stored.getNumber(),
        stored.getWindow(),
        stored.getFamiliesList(),
        stored.getMethodsList(),
        stored.getLogsList(),
        stored.getErrorsList(),
        stored.getCoresList(),
        stored.getCoresErrorsList(),
        stored.getFree());
  }

  private static FamiliesWorth writeModel(HardwareModel model) {
    FamiliesWorth.Builder stored =
        FamiliesWorth.newBuilder()
            .setNumber(model.fencingToken())
            .setWindow(model.newestWindow())
            .addAllFamilies(model.families())
            .addAllMethods(model.methods())
            .setFree(model.degreesOfFreedom());
    model.forEachTimeRatio(time -> stored.addLogs(time.logValue()).addErrors(time.standardError()));
    for (int family : model.families()) {
      stored
          .addCores(model.concurrency(family).logValue())
          .addCoresErrors(model.concurrency(family).standardError());
    }
    return stored.build();
  }

  static FreezeMemory write(MaintenanceWindows windows) {
    MaintenanceState state = MaintenanceState.capture(windows);
    FreezeMemory.Builder written =
        FreezeMemory.newBuilder()
            .setSequence(state.sequence())
            .setNumbers(state.lastWindowNumber())
            .addAllDown(state.downRacks())
            .setOnTrial(state.canaryShare())
            .setNowMs(state.nowMs());
    if (windows.model() != null) {
      written.setWorth(writeModel(windows.model()));
    }
    for (MaintenanceState.Window window : state.windows()) {
      OfFreeze.Builder stored =
          OfFreeze.newBuilder()
              .setNumber(window.number())
              .addAllRacks(window.racks())
              .setFromMs(window.startMs())
              .setToMs(window.endMs())
              .setSlackMs(window.slackMs())
              .setEmergency(window.emergency())
              .setSeries(window.series())
              .setWho(window.operator())
              .setWhy(window.reason())
              .setState(window.state().name())
              .setBoundSinceMs(window.bindingSinceMs())
              .addAllForcedBy(window.forcedBy());
      for (MaintenanceWindow.Step step : window.steps()) {
        stored.addSteps(
            sprucerock.controller.v1.Step.newBuilder()
                .setSequence(step.sequence())
                .setWallMs(step.wallMs())
                .setStanding(step.state().name())
                .setCause(step.cause()));
      }
      written.addFreezes(stored);
    }
    return written.build();
  }

  static void restore(FreezeMemory written, MaintenanceWindows windows) {
    if (written.hasWorth()) {
      windows.restoreModel(readModel(written.getWorth()));
    }
    new MaintenanceState(
            written.getSequence(),
            written.getNumbers(),
            written.getDownList(),
            written.getOnTrial(),
            written.getNowMs(),
            written.getFreezesList().stream()
                .map(
                    window ->
                        new MaintenanceState.Window(
                            window.getNumber(),
                            window.getRacksList(),
                            window.getFromMs(),
                            window.getToMs(),
                            window.getSlackMs(),
                            window.getEmergency(),
                            window.getSeries(),
                            window.getWho(),
                            window.getWhy(),
                            MaintenanceWindow.State.valueOf(window.getState()),
                            window.getBoundSinceMs(),
                            window.getForcedByList(),
                            window.getStepsList().stream()
                                .map(
                                    step ->
                                        new MaintenanceWindow.Step(
                                            step.getSequence(),
                                            step.getWallMs(),
                                            MaintenanceWindow.State.valueOf(step.getStanding()),
                                            step.getCause()))
                                .toList()))
                .toList())
        .restore(windows);
  }
}
