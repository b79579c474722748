package sprucerock.controller.maintenance;

import java.util.List;

/**
 * All that is stored of maintenance windows, for whoever writes it: captured from them, and
 * restored into ones without windows.
 *
 * @param sequence the last step's
 * @param numbers the last window's number
 * @param down racks that are down
 * @param onTrial the share of units that serve a canary
 * @param nowMs the latest time that was seen, in milliseconds of the wall clock
 */
public record MaintenanceState(
    long sequence,
    long lastWindowNumber,
    List<String> downRacks,
    double canaryShare,
    long nowMs,
    List<Window> windows) {
  /** One window, as {@link MaintenanceWindow} has it. */
  public record Window(
      long number,
      List<String> racks,
      long startMs,
      long endMs,
      long slackMs,
      boolean emergency,
      long series,
      String operator,
      String reason,
      MaintenanceWindow.State state,
      long bindingSinceMs,
      List<String> forcedBy,
      List<MaintenanceWindow.Step> steps) {
    static Window of(MaintenanceWindow window) {
      return new Window(
          window.number,
          List.copyOf(window.racks),
          window.startMs(),
          window.endMs(),
          window.slackMs,
          window.emergency,
          window.series,
          window.operator,
          window.reason,
          window.state(),
          window.bindingSinceMs(),
          List.copyOf(window.forcedBy()),
          List.copyOf(window.steps()));
    }
  }

  /** The state as it is now. */
  public static MaintenanceState capture(MaintenanceWindows windows) {
    return windows.capture();
  }

  /** Restores it. Racks that the configuration no longer has stay in their windows. */
  public void restore(MaintenanceWindows windows) {
    windows.restore(this);
  }
}
