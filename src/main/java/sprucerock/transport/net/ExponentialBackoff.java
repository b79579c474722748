package sprucerock.transport.net;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;

/**
 * How long to wait before a connection that was lost is made again: longer each time, and drawn.
 */
public final class ExponentialBackoff {
  private final TimeSpan first;
  private final TimeSpan most;
  private final DoubleSupplier dice;
  private TimeSpan pause;

  /** {@code dice} gives numbers from 0 to under 1. */
  public ExponentialBackoff(TimeSpan first, TimeSpan most, DoubleSupplier dice) {
    this.first = first;
    this.most = most;
    this.dice = dice;
    pause = first;
  }

  /**
   * The next pause; from half to all of it, so that hundreds that lost the same one don't come back
   * together.
   */
  public TimeSpan nextPause() {
    TimeSpan now = pause.times(0.5 + 0.5 * dice.getAsDouble());
    pause = pause.times(2).atMost(most);
    return now;
  }

  /** It is there again: the next pause is the first. */
  public void reset() {
    pause = first;
  }
}
