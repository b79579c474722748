package sprucerock.transport.tls;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers;

/**
 * Two ends of a wire in memory, with a clock that stands still until told; what crosses can be cut
 * up, changed and lost.
 */
final class Pipe implements Timers {
  /** One side. */
  final class End implements Connection {
    final ArrayDeque<byte[]> out = new ArrayDeque<>();
    private final List<ByteBuffer> claimed = new ArrayList<>();
    ConnectionListener user;
    End other;
    String cut;
    boolean finishing;
    long written;
    long handed;

    @Override
    public ByteBuffer reserve(int bytes) {
      ByteBuffer room = ByteBuffer.allocate(bytes);
      claimed.add(room);
      written += bytes;
      return room.duplicate();
    }

    @Override
    public void append(byte[] bytes) {
      claimed.add(ByteBuffer.wrap(bytes));
      written += bytes.length;
    }

    void flush() {
      ByteArrayOutputStream all =
          new ByteArrayOutputStream(); // a system does not keep apart what was written apart
      for (ByteBuffer one : claimed) {
        all.writeBytes(one.array());
      }
      if (all.size() > 0) {
        out.add(all.toByteArray());
      }
      claimed.clear();
      handed = written;
    }

    @Override
    public long bytesWritten() {
      return written;
    }

    @Override
    public long bytesHandedOver() {
      return handed;
    }

    @Override
    public void finish() {
      finishing = true;
    }

    @Override
    public void cut(String why) {
      if (cut != null) {
        return;
      }
      cut = why;
      claimed.clear();
      putOff.add(() -> user.closed(why));
      putOff.add(() -> other.cut("closed by the other side"));
    }
  }

  /** A user that keeps what it is told. */
  static final class Ear implements ConnectionListener {
    final ByteArrayOutputStream heard = new ByteArrayOutputStream();
    Connection connection;
    String closed;

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      while (bytes.hasRemaining()) {
        heard.write(bytes.get());
      }
    }

    @Override
    public void closed(String why) {
      if (closed != null) {
        throw new AssertionError("told twice: " + closed + ", " + why);
      }
      closed = why;
    }

    String text() {
      return heard.toString(java.nio.charset.StandardCharsets.UTF_8);
    }
  }

  final End near = new End();
  final End far = new End();
  private final ArrayDeque<Runnable> putOff = new ArrayDeque<>();
  private final ArrayDeque<Runnable> aside = new ArrayDeque<>();
  private final List<Object[]> timers = new ArrayList<>();
  private double nowMs;

  /** Work aside is refused while this is set. */
  boolean asideFull;

  /** How many bytes of so many come next. */
  IntUnaryOperator split = length -> Math.min(length, 16 * 1024); // as a loop reads

  /**
   * Place of a byte, counted over what the far side gets, that is changed on its way; -1 for none.
   */
  long flips = -1;

  long crossed;

  /** What the far side got. */
  final ByteArrayOutputStream sent = new ByteArrayOutputStream();

  final Counts counts = new Counts();
  TimeSpan within = TimeSpan.ofMs(1000);

  static final class Counts implements Counter {
    int begun;
    int full;
    int resumed;
    final List<Refusal> refused = new ArrayList<>();

    @Override
    public void begun() {
      begun++;
    }

    @Override
    public void done(boolean again) {
      if (again) {
        resumed++;
      } else {
        full++;
      }
    }

    @Override
    public void refused(Refusal why) {
      refused.add(why);
    }
  }

  Pipe() {
    near.other = far;
    far.other = near;
  }

  TlsConnection.Place place() {
    return new TlsConnection.Place(
        this,
        new Buffers(),
        (work, done) -> {
          if (asideFull) {
            return false;
          }
          aside.add(
              () -> {
                work.run();
                done.run();
              });
          return true;
        },
        within,
        counts);
  }

  void up(ConnectionListener client, ConnectionListener server) {
    near.user = client;
    far.user = server;
    client.connected(near);
    server.connected(far);
  }

  /** Until nothing moves. */
  void settle() {
    boolean moved = true;
    while (moved) {
      moved = false;
      while (!putOff.isEmpty()) {
        putOff.poll().run();
      }
      near.flush();
      far.flush();
      moved |= carry(near) | carry(far);
      Runnable work = aside.poll();
      if (work != null) {
        work.run();
      }
      moved |= work != null || !putOff.isEmpty();
    }
  }

  private boolean carry(End from) {
    byte[] piece = from.out.poll();
    if (piece == null) {
      if (!from.finishing || from.cut != null) {
        return false;
      }
      from.cut("done");
      return true;
    }
    int many = Math.max(1, Math.min(piece.length, split.applyAsInt(piece.length)));
    if (many < piece.length) {
      from.out.addFirst(java.util.Arrays.copyOfRange(piece, many, piece.length));
    }
    byte[] part = java.util.Arrays.copyOf(piece, many);
    if (from == near) {
      if (flips >= crossed && flips < crossed + many) {
        part[(int) (flips - crossed)] ^= 1;
      }
      crossed += many;
      sent.writeBytes(part);
    }
    if (from.other.cut == null) {
      from.other.user.received(ByteBuffer.wrap(part));
    }
    return true;
  }

  void pass(double ms) {
    nowMs += ms;
    for (Object[] timer : List.copyOf(timers)) {
      if ((double) timer[0] > nowMs || timer[1] == null) {
        continue;
      }
      Runnable what = (Runnable) timer[1];
      timer[1] = null;
      what.run();
    }
    settle();
  }

  @Override
  public Timestamp now() {
    return Timestamp.ofMs(nowMs);
  }

  @Override
  public Timer at(Timestamp when, Runnable what) {
    Object[] timer = {when.ms(), what};
    timers.add(timer);
    return () -> timer[1] = null;
  }

  @Override
  public void atTurnsEnd(Runnable what) {
    putOff.add(what);
  }

  static Instant day(int days) {
    return Instant.now().plus(java.time.Duration.ofDays(days));
  }
}
