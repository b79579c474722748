package sprucerock.controller.maintenance;

import java.util.Set;
import java.util.TreeSet;

/**
 * What an operator asks for: one window, or one that recurs. Times are the wall clock's, in
 * milliseconds since 1970.
 *
 * @param racks names of the racks, one at least
 * @param fromMs when the first window should begin; an emergency begins at once instead
 * @param lastsMs how long each lasts, over 0
 * @param slackMs how much later than wanted each may begin
 * @param rule when it recurs, by RFC 5545; empty: once
 * @param zone the time zone in which the rule counts, such as Africa/Johannesburg
 * @param emergency it does not wait for capacity, and begins at once
 * @param operator who asks for it
 * @param reason what for, as it is shown
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
  /** Keeps a copy of the racks, in the order of their names. */
  public MaintenanceRequest {
    racks = new TreeSet<>(racks);
  }
}
