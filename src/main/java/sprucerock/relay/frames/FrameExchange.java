package sprucerock.relay.frames;

import sprucerock.model.Attempt;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;

/** A pick on its way over frames. */
final class FrameExchange extends sprucerock.relay.engine.AttemptExchange {
  /** Null while it waits for a connection. */
  EndpointConnection connection;

  /** Its id on that connection, and where its frame stands in what was written. */
  long wireId;

  long sentMark;
  Timer connectTimer;

  /** Picks of this relay that its unit held when it was sent. */
  final int concurrentAttempts;

  FrameExchange(Attempt attempt, Timestamp ends) {
    super(attempt, ends);
    concurrentAttempts = Math.max(0, attempt.endpoint.out() - 1);
  }
}
