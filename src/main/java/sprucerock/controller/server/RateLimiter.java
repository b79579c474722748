package sprucerock.controller.server;

/**
 * How often somebody may come: so many a second, a second's worth at once. One thread at a time.
 */
final class RateLimiter {
  private final double perSecond;
  private double tokens;
  private long lastRefillMs;

  RateLimiter(int perSecond, long nowMs) {
    this.perSecond = perSecond;
    tokens = perSecond;
    lastRefillMs = nowMs;
  }

  synchronized boolean tryAcquire(long nowMs) {
    tokens = Math.min(perSecond, tokens + perSecond * Math.max(0, nowMs - lastRefillMs) / 1000);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
