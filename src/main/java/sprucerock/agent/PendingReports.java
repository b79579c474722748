package sprucerock.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Failure;
import sprucerock.transport.wire.v1.Readable;

/**
 * What a controller still has to hear: failed runs, and results of settings checks. Failures that
 * were sent are kept too, as a controller may be lost with them: the next one that connects gets
 * them again, and recognizes those that it has.
 */
final class PendingReports {
  /** Of more the oldest are dropped; the log has them. */
  private static final int MAX_FAILURES = 20;

  private final Deque<Failure> unsentFailures = new ArrayDeque<>();
  private final Deque<Failure> sentFailures = new ArrayDeque<>();
  private final Deque<Readable> unsentChecks = new ArrayDeque<>();

  void add(Failure failure) {
    if (unsentFailures.size() >= MAX_FAILURES) {
      unsentFailures.removeFirst();
    }
    unsentFailures.addLast(failure);
  }

  void add(Readable check) {
    unsentChecks.addLast(check);
  }

  /** Moves all that is unsent into a report that is sent next. */
  void drainInto(AgentSays.Builder report) {
    report.addAllFailures(unsentFailures).addAllReadables(unsentChecks);
    sentFailures.addAll(unsentFailures);
    while (sentFailures.size() > MAX_FAILURES) {
      sentFailures.removeFirst();
    }
    unsentFailures.clear();
    unsentChecks.clear();
  }

  /** A controller has connected: what others were sent is sent again, in its order. */
  void resendFailures() {
    sentFailures.descendingIterator().forEachRemaining(unsentFailures::addFirst);
    sentFailures.clear();
  }
}
