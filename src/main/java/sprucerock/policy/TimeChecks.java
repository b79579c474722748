package sprucerock.policy;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Comparisons of times that may be unknown. */
final class TimeChecks {
  private TimeChecks() {}

  /** Whether more than so many ms have passed; false where the start is null. */
  static boolean longerThan(double ms, Timestamp since, Timestamp now) {
    return since != null && now.since(since).over(TimeSpan.ofMs(ms));
  }
}
