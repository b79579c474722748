package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What the module can do; whoever runs it, a bench adapter or a relay, carries it out at once and
 * in order.
 */
public interface RelayActions {
  Timestamp now();

  /** Sends the pick to its unit. The first ok answers the client by itself. */
  void send(Attempt attempt);

  void cancel(Attempt attempt);

  /** Final: the client may safely try again, best after {@code wait} (zero: no advice). */
  void pushBack(Rpc rpc, TimeSpan wait);

  /** Final: no promise about what happened. */
  void abort(Rpc rpc);

  /** Runs {@code what} in the first round at or after {@code when}. */
  void wake(Timestamp when, Runnable what);

  /** The same, unless the RPC has ended by then: a host need not keep hold of what is over. */
  default void wake(Rpc rpc, Timestamp when, Runnable what) {
    wake(
        when,
        () -> {
          if (!rpc.ended()) {
            what.run();
          }
        });
  }

  /** The same, unless the pick has ended by then. */
  default void wake(Attempt attempt, Timestamp when, Runnable what) {
    wake(
        when,
        () -> {
          if (attempt.outcome() == null) {
            what.run();
          }
        });
  }

  void vote(Build build, int stage, Verdict verdict);

  /** A short message to every other relay; it may come late or never. */
  void tellPeers(byte[] contents);

  /** The same to one relay, by its number. */
  void tellPeer(int relay, byte[] contents);

  void subscribe();

  void log(String line);
}
