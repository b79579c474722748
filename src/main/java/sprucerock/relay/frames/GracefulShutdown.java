package sprucerock.relay.frames;

import sprucerock.accounting.RequestTracker;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;

/**
 * Ends a relay: waits until each open request has its answer or the time allowed is over, aborts
 * what is open then, closes all, and runs what is to follow. For the event loop's thread.
 */
final class GracefulShutdown {
  /** What is ended. */
  interface Target {
    /** Takes nothing new from here on. */
    void stopAccepting();

    /** Answers each open request with an abort. */
    void abortOpenRequests();

    /** Closes all connections once what was sent has gone out, and logs the totals. */
    void closeAll();
  }

  private static final TimeSpan POLL_INTERVAL = TimeSpan.ofMs(5);

  /** Enough for the last answers, which go out at the end of the turn that closes all. */
  private static final TimeSpan FLUSH_TIME = TimeSpan.ofMs(100);

  private final Net net;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;
  private final Target target;
  private boolean hasBegun;
  private Runnable whenDone;

  GracefulShutdown(Net net, RequestTracker requestTracker, EventLog eventLog, Target target) {
    this.net = net;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
    this.target = target;
  }

  boolean hasBegun() {
    return hasBegun;
  }

  /** Begins; what is open after {@code timeout} is aborted. A second call does nothing. */
  void begin(TimeSpan timeout, Runnable done) {
    if (hasBegun) {
      return;
    }
    hasBegun = true;
    whenDone = done;
    target.stopAccepting();
    eventLog.info(EventLog.Event.FINISHING, requestTracker.openRpcs() + " RPCs are open");
    net.at(net.now().plus(timeout), this::timedOut);
    endIfDone();
  }

  private void timedOut() {
    // the time that operators allow is over: an abort promises nothing, so it is always true
    target.abortOpenRequests();
    end();
  }

  private void endIfDone() {
    if (requestTracker.openRpcs() == 0) {
      end();
    } else {
      net.at(net.now().plus(POLL_INTERVAL), this::endIfDone);
    }
  }

  private void end() {
    if (whenDone == null) {
      return;
    }
    final Runnable done = whenDone;
    whenDone = null;
    target.closeAll();
    eventLog.info(EventLog.Event.FINISHED, "every RPC taken has its answer");
    net.at(net.now().plus(FLUSH_TIME), done);
  }
}
