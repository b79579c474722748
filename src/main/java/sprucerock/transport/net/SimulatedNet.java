package sprucerock.transport.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Links and timers in memory, in steps of a fixed length: due timers first, then all that moves
 * until nothing does. Tests run on it, and what a relay does before it opens a socket.
 */
public class SimulatedNet implements Net {
  private record Due(double whenMs, long order, Runnable[] what) {}

  private final PriorityQueue<Due> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.whenMs != b.whenMs
                  ? Double.compare(a.whenMs, b.whenMs)
                  : Long.compare(a.order, b.order));
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final ArrayDeque<Runnable> putOff = new ArrayDeque<>();
  private final Map<Integer, Door> doors = new HashMap<>();
  private final double stepMs;
  private double nowMs;
  private long made;
  private boolean setConnectsHang;
  private boolean setNobodyReads;
  private final ArrayDeque<Runnable> unread = new ArrayDeque<>();
  private int connectCount;

  public SimulatedNet(double startMs, double stepMs) {
    nowMs = startMs;
    this.stepMs = stepMs;
  }

  /** Whether connections that are begun stay in the making. */
  public void setConnectsHang(boolean all) {
    setConnectsHang = all;
  }

  /** Whether what is written stays unsent, as where nobody reads. */
  public void setNobodyReads(boolean all) {
    setNobodyReads = all;
    while (!all && !unread.isEmpty()) {
      turn(unread.poll());
    }
  }

  /** How many connections were begun. */
  public int connectCount() {
    return connectCount;
  }

  /** Lets that time pass, in whole steps. */
  public void pass(double ms) {
    settle();
    for (double until = nowMs + ms; nowMs < until - 1e-9; ) {
      nowMs += stepMs;
      settle();
    }
  }

  /** Time passes, and nothing is done: as where the loop's thread got no processor. */
  public void stall(double ms) {
    nowMs += ms;
  }

  public void settle() {
    while (!timers.isEmpty() && timers.peek().whenMs <= nowMs + 1e-9) {
      Runnable what = timers.poll().what[0];
      if (what != null) {
        turn(what);
      }
    }
    while (!events.isEmpty()) {
      turn(events.poll());
    }
  }

  /** Does it as an event of its own, with its turn's end. */
  public void turn(Runnable what) {
    what.run();
    while (!putOff.isEmpty()) {
      putOff.poll().run();
    }
  }

  @Override
  public Timestamp now() {
    return Timestamp.ofMs(nowMs);
  }

  @Override
  public Timer at(Timestamp when, Runnable what) {
    Runnable[] slot = {what};
    timers.add(new Due(when.ms(), made++, slot));
    return () -> slot[0] = null;
  }

  @Override
  public void atTurnsEnd(Runnable what) {
    putOff.add(what);
  }

  private final class Door implements Listener {
    private final InetSocketAddress at;
    private final Supplier<ConnectionListener> users;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private boolean taking;

    Door(InetSocketAddress at, Supplier<ConnectionListener> users) {
      this.at = at;
      this.users = users;
    }

    @Override
    public InetSocketAddress address() {
      return at;
    }

    @Override
    public void startAccepting() {
      taking = true;
      while (!queue.isEmpty()) {
        queue.poll().run();
      }
    }

    @Override
    public void close() {
      doors.remove(at.getPort(), this);
    }
  }

  @Override
  public Listener bind(
      InetSocketAddress at, int most, long mostUnsent, Supplier<ConnectionListener> users) {
    InetSocketAddress there =
        at.getPort() > 0 ? at : new InetSocketAddress(at.getAddress(), 40_000 + doors.size());
    Door door = new Door(there, users);
    doors.put(there.getPort(), door);
    return door;
  }

  @Override
  public Connection connect(
      InetSocketAddress to, TimeSpan within, long mostUnsent, ConnectionListener user) {
    connectCount++;
    End near = new End(user);
    Door door = doors.get(to.getPort());
    if (setConnectsHang) {
      at(now().plus(within), () -> near.cut("no connection in time"));
    } else if (door == null) {
      near.cut("no connection: refused");
    } else {
      if (door.taking) {
        join(near, door);
      } else {
        door.queue.add(() -> join(near, door));
      }
    }
    return near;
  }

  private final Map<InetSocketAddress, Datagrams.Receiver> datagrams = new HashMap<>();

  @Override
  public Datagrams datagrams(InetSocketAddress at, Datagrams.Receiver user) {
    datagrams.put(at, user);
    return new Datagrams() {
      @Override
      public boolean send(InetSocketAddress to, byte[] bytes) {
        Datagrams.Receiver other = datagrams.get(to);
        if (other != null) {
          events.add(() -> other.received(at, bytes));
        }
        return other != null;
      }

      @Override
      public void close() {
        datagrams.remove(at, user);
      }
    };
  }

  private void join(End near, Door door) {
    End far = new End(door.users.get());
    near.other = far;
    far.other = near;
    events.add(() -> near.user.connected(near));
    events.add(() -> far.user.connected(far));
  }

  /** One side of a connection. */
  public final class End implements Connection {
    private final ConnectionListener user;
    private End other;
    private final java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> claimed = new ArrayDeque<>();
    private long written;
    private long handed;
    private boolean closed;
    private boolean marked;
    private boolean finishing;

    End(ConnectionListener user) {
      this.user = user;
    }

    @Override
    public ByteBuffer reserve(int bytes) {
      ByteBuffer room = ByteBuffer.allocate(bytes);
      add(room);
      return room.slice();
    }

    @Override
    public void append(byte[] bytes) {
      add(ByteBuffer.wrap(bytes));
    }

    private void add(ByteBuffer piece) {
      claimed.add(piece);
      written += piece.capacity();
      mark();
    }

    private void mark() {
      if (!marked) {
        putOff.add(this::flush);
      }
      marked = true;
    }

    private void flush() {
      marked = false;
      if (closed) {
        return;
      }
      if (setNobodyReads) {
        unread.add(this::flush);
        return;
      }
      out.reset();
      while (!claimed.isEmpty()) {
        out.writeBytes(claimed.poll().array());
      }
      handed = written;
      byte[] bytes = out.toByteArray();
      if (bytes.length > 0) {
        events.add(
            () -> {
              if (other != null && !other.closed) {
                other.user.received(ByteBuffer.wrap(bytes));
              }
            });
      }
      if (finishing) {
        cut("done");
      }
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
      mark();
    }

    @Override
    public void cut(String why) {
      if (closed) {
        return;
      }
      closed = true;
      events.add(() -> user.closed(why));
      if (other != null) {
        events.add(() -> other.cut("closed by the other side"));
      }
    }
  }
}
