package sprucerock.lease;

import java.util.function.LongConsumer;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The one way to act under a lease. Time is looked at when the act begins, not when its turn of the
 * loop began; and as a process may stand still right after that look, the act bears the lease's
 * fencing token, which the place where it lands compares with the highest that it saw ({@link
 * FencingToken}). (Burrows, "The Chubby lock service", 2006, calls such a token a sequencer.)
 */
public class LeaseCheck {
  private final LeaseClient client;
  private final Supplier<Timestamp> clock;

  /** {@code clock}: this process's steady clock, read anew with each call. */
  LeaseCheck(LeaseClient client, Supplier<Timestamp> clock) {
    this.client = client;
    this.clock = clock;
  }

  /**
   * Runs an act with the fencing token if the lease is held for certain for that long yet.
   *
   * @param needs how long the act takes at most
   * @return false if nothing was done
   */
  public boolean runIfHeld(TimeSpan needs, LongConsumer act) {
    if (!isHeldFor(needs)) {
      return false;
    }
    act.accept(client.token());
    return true;
  }

  /** The same for an act that takes no time worth the name. */
  public boolean runIfHeld(LongConsumer act) {
    return runIfHeld(TimeSpan.ZERO, act);
  }

  boolean isHeldFor(TimeSpan needs) {
    Timestamp now = clock.get();
    return client.isHeldAt(now) && !needs.over(client.remaining(now));
  }

  /**
   * Whether it is held now. What is done on this answer alone, without {@link
   * #runIfHeld(LongConsumer)}, is not safe.
   */
  public boolean isHeld() {
    return isHeldFor(TimeSpan.ZERO);
  }

  /** An act was rejected where it landed, as that had seen a higher token. */
  public void tokenRejected(long higherToken) {
    client.observeToken(higherToken);
  }
}
