package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What the policy can do; whoever runs it, a relay or the simulator's adapter, carries it out at
 * once and in order.
 */
public interface RelayActions {
  /** The time of the event that is being handled; it never goes back. */
  Timestamp now();

  /** Sends the attempt to its endpoint. The first ok answers the client by itself. */
  void send(Attempt attempt);

  /** Cancels an attempt that is out; its end is told like any other. */
  void cancel(Attempt attempt);

  /** Final: the client may safely try again, best after {@code wait} (zero: no advice). */
  void reject(Rpc rpc, TimeSpan wait);

  /** Final: no promise about what happened. */
  void fail(Rpc rpc);

  /** Runs {@code what} in the first round at or after {@code when}. */
  void schedule(Timestamp when, Runnable what);

  /**
   * The same, unless the RPC has ended by then: whoever runs it need not keep hold of what is over.
   */
  default void schedule(Rpc rpc, Timestamp when, Runnable what) {
    schedule(
        when,
        () -> {
          if (!rpc.ended()) {
            what.run();
          }
        });
  }

  /** The same, unless the attempt has ended by then. */
  default void schedule(Attempt attempt, Timestamp when, Runnable what) {
    schedule(
        when,
        () -> {
          if (attempt.outcome() == null) {
            what.run();
          }
        });
  }

  /**
   * Votes on the canary in one of its stages; {@link RelayEvents#voteAnswered} follows, or never.
   */
  void vote(Build build, int stage, Verdict verdict);

  /** A short message to every other relay; it may come late or never. */
  void sendToPeers(byte[] contents);

  /** The same to one relay, by its number. */
  void sendToPeer(int relay, byte[] contents);

  /** Asks discovery for the endpoint list, and news of it where it sends such. */
  void subscribe();

  /** Writes a line to the relay's log. */
  void log(String line);
}
