package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import sprucerock.transport.wire.v1.Hello;

/** Gets what happens on a {@link FrameConnection}, on the event loop's thread. */
public interface FrameListener {
  /**
   * The other side has greeted, in a version that is understood: frames may be sent from now on.
   * Whoever does not want it cuts the connection.
   */
  void helloReceived(FrameConnection connection, Hello other);

  /**
   * A frame came, greeting and heartbeats apart. One that has no place here is answered by a cut.
   */
  void frameReceived(FrameKind kind, MessageLite head, byte[] body);

  /** A frame came whose body was not kept, as there was no memory for it. */
  default void bodyDropped(FrameConnection connection, FrameKind kind, MessageLite head) {
    connection.cut("no memory for the body of " + kind);
  }

  /** The connection is gone, or never came up; called once. */
  void closed(String why);
}
