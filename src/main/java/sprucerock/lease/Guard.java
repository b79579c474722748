package sprucerock.lease;

import java.util.function.LongConsumer;
import java.util.function.Supplier;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * The one way to act under a lease. Time is looked at when the act begins, not when its turn of the
 * loop began; and as a process may stand still right after that look, the act bears the lease's
 * number, which the place where it lands holds against the highest that it saw ({@link Fence}).
 * (Burrows, "The Chubby lock service", 2006, calls such a number a sequencer.)
 */
public class Guard {
  private final Candidate candidate;
  private final Supplier<Moment> clock;

  /** {@code clock}: this process's steady clock, read anew with each call. */
  Guard(Candidate candidate, Supplier<Moment> clock) {
    this.candidate = candidate;
    this.clock = clock;
  }

  /** Acts if the lease is held for certain for that long yet; false if nothing was done. */
  public boolean act(Span needs, LongConsumer act) {
    if (!may(needs)) {
      return false;
    }
    act.accept(candidate.number());
    return true;
  }

  boolean may(Span needs) {
    Moment now = clock.get();
    return candidate.holds(now) && !needs.over(candidate.left(now));
  }

  /** The same for an act that takes no time worth the name. */
  public boolean act(LongConsumer act) {
    return act(Span.ZERO, act);
  }

  /**
   * Whether it is held now. What is done on this answer alone, without {@link #act}, is not safe.
   */
  public boolean held() {
    return may(Span.ZERO);
  }

  /** An act was refused where it landed, as that had seen a higher number. */
  public void refused(long higher) {
    candidate.saw(higher);
  }
}
