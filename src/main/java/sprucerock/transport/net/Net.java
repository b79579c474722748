package sprucerock.transport.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;

/**
 * Makes and accepts connections. Everything is called, and calls back, on the loop's one thread.
 */
public interface Net extends Timers {
  /**
   * The same as {@link #bind}, and accepts connections at once.
   *
   * @throws IOException if the address can't be bound
   */
  default Listener listen(
      InetSocketAddress address,
      int maxConnections,
      long maxUnsentBytes,
      Supplier<ConnectionListener> listeners)
      throws IOException {
    Listener listener = bind(address, maxConnections, maxUnsentBytes, listeners);
    listener.startAccepting();
    return listener;
  }

  /**
   * Binds an address; connections are accepted from {@link Listener#startAccepting} on.
   *
   * @param address port 0 for any free port
   * @param maxConnections open at a time; one beyond them is closed as soon as it is accepted
   * @param maxUnsentBytes of a connection that may wait for a peer that doesn't read
   * @param listeners gives each accepted connection a listener of its own
   * @throws IOException if the address can't be bound
   */
  Listener bind(
      InetSocketAddress address,
      int maxConnections,
      long maxUnsentBytes,
      Supplier<ConnectionListener> listeners)
      throws IOException;

  /**
   * Begins to connect. The listener is notified that the connection is up, or that it is closed: at
   * the latest when the timeout is over.
   *
   * @param timeout how long connecting may take
   * @param maxUnsentBytes that may wait for a peer that doesn't read
   */
  Connection connect(
      InetSocketAddress to, TimeSpan timeout, long maxUnsentBytes, ConnectionListener listener);

  /**
   * Opens a socket for datagrams. Those that arrive while too many wait for the loop are dropped.
   *
   * @throws IOException if the address can't be bound
   */
  Datagrams datagrams(InetSocketAddress address, Datagrams.Receiver receiver) throws IOException;

  /**
   * What is written on accepted connections and the system has not taken yet, in sum: the memory
   * that it holds, which for small pieces is more than their bytes.
   */
  default long unsentOnAccepted() {
    return 0;
  }

  /** A bound address. */
  interface Listener {
    /** The address, with the port that was chosen. */
    InetSocketAddress address();

    /**
     * Accepts connections from now on; those that came before have waited in the system's queue.
     */
    void startAccepting();

    /**
     * Sets what is run for each connection that was closed on arrival because too many were open.
     */
    default void onRejected(Runnable action) {}

    /**
     * Accepts no more connections once those that have arrived by now are accepted. Open
     * connections stay open.
     */
    void close();
  }
}
