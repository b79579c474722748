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
 * Computes the starts of a recurring window by an RFC 5545 rule in a named time zone, so that 02:30
 * stays 02:30 when clocks change. A window's length is elapsed time: in the night in which clocks
 * go forward by an hour, it ends an hour later by the local clock. An occurrence whose local time
 * is skipped in that night begins after the clocks have gone forward.
 */
public final class RecurrenceExpander {
  /** How far ahead occurrences are expanded. */
  public static final long HORIZON_MS = 14L * 24 * 3_600_000;

  /** The maximum number of expanded occurrences. */
  public static final int MAX_OCCURRENCES = 50;

  private RecurrenceExpander() {}

  /**
   * Returns the starts of all occurrences between now and the horizon, in milliseconds of the wall
   * clock.
   *
   * @param firstMs the start of the first occurrence, which may be past
   * @param rule the RFC 5545 recurrence rule; empty for a single occurrence
   * @param timeZone the name of the time zone that the rule refers to
   * @throws IllegalArgumentException if the rule or the time zone is invalid; the message gives a
   *     valid example
   */
  public static List<Long> expand(long nowMs, long firstMs, String rule, String timeZone) {
    List<Long> starts = new ArrayList<>();
    if (rule.isEmpty()) {
      if (firstMs >= nowMs) {
        starts.add(firstMs);
      }
      return starts;
    }
    try {
      // ZoneId rejects unknown names, which TimeZone would treat as UTC.
      TimeZone zone = TimeZone.getTimeZone(ZoneId.of(timeZone));
      RecurrenceRuleIterator occurrences =
          new RecurrenceRule(rule).iterator(new DateTime(zone, firstMs));
      occurrences.fastForward(nowMs);
      while (occurrences.hasNext() && starts.size() < MAX_OCCURRENCES) {
        long next = occurrences.nextMillis();
        if (next > nowMs + HORIZON_MS) {
          break;
        }
        if (next >= nowMs) {
          starts.add(next);
        }
      }
      return starts;
    } catch (InvalidRecurrenceRuleException e) {
      throw new IllegalArgumentException(
          "\"" + rule + "\" is no rule such as FREQ=WEEKLY;BYDAY=TU: " + e.getMessage());
    } catch (DateTimeException e) {
      throw new IllegalArgumentException(
          "\"" + timeZone + "\" is not a time zone; expected a name such as Africa/Johannesburg");
    }
  }
}
