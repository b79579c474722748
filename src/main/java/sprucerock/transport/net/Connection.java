package sprucerock.transport.net;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A byte stream to a peer. What is written in a turn goes out together at its end, in order. A peer
 * that doesn't read is cut off as soon as more than the limit given at {@link Net#connect} or
 * {@link Net#bind} waits for it, so that it holds up nobody else.
 *
 * <p>Confined to the loop thread.
 */
public interface Connection {
  /** The reason given to {@link ConnectionListener#closed} where the peer closed in good order. */
  String CLOSED_BY_PEER = "closed by the other side";

  /**
   * Reserves space for the next bytes of the stream.
   *
   * @param bytes how many
   * @return a buffer with just that much space, which the caller fills before its turn ends
   */
  ByteBuffer reserve(int bytes);

  /**
   * Writes bytes, large ones without copying them.
   *
   * @param bytes must not change any more
   */
  void append(byte[] bytes);

  /**
   * Writes a part of an array without copying it, where the connection can do so.
   *
   * @param bytes must not change any more
   */
  default void append(byte[] bytes, int offset, int length) {
    append(Arrays.copyOfRange(bytes, offset, offset + length));
  }

  /** The number of bytes written so far. */
  long bytesWritten();

  /**
   * The number of written bytes that were handed to the system and may have left this process. No
   * peer can have read a byte beyond these.
   */
  long bytesHandedOver();

  /** Written bytes that the system has not taken yet. */
  default long unsentBytes() {
    return bytesWritten() - bytesHandedOver();
  }

  /**
   * Whether all that the system had of the peer, its close too, is passed on. Guards against acting
   * on bytes whose sender has closed its connection long ago.
   */
  default boolean isCaughtUp() {
    return true;
  }

  /**
   * Reads no more until {@link #resumeReading}. Called within {@link ConnectionListener#received}
   * it has the bytes kept that the listener left there. A close by the peer goes unnoticed
   * meanwhile. Not every kind of connection can.
   */
  default void pauseReading() {
    throw new UnsupportedOperationException("this connection can't pause");
  }

  /** Passes on the bytes that were left, if any, and reads on; does nothing unless it paused. */
  default void resumeReading() {
    throw new UnsupportedOperationException("this connection can't pause");
  }

  /** Closes once all that was written has gone out, or its time limit has passed. */
  void finish();

  /**
   * The same as {@link #finish} for a connection without a pending request, but bytes that arrive
   * before it is closed are passed on as ever and cancel the closing; {@link
   * ConnectionListener#inputEnded} may follow them. Guards against a close that crosses a request:
   * a request that was read can't be repeated elsewhere.
   */
  default void finishUnlessReceived() {
    finish();
  }

  /**
   * Closes at once, dropping what has not gone out. The listener is notified in a later turn.
   *
   * @param why the reason, passed to {@link ConnectionListener#closed}
   */
  void cut(String why);
}
