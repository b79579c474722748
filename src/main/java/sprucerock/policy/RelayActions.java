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
  void reject(Rpc rpc, TimeSpan wait);

  /** Final: no promise about what happened. */
  void fail(Rpc rpc);

  /** Runs {@code what} in the first round at or after {@code when}. */
  void schedule(Timestamp when, Runnable what);

  /** The same, unless the RPC has ended by then: a host need not keep hold of what is over. */
  default void schedule(Rpc rpc, Timestamp when, Runnable what) {
    schedule(
        when,
        () -> {
          if (!rpc.ended()) {
            what.run();
          }
        });
  }

  /** The same, unless the pick has ended by then. */
  default void schedule(Attempt attempt, Timestamp when, Runnable what) {
    schedule(
        when,
        () -> {
          if (attempt.outcome() == null) {
            what.run();
          }
        });
  }

  void vote(Build build, int stage, Verdict verdict);

  /** A short message to every other relay; it may come late or never. */
  void sendToPeers(byte[] contents);

  /** The same to one relay, by its number. */
  void sendToPeer(int relay, byte[] contents);

  void subscribe();

  void log(String line);
}
