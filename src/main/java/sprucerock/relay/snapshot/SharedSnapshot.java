package sprucerock.relay.snapshot;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The snapshot that all threads of this process go by (read-copy-update): published by one loop
 * alone, read by any thread. A reader takes it once for a decision, and whatever it then asks is of
 * one state.
 */
public final class SharedSnapshot {
  private final AtomicReference<RackSnapshot> current = new AtomicReference<>(RackSnapshot.EMPTY);

  /** The latest snapshot; consistent in itself, however old the reader's other knowledge is. */
  public RackSnapshot current() {
    return current.getAcquire();
  }

  /**
   * Publishes a snapshot. An older sequence never takes a newer one's place: false if that was
   * tried. On the one publishing thread.
   */
  public boolean publish(RackSnapshot next) {
    if (next.sequence() < current.getPlain().sequence()) {
      return false;
    }
    current.setRelease(next);
    return true;
  }
}
