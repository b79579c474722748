package sprucerock.compat;

import com.google.protobuf.Message;
import com.google.protobuf.MessageLite;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.Timers;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameReader;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.MalformedFrameException;
import sprucerock.transport.wire.v1.Hello;

/**
 * The relay protocol's own codec without a network: frames to bytes and to lines of a trace, and
 * bytes to frames.
 */
final class FrameRecorder {
  static final int MOST_BYTES = 1 << 20;
  private static final FrameLimits LIMITS =
      new FrameLimits(MOST_BYTES, MOST_BYTES, TimeSpan.ofMs(1000));
  private static final byte[] NO_BODY = {};

  /** A frame that was read. */
  record Frame(FrameKind kind, Message head, byte[] body) {}

  private FrameRecorder() {}

  static List<Frame> decode(byte[] bytes) throws MalformedFrameException {
    List<Frame> frames = new ArrayList<>();
    new FrameReader(MOST_BYTES)
        .feed(
            ByteBuffer.wrap(bytes),
            (kind, head, body) -> frames.add(new Frame(kind, (Message) head, body)));
    return frames;
  }

  /** The bytes that a link sends for a frame. */
  static byte[] encode(FrameKind kind, MessageLite head, byte[] body) {
    ManualTimers timers = new ManualTimers();
    CapturedLink captured = new CapturedLink();
    FrameConnection connection =
        new FrameConnection(timers, Hello.getDefaultInstance(), LIMITS, FrameTap.NONE, NOBODY);
    connection.connected(captured);
    captured.pieces.clear();
    // its greeting
    connection.send(kind, head, body);
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    for (byte[] piece : captured.pieces) {
      sent.writeBytes(piece);
    }
    return sent.toByteArray();
  }

  /** The line of a trace for a frame that was received, without its time. */
  static String traceLine(Frame frame) throws IOException {
    Path folder = Files.createTempDirectory("trace");
    try {
      Path file = folder.resolve("one.trace");
      ManualTimers timers = new ManualTimers();
      TraceWriter writer = new TraceWriter(timers, file, "relay-1");
      FrameConnection connection =
          new FrameConnection(timers, Hello.getDefaultInstance(), LIMITS, FrameTap.NONE, NOBODY);
      writer.frame(connection, false, frame.kind, frame.head, frame.body);
      timers.endTurn();
      String line = Files.readString(file);
      return line.substring(line.indexOf('\t') + 1, line.lastIndexOf('\n'));
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  private static final FrameListener NOBODY =
      new FrameListener() {
        @Override
        public void helloReceived(FrameConnection connection, Hello other) {}

        @Override
        public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {}

        @Override
        public void closed(String why) {}
      };

  /** Timers whose clock stands still; the end of the turn comes when it is called for. */
  private static final class ManualTimers implements Timers {
    private final List<Runnable> atTurnsEnd = new ArrayList<>();

    @Override
    public Timestamp now() {
      return Timestamp.ofMs(0);
    }

    @Override
    public Timer at(Timestamp when, Runnable what) {
      return () -> {};
    }

    @Override
    public void atTurnsEnd(Runnable what) {
      atTurnsEnd.add(what);
    }

    void endTurn() {
      atTurnsEnd.forEach(Runnable::run);
      atTurnsEnd.clear();
    }
  }

  /** A connection that keeps what is written to it. */
  private static final class CapturedLink implements Connection {
    private final List<byte[]> pieces = new ArrayList<>();

    @Override
    public ByteBuffer reserve(int bytes) {
      byte[] piece = new byte[bytes];
      pieces.add(piece);
      return ByteBuffer.wrap(piece);
    }

    @Override
    public void append(byte[] bytes) {
      pieces.add(bytes);
    }

    @Override
    public long bytesWritten() {
      return 0;
    }

    @Override
    public long bytesHandedOver() {
      return 0;
    }

    @Override
    public void finish() {}

    @Override
    public void cut(String why) {}
  }

  static byte[] noBody() {
    return NO_BODY;
  }
}
