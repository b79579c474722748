package sprucerock.policy;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Comparisons of timestamps that may be null. */
final class TimeChecks {
  private TimeChecks() {}

  /** Whether more than {@code ms} have passed from {@code since}; false if that is null. */
  static boolean longerThan(double ms, Timestamp since, Timestamp now) {
    return since != null && now.since(since).over(TimeSpan.ofMs(ms));
  }
}
