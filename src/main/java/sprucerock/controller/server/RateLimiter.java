package sprucerock.controller.server;

/** A token bucket whose capacity, the largest burst, is the rate of one second. Thread-safe. */
final class RateLimiter {
  private static final int MS_PER_SECOND = 1000;

  private final double requestsPerSecond;
  private double tokens;
  private long lastRefillMs;

  /** Creates a full bucket; {@code nowMs} is read from the same clock as in {@link #tryAcquire}. */
  RateLimiter(int perSecond, long nowMs) {
    this.requestsPerSecond = perSecond;
    tokens = perSecond;
    lastRefillMs = nowMs;
  }

  /** Takes a token for a request; returns false if the request exceeds the rate. */
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
