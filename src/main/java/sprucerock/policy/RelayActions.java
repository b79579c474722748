package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Actions that the policy can take. The host, a relay or the simulator's adapter, carries them out
 * at once and in order.
 */
public interface RelayActions {
  /** The time of the event that is being handled; never decreases. */
  Timestamp now();

  /** Sends the attempt to its endpoint. The host passes the first OK answer to the client. */
  void send(Attempt attempt);

  /** Cancels an attempt in flight; {@link RelayEvents#attemptEnded} follows as always. */
  void cancel(Attempt attempt);

  /**
   * Ends the RPC with a rejection: the client may safely retry.
   *
   * @param wait the advised time until the retry; zero gives no advice
   */
  void reject(Rpc rpc, TimeSpan wait);

  /** Ends the RPC with a failure: the request may or may not have run. */
  void fail(Rpc rpc);

  /** Runs {@code task} in the first loop iteration at or after {@code when}. */
  void schedule(Timestamp when, Runnable task);

  /**
   * Runs {@code task} in the first loop iteration at or after {@code when}, unless the RPC has
   * ended by then. A host may override this to release the task of an ended RPC early.
   */
  default void schedule(Rpc rpc, Timestamp when, Runnable task) {
    schedule(
        when,
        () -> {
          if (!rpc.ended()) {
            task.run();
          }
        });
  }

  /**
   * Runs {@code task} in the first loop iteration at or after {@code when}, unless the attempt has
   * ended by then.
   */
  default void schedule(Attempt attempt, Timestamp when, Runnable task) {
    schedule(
        when,
        () -> {
          if (attempt.outcome() == null) {
            task.run();
          }
        });
  }

  /**
   * Votes on the canary in one of its stages. {@link RelayEvents#voteAnswered} follows, unless the
   * vote or its answer is lost.
   */
  void vote(Build build, int stage, Verdict verdict);

  /** Sends a short message to every other relay; it may arrive late or never. */
  void sendToPeers(byte[] contents);

  /** Sends a short message to the relay with this number; it may arrive late or never. */
  void sendToPeer(int relay, byte[] contents);

  /** Asks discovery for the endpoint list, and for updates of it where discovery sends them. */
  void subscribe();

  /** Writes a line to the relay's log. */
  void log(String line);
}
