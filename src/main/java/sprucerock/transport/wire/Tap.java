package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;

/** Sees every frame that crosses a link, as it is handed over or has come in. */
public interface Tap {
  Tap NONE =
      new Tap() {
        @Override
        public void frame(FrameConnection link, boolean out, Kind kind, MessageLite head, byte[] body) {}

        @Override
        public void closed(FrameConnection link, String why) {}
      };

  void frame(FrameConnection link, boolean out, Kind kind, MessageLite head, byte[] body);

  void closed(FrameConnection link, String why);
}
