package sprucerock.transport.wire;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers;
import sprucerock.transport.wire.v1.Beat;
import sprucerock.transport.wire.v1.Hello;

/**
 * One connection in this protocol: frames in and out, the greeting, and beats that keep it and show
 * that it lives. Whatever is not the protocol cuts it with a reason.
 */
public final class FrameConnection implements ConnectionListener {
  /** Of this protocol; the oldest that is still understood. */
  public static final int VERSION = 1;

  private static final int OLDEST = 1;
  private static final int COPIED_BODY = 4096;
  // up to here one copy is cheaper than one more piece to be written

  private final Timers timers;
  private final Hello mine;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final FrameListener user;
  private final FrameReader reader;
  private Connection connection;
  private Hello remoteHello;
  private Timestamp heard;
  private boolean closed;
  private String whyCut;

  public FrameConnection(
      Timers timers, Hello mine, FrameLimits limits, FrameTap tap, FrameListener user) {
    this.timers = timers;
    this.mine = mine;
    this.limits = limits;
    this.tap = tap;
    this.user = user;
    reader = new FrameReader(limits.maxFrameBytes());
  }

  /** What the other side said it is; null before it did. */
  public Hello remoteHello() {
    return remoteHello;
  }

  /** Both sides have greeted, and it is not closed. */
  public boolean isReady() {
    return remoteHello != null && !closed;
  }

  /** Bytes that wait for the other side to read, or for the connection to come up. */
  public long unsentBytes() {
    return connection == null ? 0 : connection.bytesWritten() - connection.bytesHandedOver();
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    heard = timers.now();
    if (closed) {
      // cut while it came up
      connection.cut(whyCut);
      return;
    }
    send(FrameKind.HELLO, mine, FrameReader.NO_BODY);
    timers.at(heard.plus(limits.heartbeat()), this::beat);
  }

  private void beat() {
    if (closed) {
      return;
    }
    Timestamp now = timers.now();
    if (now.since(heard).over(limits.heartbeat().times(2.9))) {
      cut(remoteHello == null ? "did not greet" : "silent");
      return;
    }
    if (remoteHello != null && now.since(heard).over(limits.heartbeat().times(0.9))) {
      send(FrameKind.BEAT, Beat.getDefaultInstance(), FrameReader.NO_BODY);
    }
    timers.at(now.plus(limits.heartbeat()), this::beat);
  }

  /** Bytes of a frame on the wire. */
  public static int wireSize(MessageLite head, byte[] body) {
    return FrameReader.START + head.getSerializedSize() + body.length;
  }

  /** Sends a frame; returns a mark for {@link #mayHaveLeft}. On a closed link nothing happens. */
  public long send(FrameKind kind, MessageLite head, byte[] body) {
    if (closed || connection == null) {
      return Long.MAX_VALUE;
    }
    tap.frame(this, true, kind, head, body);
    long mark = connection.bytesWritten();
    int size = head.getSerializedSize();
    boolean copied = body.length <= COPIED_BODY;
    ByteBuffer room = connection.reserve(FrameReader.START + size + (copied ? body.length : 0));
    room.putInt(FrameReader.START - 4 + size + body.length).putInt(kind.code << 24 | size);
    try {
      CodedOutputStream out = CodedOutputStream.newInstance(room.slice(FrameReader.START, size));
      head.writeTo(out);
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
      // the room has the size that the head told
    }
    if (copied) {
      room.put(FrameReader.START + size, body);
    } else {
      connection.append(body);
    }
    return mark;
  }

  /**
   * False only where not one byte of that frame has left this process, so that nobody can have read
   * it.
   */
  public boolean mayHaveBeenSent(long mark) {
    return connection != null && connection.bytesHandedOver() > mark;
  }

  @Override
  public void received(ByteBuffer bytes) {
    heard = timers.now();
    try {
      reader.feed(bytes, this::frame);
    } catch (MalformedFrameException e) {
      cut("not this protocol: " + e.getMessage());
    }
  }

  private void frame(FrameKind kind, MessageLite head, byte[] body) {
    if (closed) {
      return;
    }
    tap.frame(this, false, kind, head, body);
    if (kind == FrameKind.HELLO) {
      Hello hello = (Hello) head;
      if (remoteHello != null) {
        cut("greeted twice");
      } else if (tooFar(hello) != null) {
        cut(tooFar(hello));
      } else {
        remoteHello = hello;
        user.helloReceived(this, hello);
      }
    } else if (remoteHello == null) {
      cut("sent " + kind + " before its greeting");
    } else if (kind == FrameKind.BEAT) {
      if (!((Beat) head).getAnswer()) {
        send(FrameKind.BEAT, Beat.newBuilder().setAnswer(true).build(), FrameReader.NO_BODY);
      }
    } else {
      user.frameReceived(kind, head, body);
    }
  }

  /**
   * Null where both sides have a version in common: the lower of their newest is spoken. Else why
   * not.
   */
  static String tooFar(Hello hello) {
    int oldest = hello.getOldest() == 0 ? hello.getVersion() : hello.getOldest();
    if (hello.getVersion() >= OLDEST && oldest <= VERSION) {
      return null;
    }
    return "speaks versions "
        + oldest
        + " to "
        + hello.getVersion()
        + ", here "
        + OLDEST
        + " to "
        + VERSION
        + " are spoken";
  }

  /** Closes at once; the user is told later, like for any other end. */
  public void cut(String why) {
    if (closed) {
      return;
    }
    closed = true;
    whyCut = why;
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
    closed = true;
    String told = reader.hasPartialFrame() && whyCut == null ? why + ", within a frame" : why;
    tap.closed(this, told);
    user.closed(told);
  }
}
