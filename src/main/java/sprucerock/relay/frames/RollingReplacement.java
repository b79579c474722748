package sprucerock.relay.frames;

import java.util.ArrayDeque;
import java.util.List;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Replaces a pool's connections after credentials have changed: one after another, each old one
 * drained only once the new one is ready, and from a moment that is drawn, so that endpoints see no
 * storm of handshakes. For the event loop's thread.
 */
final class RollingReplacement {
  /** The replacement begins within this part of the time allowed. */
  private static final double LATEST_START = 0.5;

  private final EndpointConnectionPool pool;
  private final EndpointConnectionPool.PoolListener listener;
  private final DeterministicRandom random;
  private final TimeSpan retryAfter;
  private final ArrayDeque<EndpointConnection> toReplace = new ArrayDeque<>();
  private Timestamp replaceBy;
  private EndpointConnection replacement;

  /** Nothing is replaced yet; after a failed connection it is tried again after so long. */
  RollingReplacement(
      EndpointConnectionPool pool,
      EndpointConnectionPool.PoolListener listener,
      DeterministicRandom random,
      TimeSpan retryAfter) {
    this.pool = pool;
    this.listener = listener;
    this.random = random;
    this.retryAfter = retryAfter;
  }

  /** Replaces those that are ready now; what an earlier call left to be replaced is among them. */
  void begin(List<EndpointConnection> connections, TimeSpan within) {
    Timestamp now = listener.now();
    replaceBy = now.plus(within);
    toReplace.clear();
    for (EndpointConnection connection : connections) {
      if (connection.isReady && !connection.isRetired) {
        toReplace.add(connection);
      }
    }
    replacement = null;
    listener.schedule(now.plus(within.times(LATEST_START * random.next())), this::replaceNext);
  }

  private void replaceNext() {
    toReplace.removeIf(connection -> connection.isRetired || !pool.contains(connection));
    if (pool.isClosing() || toReplace.isEmpty() || replacement != null) {
      return;
    }
    if (!replaceBy.after(listener.now())) {
      // no new one can be had, and what the old ones were proven by counts no more
      while (!toReplace.isEmpty()) {
        toReplace.poll().drain();
      }
      return;
    }
    replacement = pool.open(listener.now());
  }

  /** A connection is ready, which may be the one that replaces another. */
  void connectionReady(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    EndpointConnection replaced = toReplace.poll();
    if (replaced != null) {
      replaced.drain();
    }
    replaceNext();
  }

  /** A connection has closed, which may be the one that was to replace another. */
  void connectionClosed(EndpointConnection connection) {
    if (connection != replacement) {
      return;
    }
    replacement = null;
    listener.schedule(listener.now().plus(retryAfter), this::replaceNext);
  }
}
