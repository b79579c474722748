package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;

/** Sees every frame of a connection, as it is sent or was received; for traces and tests. */
public interface FrameTap {
  /** Ignores all frames. */
  FrameTap NONE =
      new FrameTap() {
        @Override
        public void frame(
            FrameConnection connection,
            boolean out,
            FrameKind kind,
            MessageLite head,
            byte[] body) {}

        @Override
        public void closed(FrameConnection connection, String why) {}
      };

  /** A frame is sent ({@code out}) or was received; called before it is acted on. */
  void frame(
      FrameConnection connection, boolean out, FrameKind kind, MessageLite head, byte[] body);

  /** The connection is gone, for that reason. */
  void closed(FrameConnection connection, String why);
}
