package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import sprucerock.transport.wire.v1.Hello;

/** Who talks over a {@link FrameConnection}. */
public interface FrameListener {
  /**
   * The other side said who it is, in this protocol's version; frames may be sent. A cut refuses
   * it.
   */
  void helloReceived(FrameConnection connection, Hello other);

  /** A frame other than greetings and beats. One that has no place here is answered with a cut. */
  void frameReceived(FrameKind kind, MessageLite head, byte[] body);

  /** The link is gone, or never came up; told once. */
  void closed(String why);
}
