package sprucerock.transport.net;

import java.nio.ByteBuffer;

/**
 * A connection. What is written in a turn goes out together at its end, in order. A peer that does
 * not read is cut off as soon as more than the stated bytes wait for it: nothing else is held up.
 */
public interface Connection {
  /**
   * Room for the next so many bytes, which the caller fills before its turn ends. Takes no large
   * pieces: see below.
   */
  ByteBuffer reserve(int bytes);

  /**
   * The same for bytes that are there already; they are not copied and must not change any more.
   */
  void append(byte[] bytes);

  /** How many bytes were written to it so far. */
  long bytesWritten();

  /**
   * How many of those may have left this process; none after them can have been read by anybody.
   */
  long bytesHandedOver();

  /** Closes once all that was written has gone out, or its limit of time is over. */
  void finish();

  /**
   * The same for a connection on which nothing is being asked: what is read before it is closed is
   * told to the user as ever and takes the closing back. Guards against a close that crosses a
   * request: what was read can't be asked for elsewhere.
   */
  default void finishUnlessReceived() {
    finish();
  }

  /** Closes at once; the user is told, in a later turn, for this reason. */
  void cut(String why);
}
