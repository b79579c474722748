package sprucerock.controller;

import java.io.IOException;
import sprucerock.time.TimeSpan;

/** Elects at most one leader among the controllers that share a storage; only the leader acts. */
public interface Leadership {
  /** The longest time between two renewals. */
  TimeSpan RENEW_INTERVAL = TimeSpan.ofMs(200);

  /**
   * Tries to acquire leadership, and returns true once it is held. To be called repeatedly, about
   * every 50 ms.
   *
   * @throws IOException if the lease can't be read or written; the call may be tried again
   */
  boolean tryAcquire() throws IOException;

  /** Whether this controller certainly holds leadership now. */
  boolean isHeld();

  /**
   * Renews leadership, and returns false once it is lost for good.
   *
   * @throws IOException if the lease can't be read or written; {@link #isHeld} says whether
   *     leadership is still held
   */
  boolean renew() throws IOException;

  /** Releases leadership, so that another controller need not wait for the lease to expire. */
  void release() throws IOException;
}
