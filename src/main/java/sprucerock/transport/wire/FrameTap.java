package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;

/** Sees every frame that crosses a link, as it is handed over or has come in. */
public interface FrameTap {
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

  void frame(
      FrameConnection connection, boolean out, FrameKind kind, MessageLite head, byte[] body);

  void closed(FrameConnection connection, String why);
}
