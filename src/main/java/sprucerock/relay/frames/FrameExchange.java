package sprucerock.relay.frames;

import sprucerock.model.Attempt;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;

/** An attempt over frames: waiting for a connection, or in flight on one. */
final class FrameExchange extends AttemptExchange {
  /** Null while it waits for a connection. */
  EndpointConnection connection;

  /** Its id on that connection. */
  long wireId;

  /** Where its frame stands in the bytes written, see FrameConnection.mayHaveBeenSent. */
  long sentMark;

  /** Ends the wait for a connection; null if it did not wait. */
  Timer connectTimer;

  /** Other attempts of this relay that its endpoint had when it was sent. */
  final int concurrentAttempts;

  FrameExchange(Attempt attempt, Timestamp deadline) {
    super(attempt, deadline);
    concurrentAttempts = Math.max(0, attempt.endpoint.inFlight() - 1);
  }
}
