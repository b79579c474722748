package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where a window fits in time: whether the racks that stay bear the load while it and all others
 * that bind or end then are away. Units that come back count only once they are warm.
 */
final class CapacityPlanner {
  private final WindowIndex index;
  private final CapacityCheck capacity;
  private final long warmUpMs;
  private final long delayStepMs;

  CapacityPlanner(WindowIndex index, CapacityCheck capacity, MaintenanceWindows.Rules rules) {
    this.index = index;
    this.capacity = capacity;
    warmUpMs = rules.warmUpMs();
    delayStepMs = rules.delayStepMs();
  }

  /**
   * Where a window may begin.
   *
   * @param delayMs after its wanted start; below 0: nowhere within its slack
   * @param shortage what was short at the wanted start; null: nothing
   */
  record Slot(long delayMs, String shortage) {
    boolean found() {
      return delayMs >= 0;
    }
  }

  /** The first start that fits, from the wanted one on, in steps, within the window's slack. */
  Slot firstSlot(MaintenanceWindow window) {
    String first = null;
    for (long delayMs = 0; delayMs <= window.slackMs; delayMs += delayStepMs) {
      String shortage = shortage(window, window.startMs() + delayMs, window.endMs() + delayMs);
      if (first == null) {
        first = shortage;
      }
      if (shortage == null) {
        return new Slot(delayMs, first);
      }
    }
    return new Slot(-1, first);
  }

  /** What is short if the window lasted from one time to another, in one line; null: nothing. */
  String shortage(MaintenanceWindow window, long fromMs, long toMs) {
    long warmMs = toMs + warmUpMs;
    TreeSet<Long> starts = new TreeSet<>(List.of(fromMs));
    List<MaintenanceWindow> others = new ArrayList<>();
    for (MaintenanceWindow one : index.all()) {
      if (one == window || !isAway(one) || !overlaps(one, fromMs, warmMs)) {
        continue;
      }
      others.add(one);
      if (one.startMs() > fromMs) {
        starts.add(one.startMs());
      }
    }
    for (long startMs : starts) { // capacity is lowest where some window begins
      Set<String> away = new TreeSet<>(window.racks);
      for (MaintenanceWindow one : others) {
        if (one.startMs() <= startMs && startMs < one.endMs() + warmUpMs) {
          away.addAll(one.racks);
        }
      }
      String shortage = capacity.shortage(away, startMs, warmMs);
      if (shortage != null) {
        return shortage;
      }
    }
    return null;
  }

  private static boolean isAway(MaintenanceWindow one) {
    return one.state().isBinding() || one.state() == MaintenanceWindow.State.ENDING;
  }

  private boolean overlaps(MaintenanceWindow one, long fromMs, long warmMs) {
    return one.startMs() < warmMs && fromMs < one.endMs() + warmUpMs;
  }
}
