package sprucerock.relay.snapshot;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The picture that all threads of this process go by (read-copy-update): written by one loop alone,
 * read by anybody. A reader takes it once for a decision, and whatever it then asks is of one
 * state.
 */
public final class SharedSnapshot {
  private final AtomicReference<RackSnapshot> current = new AtomicReference<>(RackSnapshot.NOTHING);

  /** The picture as it is now; whole, however old the reader's other knowledge is. */
  public RackSnapshot current() {
    return current.getAcquire();
  }

  /**
   * From now on. An older state never takes a newer one's place; false if that was tried. On the
   * writer's one thread.
   */
  public boolean publish(RackSnapshot next) {
    if (next.sequence() < current.getPlain().sequence()) {
      return false;
    }
    current.setRelease(next);
    return true;
  }
}
