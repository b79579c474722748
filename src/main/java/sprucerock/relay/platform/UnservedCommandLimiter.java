package sprucerock.relay.platform;

import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Limits the rate of one client's commands that make no request: blank queries, and statements that
 * can't be read, and requests for encryption. Guards against a client that sends them at full
 * speed, whose answers take the time and the memory of all. A token bucket; confined to the loop
 * thread.
 */
final class UnservedCommandLimiter {
  /** As many as may wait on one connection; usual clients send a blank query as they connect. */
  private static final double MAX_TOKENS = 32;

  private static final double TOKENS_PER_MS = 0.1;

  private double tokens = MAX_TOKENS;
  private Timestamp refilledAt;

  UnservedCommandLimiter(Timestamp now) {
    refilledAt = now;
  }

  /** Counts a command; of many at once those beyond a second burst cost no further delay. */
  void count(Timestamp now) {
    refill(now);
    tokens = Math.max(-MAX_TOKENS, tokens - 1);
  }

  /** Whether the client has to wait. */
  boolean isExceeded(Timestamp now) {
    refill(now);
    return tokens < 0;
  }

  /** How long it has to wait. */
  TimeSpan delay() {
    return TimeSpan.ofMs(Math.max(0, -tokens) / TOKENS_PER_MS);
  }

  private void refill(Timestamp now) {
    tokens = Math.min(MAX_TOKENS, tokens + now.since(refilledAt).ms() * TOKENS_PER_MS);
    refilledAt = now;
  }
}
