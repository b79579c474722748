package sprucerock.transport.net;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;

/**
 * How long to wait before a lost connection is made again: the upper bound doubles each time up to
 * a limit, and the pause is drawn from its upper half. Not thread-safe.
 */
public final class ExponentialBackoff {
  private static final double MIN_SHARE = 0.5;
  private static final double GROWTH = 2;

  private final TimeSpan initial;
  private final TimeSpan max;
  private final DoubleSupplier random;
  private TimeSpan bound;

  /**
   * A backoff that begins at its initial bound.
   *
   * @param initial the bound of the first pause
   * @param max the bound that no pause exceeds after the first
   * @param random gives numbers from 0 to under 1
   */
  public ExponentialBackoff(TimeSpan initial, TimeSpan max, DoubleSupplier random) {
    this.initial = initial;
    this.max = max;
    this.random = random;
    bound = initial;
  }

  /**
   * The next pause: from half its bound to all of it, so that hundreds that lost the same peer
   * don't come back together.
   */
  public TimeSpan nextPause() {
    TimeSpan pause = bound.times(MIN_SHARE + (1 - MIN_SHARE) * random.getAsDouble());
    bound = bound.times(GROWTH).atMost(max);
    return pause;
  }

  /** The connection is established: the next pause is the first again. */
  public void reset() {
    bound = initial;
  }
}
