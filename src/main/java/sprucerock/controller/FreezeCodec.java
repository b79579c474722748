package sprucerock.controller;

import sprucerock.controller.maintenance.FreezeNotes;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.FamiliesWorth;
import sprucerock.controller.v1.FreezeMemory;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.OfFreeze;
import sprucerock.hardware.LeastSquaresFit;
import sprucerock.hardware.Model;

/** Between freezes and what is kept of them on disk. */
final class FreezeCodec {
  private FreezeCodec() {}

  /** What an input came to: numbers of freezes, an operator's refusal, or null. */
  static Object apply(MaintenanceWindows core, Input input) {
    long now = core.later(input.getWallMs());
    switch (input.getWhatCase()) {
      case FREEZE -> {
        var wanted = input.getFreeze();
        return core.announce(
            new java.util.TreeSet<>(wanted.getRacksList()),
            wanted.getFromMs(),
            wanted.getLastsMs(),
            wanted.getSlackMs(),
            wanted.getRule(),
            wanted.getZone(),
            wanted.getEmergency(),
            wanted.getWho(),
            wanted.getReason(),
            now);
      }
      case FREEZE_WORD -> {
        var word = input.getFreezeWord();
        return switch (word.getWord()) {
          case "CALL_OFF" -> core.callOff(word.getFreeze(), word.getWho(), word.getReason(), now);
          case "EXTEND" ->
              core.extend(word.getFreeze(), word.getToMs(), word.getWho(), word.getReason(), now);
          case "FORCE" -> core.force(word.getFreeze(), word.getWho(), word.getReason(), now);
          default ->
              throw new IllegalArgumentException(
                  "a word about freezes of an unknown kind, written by a newer controller");
        };
      }
      case FREEZE_CLEARED -> core.cleared(input.getFreezeCleared().getFreeze(), now);
      case WORTH -> {
        Model model = model(input.getWorth());
        return model == null || !core.worth(model, now) ? "it is none, or an older one" : null;
      }
      case RACK -> core.down(input.getRack().getRack(), input.getRack().getDown(), now);
      default -> core.tick(now);
    }
    return null;
  }

  /** Null where it can't be one. */
  private static Model model(FamiliesWorth said) {
    int families = said.getFamiliesCount();
    int methods = said.getMethodsCount();
    int pairs = (methods + 1) * families * families;
    boolean can =
        families > 0
            && families <= LeastSquaresFit.MOST_FAMILIES
            && methods <= LeastSquaresFit.MOST_METHODS
            && said.getLogsCount() == pairs
            && said.getErrorsCount() == pairs
            && said.getCoresCount() == families
            && said.getCoresErrorsCount() == families
            && said.getFree() > 0;
    if (!can) {
      return null;
    }
    return Model.of(
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

  private static FamiliesWorth worth(Model model) {
    FamiliesWorth.Builder said =
        FamiliesWorth.newBuilder()
            .setNumber(model.number())
            .setWindow(model.window())
            .addAllFamilies(model.families())
            .addAllMethods(model.methods())
            .setFree(model.free());
    model.times(time -> said.addLogs(time.log()).addErrors(time.error()));
    for (int family : model.families()) {
      said.addCores(model.cores(family).log()).addCoresErrors(model.cores(family).error());
    }
    return said.build();
  }

  static FreezeMemory write(MaintenanceWindows core) {
    FreezeNotes notes = FreezeNotes.of(core);
    FreezeMemory.Builder written =
        FreezeMemory.newBuilder()
            .setSequence(notes.sequence())
            .setNumbers(notes.numbers())
            .addAllDown(notes.down())
            .setOnTrial(notes.onTrial())
            .setNowMs(notes.nowMs());
    if (core.model() != null) {
      written.setWorth(worth(core.model()));
    }
    for (FreezeNotes.One one : notes.freezes()) {
      OfFreeze.Builder freeze =
          OfFreeze.newBuilder()
              .setNumber(one.number())
              .addAllRacks(one.racks())
              .setFromMs(one.from())
              .setToMs(one.to())
              .setSlackMs(one.slackMs())
              .setEmergency(one.emergency())
              .setSeries(one.series())
              .setWho(one.who())
              .setWhy(one.why())
              .setState(one.state().name())
              .setBoundSinceMs(one.boundSince())
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

  static void read(FreezeMemory written, MaintenanceWindows core) {
    if (written.hasWorth()) {
      core.model(model(written.getWorth()));
    }
    new FreezeNotes(
            written.getSequence(),
            written.getNumbers(),
            written.getDownList(),
            written.getOnTrial(),
            written.getNowMs(),
            written.getFreezesList().stream()
                .map(
                    one ->
                        new FreezeNotes.One(
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
        .into(core);
  }
}
