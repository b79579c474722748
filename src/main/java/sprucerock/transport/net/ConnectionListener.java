package sprucerock.transport.net;

import java.nio.ByteBuffer;

/** Receives the events of one {@link Connection}, on its loop thread. */
public interface ConnectionListener {
  /** The connection can be written and will be read from now on. */
  void connected(Connection connection);

  /**
   * Bytes have arrived, in order and in pieces of any size.
   *
   * @param bytes valid during the call only
   */
  void received(ByteBuffer bytes);

  /** The system has taken all that was written. */
  default void allSent() {}

  /**
   * Nothing can be read any more, as {@link Connection#finishUnlessReceived} crossed the bytes that
   * were just passed on: once these are answered the connection is to be finished.
   */
  default void inputEnded() {}

  /**
   * The connection is closed, or was never established. Called exactly once, and nothing is called
   * after it.
   *
   * @param why the reason, for a log
   */
  void closed(String why);
}
