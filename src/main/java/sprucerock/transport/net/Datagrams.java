package sprucerock.transport.net;

import java.net.InetSocketAddress;

/**
 * A socket for datagrams. What can't be sent now is dropped, as the network may drop it anyway.
 *
 * <p>Confined to the loop thread.
 */
public interface Datagrams {
  /** Receives datagrams, on the loop thread. */
  interface Receiver {
    /**
     * A datagram has arrived.
     *
     * @param bytes its payload; the receiver may keep it
     */
    void received(InetSocketAddress from, byte[] bytes);
  }

  /**
   * Sends a datagram.
   *
   * @return false if the system did not take it; it is lost then
   */
  boolean send(InetSocketAddress to, byte[] bytes);

  /** Closes the socket; nothing more is received. */
  void close();
}
