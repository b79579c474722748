package sprucerock.transport.net;

import java.net.InetSocketAddress;

/** A socket for datagrams. What can't be sent now is dropped, as the way may drop it anyway. */
public interface Datagrams {
  /** Who is told of datagrams that came; the bytes are the user's to keep. */
  interface Receiver {
    void received(InetSocketAddress from, byte[] bytes);
  }

  /** Sends one; false where the system did not take it. */
  boolean send(InetSocketAddress to, byte[] bytes);

  void close();
}
