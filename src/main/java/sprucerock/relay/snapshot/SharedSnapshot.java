package sprucerock.relay.snapshot;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The current rack snapshot of this process (read-copy-update). Only one loop publishes it; any
 * thread reads it. A reader reads the reference once for each decision, so that all its lookups see
 * one consistent state.
 */
public final class SharedSnapshot {
  private final AtomicReference<RackSnapshot> current = new AtomicReference<>(RackSnapshot.EMPTY);

  /**
   * Returns the latest snapshot. The snapshot is consistent in itself, but may be newer than other
   * state of the reader.
   */
  public RackSnapshot current() {
    return current.getAcquire();
  }

  /**
   * Publishes a snapshot, unless the current one has a higher sequence number. Called only on the
   * publishing thread.
   *
   * @return whether the snapshot was published
   */
  public boolean publish(RackSnapshot next) {
    if (next.sequence() < current.getPlain().sequence()) {
      return false;
    }
    current.setRelease(next);
    return true;
  }
}
