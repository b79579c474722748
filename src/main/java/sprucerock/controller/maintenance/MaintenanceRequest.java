package sprucerock.controller.maintenance;

import java.util.Set;
import java.util.TreeSet;

/**
 * An operator's request for a single or a recurring maintenance window. Times are wall-clock times
 * in milliseconds since 1970.
 *
 * @param racks the names of the racks, at least one
 * @param startMs when the first window should begin; an emergency begins at once instead
 * @param durationMs how long each window lasts, over 0
 * @param slackMs how much later than requested each window may begin
 * @param recurrenceRule the RFC 5545 recurrence rule; empty for a single window
 * @param timeZone the time zone that the rule refers to, such as Africa/Johannesburg
 * @param emergency whether the window begins at once without waiting for capacity
 * @param operator the operator who requests the window
 * @param reason the operator's reason, shown to other operators
 */
public record MaintenanceRequest(
    Set<String> racks,
    long startMs,
    long durationMs,
    long slackMs,
    String recurrenceRule,
    String timeZone,
    boolean emergency,
    String operator,
    String reason) {
  /** Copies the racks, ordered by name. */
  public MaintenanceRequest {
    racks = new TreeSet<>(racks);
  }
}
