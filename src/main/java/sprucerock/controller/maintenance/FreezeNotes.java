package sprucerock.controller.maintenance;

import java.util.List;

/** All that freezes are, for whoever keeps it: out of them, and into empty ones. */
public record FreezeNotes(
    long sequence, long numbers, List<String> down, double onTrial, long nowMs, List<One> freezes) {
  /** A freeze. */
  public record One(
      long number,
      List<String> racks,
      long from,
      long to,
      long slackMs,
      boolean emergency,
      long series,
      String who,
      String why,
      MaintenanceWindow.State state,
      long boundSince,
      List<String> forcedBy,
      List<MaintenanceWindow.Step> steps) {}

  public static FreezeNotes of(MaintenanceWindows core) {
    return new FreezeNotes(
        core.sequence,
        core.numbers,
        List.copyOf(core.room().down()),
        core.room().onTrial(),
        core.nowMs,
        core.freezes.values().stream()
            .map(
                one ->
                    new One(
                        one.number,
                        List.copyOf(one.racks),
                        one.from,
                        one.to,
                        one.slackMs,
                        one.emergency,
                        one.series,
                        one.who,
                        one.why,
                        one.state,
                        one.boundSince,
                        List.copyOf(one.forcedBy),
                        List.copyOf(one.steps())))
            .toList());
  }

  /** Racks that the configuration no longer has stay in their freezes, and bind nobody. */
  public void into(MaintenanceWindows core) {
    core.sequence = sequence;
    core.numbers = numbers;
    core.nowMs = nowMs;
    core.room().onTrial(onTrial);
    for (String rack : down) {
      core.room().down(rack, true);
    }
    for (One one : freezes) {
      MaintenanceWindow freeze =
          new MaintenanceWindow(
              one.number,
              new java.util.TreeSet<>(one.racks),
              one.from,
              one.to,
              one.slackMs,
              one.emergency,
              one.series,
              one.who,
              one.why);
      freeze.state = one.state;
      freeze.boundSince = one.boundSince;
      freeze.forcedBy.addAll(one.forcedBy);
      one.steps.forEach(freeze::add);
      core.known(freeze);
    }
  }
}
