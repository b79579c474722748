package sprucerock.lease;

import java.util.function.LongConsumer;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The only way to act under a lease. The clock is read when the act begins, not when the loop
 * iteration began. A process may stall right after the clock was read, so the act carries the
 * lease's fencing token, and the process that receives the act compares it with the highest token
 * that it saw ({@link FencingTokenRegistry}). Burrows, "The Chubby lock service", 2006, calls such
 * a token a sequencer.
 */
public class LeaseCheck {
  private final LeaseClient client;
  private final Supplier<Timestamp> clock;

  /**
   * Creates a check.
   *
   * @param clock this process's monotonic clock, read again with each call
   */
  LeaseCheck(LeaseClient client, Supplier<Timestamp> clock) {
    this.client = client;
    this.clock = clock;
  }

  /**
   * Runs an act, with the fencing token, if the lease is certainly held for the duration of the
   * act.
   *
   * @param maxDuration how long the act takes at most
   * @return false if the act was not run
   */
  public boolean runIfHeld(TimeSpan maxDuration, LongConsumer act) {
    if (!isHeldFor(maxDuration)) {
      return false;
    }
    act.accept(client.token());
    return true;
  }

  /** Runs an act of negligible duration, with the fencing token, if the lease is held. */
  public boolean runIfHeld(LongConsumer act) {
    return runIfHeld(TimeSpan.ZERO, act);
  }

  boolean isHeldFor(TimeSpan maxDuration) {
    Timestamp now = clock.get();
    return client.isHeldAt(now) && !maxDuration.over(client.remaining(now));
  }

  /**
   * Returns whether the lease is held now. An act that relies only on this answer, without {@link
   * #runIfHeld(LongConsumer)}, is not safe.
   */
  public boolean isHeld() {
    return isHeldFor(TimeSpan.ZERO);
  }

  /** Records a higher token of this lease, for which the receiver of an act rejected the act. */
  public void tokenRejected(long higherToken) {
    client.observeToken(higherToken);
  }
}
