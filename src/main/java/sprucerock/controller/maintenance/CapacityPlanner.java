package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the times at which a window fits: the remaining racks must carry the load while the racks
 * of this window and of all other binding or ending windows are unavailable. After a window,
 * endpoints count as available again only once they are warm.
 */
final class CapacityPlanner {
  private final WindowIndex index;
  private final CapacityCheck capacityCheck;
  private final long warmUpMs;
  private final long delayStepMs;

  CapacityPlanner(WindowIndex index, CapacityCheck capacityCheck, MaintenanceWindows.Rules rules) {
    this.index = index;
    this.capacityCheck = capacityCheck;
    warmUpMs = rules.warmUpMs();
    delayStepMs = rules.delayStepMs();
  }

  /**
   * The result of the search for a window's start.
   *
   * @param delayMs the delay after the requested start; negative if there is no start within the
   *     slack
   * @param shortage the shortage at the requested start; null if there was none
   */
  record Slot(long delayMs, String shortage) {
    boolean found() {
      return delayMs >= 0;
    }
  }

  /** Returns the first start that fits, in steps from the requested start and within the slack. */
  Slot firstSlot(MaintenanceWindow window) {
    String firstShortage = null;
    for (long delayMs = 0; delayMs <= window.slackMs; delayMs += delayStepMs) {
      String shortage = shortage(window, window.startMs() + delayMs, window.endMs() + delayMs);
      if (firstShortage == null) {
        firstShortage = shortage;
      }
      if (shortage == null) {
        return new Slot(delayMs, firstShortage);
      }
    }
    return new Slot(-1, firstShortage);
  }

  /**
   * Describes in one line the capacity that is missing if a window lasts between two times; null if
   * no capacity is missing.
   */
  String shortage(MaintenanceWindow window, long fromMs, long toMs) {
    long warmFromMs = toMs + warmUpMs;
    TreeSet<Long> starts = new TreeSet<>(List.of(fromMs));
    List<MaintenanceWindow> others = new ArrayList<>();
    for (MaintenanceWindow other : index.all()) {
      if (other == window
          || !makesRacksUnavailable(other)
          || !overlaps(other, fromMs, warmFromMs)) {
        continue;
      }
      others.add(other);
      if (other.startMs() > fromMs) {
        starts.add(other.startMs());
      }
    }
    // Only the starts of windows are checked, because capacity is lowest where a window begins.
    for (long startMs : starts) {
      Set<String> racksInMaintenance = new TreeSet<>(window.racks);
      for (MaintenanceWindow other : others) {
        if (other.startMs() <= startMs && startMs < other.endMs() + warmUpMs) {
          racksInMaintenance.addAll(other.racks);
        }
      }
      String shortage = capacityCheck.shortage(racksInMaintenance, startMs, warmFromMs);
      if (shortage != null) {
        return shortage;
      }
    }
    return null;
  }

  /** Returns whether the racks of a window are unavailable during the window, by its state. */
  private static boolean makesRacksUnavailable(MaintenanceWindow window) {
    return window.state().isBinding() || window.state() == MaintenanceWindow.State.ENDING;
  }

  private boolean overlaps(MaintenanceWindow window, long fromMs, long warmFromMs) {
    return window.startMs() < warmFromMs && fromMs < window.endMs() + warmUpMs;
  }
}
