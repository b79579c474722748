package sprucerock.controller.server;

/**
 * How often somebody may come: so many a second, a second's worth at once. One thread at a time.
 */
final class RateLimiter {
  private final double perSecond;
  private double tokens;
  private long lastMs;

  RateLimiter(int perSecond, long nowMs) {
    this.perSecond = perSecond;
    tokens = perSecond;
    lastMs = nowMs;
  }

  synchronized boolean take(long nowMs) {
    tokens = Math.min(perSecond, tokens + perSecond * Math.max(0, nowMs - lastMs) / 1000);
    lastMs = Math.max(lastMs, nowMs);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
