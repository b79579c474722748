package sprucerock.transport.wire;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Timers;
import sprucerock.transport.wire.v1.Beat;
import sprucerock.transport.wire.v1.Hello;

/**
 * One connection in this protocol: frames in both directions, the greeting, and heartbeats that
 * show that the other side lives. Whatever breaks the protocol closes it with a reason. For the
 * event loop's thread.
 */
public final class FrameConnection implements ConnectionListener {
  /** The protocol's version that is spoken here. */
  public static final int VERSION = 1;

  /** The oldest version that is still understood. */
  private static final int OLDEST_VERSION = 1;

  /** Up to this size one copy is cheaper than one more piece to be written. */
  private static final int MAX_COPIED_BODY_BYTES = 4096;

  // in heartbeat intervals, a little less than three and one, as timers may be late
  private static final double SILENCE_LIMIT = 2.9;
  private static final double QUIET_LIMIT = 0.9;

  private final Timers timers;
  private final Hello localHello;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final FrameListener listener;
  private final FrameReader reader;
  private Connection connection;
  private Hello remoteHello;
  private Timestamp lastReceived;
  private boolean isClosed;
  private String cutReason;

  /**
   * A connection that greets once it is up.
   *
   * @param localHello the greeting that is sent
   * @param tap sees every frame
   * @param listener gets the frames, greeting and heartbeats apart
   */
  public FrameConnection(
      Timers timers, Hello localHello, FrameLimits limits, FrameTap tap, FrameListener listener) {
    this(timers, localHello, limits, MemoryLimit.none(), tap, listener);
  }

  /**
   * The same.
   *
   * @param memory what incomplete frames of several connections may hold together
   */
  public FrameConnection(
      Timers timers,
      Hello localHello,
      FrameLimits limits,
      MemoryLimit memory,
      FrameTap tap,
      FrameListener listener) {
    this.timers = timers;
    this.localHello = localHello;
    this.limits = limits;
    this.tap = tap;
    this.listener = listener;
    reader = new FrameReader(limits.maxFrameBytes(), memory);
  }

  /** The other side's greeting; null before it came. */
  public Hello remoteHello() {
    return remoteHello;
  }

  /** Whether both sides have greeted and the connection is open. */
  public boolean isReady() {
    return remoteHello != null && !isClosed;
  }

  /** Bytes written that the system has not taken yet, as the other side does not read them. */
  public long unsentBytes() {
    return connection == null ? 0 : connection.bytesWritten() - connection.bytesHandedOver();
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    lastReceived = timers.now();
    if (isClosed) {
      // cut while it came up
      connection.cut(cutReason);
      return;
    }
    send(FrameKind.HELLO, localHello, FrameReader.NO_BODY);
    timers.at(lastReceived.plus(limits.heartbeat()), this::checkHeartbeat);
  }

  private void checkHeartbeat() {
    if (isClosed) {
      return;
    }
    Timestamp now = timers.now();
    if (now.since(lastReceived).over(limits.heartbeat().times(SILENCE_LIMIT))) {
      cut(remoteHello == null ? "did not greet" : "silent");
      return;
    }
    if (remoteHello != null
        && now.since(lastReceived).over(limits.heartbeat().times(QUIET_LIMIT))) {
      send(FrameKind.BEAT, Beat.getDefaultInstance(), FrameReader.NO_BODY);
    }
    timers.at(now.plus(limits.heartbeat()), this::checkHeartbeat);
  }

  /** The size of a frame on the wire, in bytes. */
  public static int wireSize(MessageLite head, byte[] body) {
    return FrameReader.PREFIX_BYTES + head.getSerializedSize() + body.length;
  }

  /**
   * Sends a frame; nothing happens on a closed connection.
   *
   * @return a mark for {@link #mayHaveBeenSent}
   */
  public long send(FrameKind kind, MessageLite head, byte[] body) {
    if (isClosed || connection == null) {
      return Long.MAX_VALUE;
    }
    tap.frame(this, true, kind, head, body);
    final long mark = connection.bytesWritten();
    int size = head.getSerializedSize();
    boolean isCopied = body.length <= MAX_COPIED_BODY_BYTES;
    ByteBuffer buffer =
        connection.reserve(FrameReader.PREFIX_BYTES + size + (isCopied ? body.length : 0));
    buffer
        .putInt(FrameReader.PREFIX_BYTES - FrameReader.LENGTH_BYTES + size + body.length)
        .putInt(kind.code << FrameReader.KIND_SHIFT | size);
    try {
      CodedOutputStream out =
          CodedOutputStream.newInstance(buffer.slice(FrameReader.PREFIX_BYTES, size));
      head.writeTo(out);
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
      // cannot be: the buffer has the size that the head stated
    }
    if (isCopied) {
      buffer.put(FrameReader.PREFIX_BYTES + size, body);
    } else {
      connection.append(body);
    }
    return mark;
  }

  /**
   * Whether the other side may have read the frame of a mark: false only where not one byte of it
   * has left this process.
   */
  public boolean mayHaveBeenSent(long mark) {
    return connection != null && connection.bytesHandedOver() > mark;
  }

  @Override
  public void received(ByteBuffer bytes) {
    lastReceived = timers.now();
    try {
      reader.feed(bytes, frames);
    } catch (MalformedFrameException e) {
      cut("not this protocol: " + e.getMessage());
    }
  }

  private final FrameReader.Sink frames =
      new FrameReader.Sink() {
        @Override
        public void frame(FrameKind kind, MessageLite head, byte[] body) {
          frameReceived(kind, head, body);
        }

        @Override
        public void frameWithoutBody(FrameKind kind, MessageLite head) {
          bodyDropped(kind, head);
        }
      };

  private void bodyDropped(FrameKind kind, MessageLite head) {
    if (isClosed) {
      return;
    }
    tap.frame(this, false, kind, head, FrameReader.NO_BODY);
    if (remoteHello == null) {
      cut("sent " + kind + " before its greeting");
    } else {
      listener.bodyDropped(this, kind, head);
    }
  }

  private void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (isClosed) {
      return;
    }
    tap.frame(this, false, kind, head, body);
    if (kind == FrameKind.HELLO) {
      Hello hello = (Hello) head;
      if (remoteHello != null) {
        cut("greeted twice");
      } else if (versionMismatch(hello) != null) {
        cut(versionMismatch(hello));
      } else {
        remoteHello = hello;
        listener.helloReceived(this, hello);
      }
    } else if (remoteHello == null) {
      cut("sent " + kind + " before its greeting");
    } else if (kind == FrameKind.BEAT) {
      if (!((Beat) head).getAnswer()) {
        send(FrameKind.BEAT, Beat.newBuilder().setAnswer(true).build(), FrameReader.NO_BODY);
      }
    } else {
      listener.frameReceived(kind, head, body);
    }
  }

  /**
   * Why the other side's versions do not overlap with those spoken here; null where they do: then
   * the lower of the two newest is spoken.
   */
  static String versionMismatch(Hello hello) {
    int oldest = hello.getOldest() == 0 ? hello.getVersion() : hello.getOldest();
    if (hello.getVersion() >= OLDEST_VERSION && oldest <= VERSION) {
      return null;
    }
    return "speaks versions "
        + oldest
        + " to "
        + hello.getVersion()
        + ", here "
        + OLDEST_VERSION
        + " to "
        + VERSION
        + " are spoken";
  }

  /** Closes at once; the listener is told later, as of any other end. */
  public void cut(String why) {
    if (isClosed) {
      return;
    }
    isClosed = true;
    cutReason = why;
    if (connection != null) {
      connection.cut(why);
    }
  }

  /** Closes once all that was sent has gone out. */
  public void finish() {
    if (connection != null) {
      connection.finish();
    } else {
      cut("not wanted any more");
    }
  }

  @Override
  public void closed(String why) {
    isClosed = true;
    reader.close();
    String reason = reader.hasPartialFrame() && cutReason == null ? why + ", within a frame" : why;
    tap.closed(this, reason);
    listener.closed(reason);
  }
}
