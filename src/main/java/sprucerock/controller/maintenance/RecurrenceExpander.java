package sprucerock.controller.maintenance;

import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.TimeZone;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * When a window that comes again begins: by a rule of RFC 5545 in a named time zone, so that 02:30
 * stays 02:30 when clocks change. A window's length is true time: over the night that has an hour
 * less it ends an hour later by the wall. An occurrence whose time of day is left out that night
 * begins when clocks have gone forward.
 */
public final class RecurrenceExpander {
  /** How far ahead windows are expanded. */
  public static final long HORIZON_MS = 14L * 24 * 3_600_000;

  /** Occurrences that are expanded at most. */
  public static final int MAX_OCCURRENCES = 50;

  private RecurrenceExpander() {}

  /**
   * The starts of all occurrences from now on, within the horizon, in milliseconds of the wall
   * clock.
   *
   * @param firstMs the start of the first of all, which may be past
   * @param rule of RFC 5545; empty: it occurs once
   * @param zone the time zone in which the rule counts
   * @throws IllegalArgumentException if the rule or the zone is none; the message says what is
   *     allowed
   */
  public static List<Long> expand(long nowMs, long firstMs, String rule, String zone) {
    List<Long> found = new ArrayList<>();
    if (rule.isEmpty()) {
      if (firstMs >= nowMs) {
        found.add(firstMs);
      }
      return found;
    }
    try {
      // ZoneId rejects names that TimeZone takes for UTC
      TimeZone named = TimeZone.getTimeZone(ZoneId.of(zone));
      RecurrenceRuleIterator each = new RecurrenceRule(rule).iterator(new DateTime(named, firstMs));
      each.fastForward(nowMs);
      while (each.hasNext() && found.size() < MAX_OCCURRENCES) {
        long next = each.nextMillis();
        if (next > nowMs + HORIZON_MS) {
          break;
        }
        if (next >= nowMs) {
          found.add(next);
        }
      }
      return found;
    } catch (InvalidRecurrenceRuleException e) {
      throw new IllegalArgumentException(
          "\"" + rule + "\" is no rule such as FREQ=WEEKLY;BYDAY=TU: " + e.getMessage());
    } catch (DateTimeException e) {
      throw new IllegalArgumentException(
          "\"" + zone + "\" is no time zone such as Africa/Johannesburg");
    }
  }
}
