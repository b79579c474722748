package sprucerock.relay.platform;

import java.util.EnumMap;
import java.util.Map;
import sprucerock.time.TimeSpan;

/**
 * Counts what becomes of clients, and how much memory and time they take, for the log. Counts go on
 * from the start of the relay; peaks are those since the last line. Confined to the loop thread.
 */
final class ClientFigures {
  private static final int BYTES_PER_KB = 1024;

  private final Map<RefusalReason, Long> refused = new EnumMap<>(RefusalReason.class);
  private long accepted;
  private long rejected;
  private long leftOpen;
  private long peakUnsentBytes;
  private long peakCommandBytes;
  private TimeSpan longestDelay = TimeSpan.ZERO;
  private boolean changed;

  /** A connection was accepted. */
  void accepted() {
    accepted++;
  }

  /** A connection was closed as it was accepted. */
  void rejected() {
    rejected++;
    changed = true;
  }

  /** A client closed its connection while a request was open on it. */
  void leftOpen() {
    leftOpen++;
  }

  /** Something was refused. */
  void refused(RefusalReason reason) {
    refused.merge(reason, 1L, Long::sum);
    changed = true;
  }

  /**
   * Takes a sample.
   *
   * @param unsentBytes what answers that wait for clients hold
   * @param commandBytes what commands and open requests hold
   * @param delay how late the loop came to take the sample
   */
  void sample(long unsentBytes, long commandBytes, TimeSpan delay) {
    peakUnsentBytes = Math.max(peakUnsentBytes, unsentBytes);
    peakCommandBytes = Math.max(peakCommandBytes, commandBytes);
    if (delay.over(longestDelay)) {
      longestDelay = delay;
    }
  }

  /** Whether anything was refused since the last line. */
  boolean hasRefused() {
    return changed;
  }

  /** The line for the log; begins new peaks. */
  String line() {
    StringBuilder text =
        new StringBuilder("accepted ")
            .append(accepted)
            .append(" rejected ")
            .append(rejected)
            .append(" left-open ")
            .append(leftOpen)
            .append(" unsent-peak-kb ")
            .append(peakUnsentBytes / BYTES_PER_KB)
            .append(" commands-peak-kb ")
            .append(peakCommandBytes / BYTES_PER_KB)
            .append(" longest-delay-ms ")
            .append(Math.round(longestDelay.ms()));
    refused.forEach((reason, count) -> text.append(' ').append(reason).append(' ').append(count));
    peakUnsentBytes = 0;
    peakCommandBytes = 0;
    longestDelay = TimeSpan.ZERO;
    changed = false;
    return text.toString();
  }
}
