package sprucerock.controller;

import java.io.IOException;
import sprucerock.time.TimeSpan;

/** Which of several controllers of one store acts. */
public interface Leadership {
  /** How often it is to be renewed at least. */
  TimeSpan RENEW_INTERVAL = TimeSpan.ofMs(200);

  /** Tries to take it; true once it is held. To be called again and again, each 50 ms or so. */
  boolean tryAcquire() throws IOException;

  /** Whether it is held for certain, now. */
  boolean isHeld();

  /** Holds on to it; false once it is lost, for good. */
  boolean renew() throws IOException;

  /** Gives it back, so that the other one need not wait. */
  void release() throws IOException;
}
