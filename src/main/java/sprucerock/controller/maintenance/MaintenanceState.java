package sprucerock.controller.maintenance;

import java.util.List;

/** All that freezes are, for whoever keeps it: out of them, and into empty ones. */
public record MaintenanceState(
    long sequence,
    long numbers,
    List<String> down,
    double onTrial,
    long nowMs,
    List<Window> windows) {
  /** A freeze. */
  public record Window(
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

  public static MaintenanceState capture(MaintenanceWindows core) {
    return new MaintenanceState(
        core.sequence,
        core.numbers,
        List.copyOf(core.capacity().down()),
        core.capacity().canaryShare(),
        core.nowMs,
        core.windows.values().stream()
            .map(
                one ->
                    new Window(
                        one.number,
                        List.copyOf(one.racks),
                        one.from,
                        one.to,
                        one.slackMs,
                        one.emergency,
                        one.series,
                        one.operator,
                        one.reason,
                        one.state,
                        one.boundSince,
                        List.copyOf(one.forcedBy),
                        List.copyOf(one.steps())))
            .toList());
  }

  /** Racks that the configuration no longer has stay in their freezes, and bind nobody. */
  public void restore(MaintenanceWindows core) {
    core.sequence = sequence;
    core.numbers = numbers;
    core.nowMs = nowMs;
    core.capacity().canaryShare(onTrial);
    for (String rack : down) {
      core.capacity().down(rack, true);
    }
    for (Window one : windows) {
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
