package sprucerock.controller.maintenance;

import java.util.List;

/**
 * The stored state of {@link MaintenanceWindows}, except the hardware model. It is captured from an
 * instance and restored into one without windows.
 *
 * @param sequence the sequence number of the last step
 * @param lastWindowNumber the number of the last window
 * @param downRacks the racks that are down
 * @param canaryShare the share of endpoints that serve the build of a rollout in progress
 * @param nowMs the latest known time, in milliseconds of the wall clock
 */
public record MaintenanceState(
    long sequence,
    long lastWindowNumber,
    List<String> downRacks,
    double canaryShare,
    long nowMs,
    List<Window> windows) {
  /** The state of a {@link MaintenanceWindow}. */
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

  /** Captures the current state. */
  public static MaintenanceState capture(MaintenanceWindows windows) {
    return windows.capture();
  }

  /** Restores the state. Racks that are no longer configured stay in their windows. */
  public void restore(MaintenanceWindows windows) {
    windows.restore(this);
  }
}
