package sprucerock.controller.server;

/** A token bucket: so many requests a second, with bursts of a second's worth. Thread-safe. */
final class RateLimiter {
  private static final int MS_PER_SECOND = 1000;

  private final double requestsPerSecond;
  private double tokens;
  private long lastRefillMs;

  /** Starts full; {@code nowMs}: on the clock of {@link #tryAcquire}. */
  RateLimiter(int perSecond, long nowMs) {
    this.requestsPerSecond = perSecond;
    tokens = perSecond;
    lastRefillMs = nowMs;
  }

  /** Whether one more request is within the rate; it counts if it is. */
  synchronized boolean tryAcquire(long nowMs) {
    tokens =
        Math.min(
            requestsPerSecond,
            tokens + requestsPerSecond * Math.max(0, nowMs - lastRefillMs) / MS_PER_SECOND);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
