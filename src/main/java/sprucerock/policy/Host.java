package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Pick;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * What the module can do; whoever runs it, a bench adapter or a relay, carries it out at once and
 * in order.
 */
public interface Host {
  Moment now();

  /** Sends the pick to its unit. The first ok answers the client by itself. */
  void send(Pick pick);

  void cancel(Pick pick);

  /** Final: the client may safely try again, best after {@code wait} (zero: no advice). */
  void pushBack(Rpc rpc, Span wait);

  /** Final: no promise about what happened. */
  void abort(Rpc rpc);

  /** Runs {@code what} in the first round at or after {@code when}. */
  void wake(Moment when, Runnable what);

  /** The same, unless the RPC has ended by then: a host need not keep hold of what is over. */
  default void wake(Rpc rpc, Moment when, Runnable what) {
    wake(
        when,
        () -> {
          if (!rpc.ended()) {
            what.run();
          }
        });
  }

  /** The same, unless the pick has ended by then. */
  default void wake(Pick pick, Moment when, Runnable what) {
    wake(
        when,
        () -> {
          if (pick.outcome() == null) {
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
