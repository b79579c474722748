package sprucerock.controller;

import java.io.IOException;
import sprucerock.time.TimeSpan;

/** Which of several controllers of one store acts: at most one of them, the leader. */
public interface Leadership {
  /** How often it is to be renewed at least. */
  TimeSpan RENEW_INTERVAL = TimeSpan.ofMs(200);

  /**
   * Tries to acquire it; true once it is held. To be called again and again, each 50 ms or so.
   *
   * @throws IOException if what it is kept by can't be read or written; may be tried again
   */
  boolean tryAcquire() throws IOException;

  /** Whether it is held for certain, now. */
  boolean isHeld();

  /**
   * Renews it; false once it is lost, for good.
   *
   * @throws IOException if what it is kept by can't be read or written; it is held as long as
   *     {@link #isHeld} says
   */
  boolean renew() throws IOException;

  /** Gives it back, so that another controller need not wait for its term to end. */
  void release() throws IOException;
}
