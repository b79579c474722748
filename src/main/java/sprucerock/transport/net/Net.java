package sprucerock.transport.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;

/** Where links come from. Everything is called, and calls back, on the loop's one thread. */
public interface Net extends Timers {
  /** The same as {@link #bind}, and takes connections at once. */
  default Listener listen(
      InetSocketAddress at, int most, long mostUnsent, Supplier<ConnectionListener> users)
      throws IOException {
    Listener listener = bind(at, most, mostUnsent, users);
    listener.startAccepting();
    return listener;
  }

  /**
   * Has an address, and takes connections there once it is told to; each gets a user of its own.
   * Beyond {@code most} open at a time, one is closed as soon as it is accepted.
   *
   * @throws IOException if the address can't be had
   */
  Listener bind(InetSocketAddress at, int most, long mostUnsent, Supplier<ConnectionListener> users)
      throws IOException;

  /**
   * Begins to connect. The user is told that it is up, or that it is closed: at once refused, or at
   * the latest when {@code within} is over. {@code mostUnsent}: bytes that may wait for a peer that
   * does not read.
   */
  Connection connect(
      InetSocketAddress to, TimeSpan within, long mostUnsent, ConnectionListener user);

  /**
   * A socket for datagrams at an address. What comes and finds too many waiting for the loop is
   * dropped.
   *
   * @throws IOException if the address can't be had
   */
  Datagrams datagrams(InetSocketAddress at, Datagrams.Receiver user) throws IOException;

  /** A listening address. */
  interface Listener {
    InetSocketAddress address();

    /** Takes connections from now on; those that came before have waited in the system's queue. */
    void startAccepting();

    /** Is run for each connection that was closed as it came, since too many were open. */
    default void onRejected(Runnable what) {}

    /**
     * Takes no more connections once those that had come by now are taken; those that are open
     * stay.
     */
    void close();
  }
}
