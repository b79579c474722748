package sprucerock.transport.net;

import java.io.ByteArrayOutputStream;
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
 * Connections and timers in memory, on a simulated clock that advances in fixed steps. In each step
 * due timers run first, then all events until none are left. Tests run on it, and so does what a
 * relay does before it opens a socket.
 *
 * <p>Not thread-safe: the thread that advances the clock is the loop thread.
 */
public class SimulatedNet implements Net {
  private static final double ROUNDING_MS = 1e-9;
  private static final int FIRST_FREE_PORT = 40_000;

  /** A timer; its action is null once cancelled. */
  private record Due(double whenMs, long order, Runnable[] action) {}

  private final PriorityQueue<Due> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.whenMs != b.whenMs
                  ? Double.compare(a.whenMs, b.whenMs)
                  : Long.compare(a.order, b.order));
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private final ArrayDeque<Runnable> turnEnd = new ArrayDeque<>();
  private final Map<Integer, SimulatedListener> listenersByPort = new HashMap<>();
  private final Map<InetSocketAddress, Datagrams.Receiver> datagramReceivers = new HashMap<>();
  private final ArrayDeque<Runnable> unreadFlushes = new ArrayDeque<>();
  private final double stepMs;
  private double nowMs;
  private long timerCount;
  private boolean connectsHang;
  private boolean nobodyReads;
  private int connectCount;

  /**
   * A network without connections.
   *
   * @param startMs what the clock shows first, in milliseconds
   * @param stepMs the length of a step, in milliseconds
   */
  public SimulatedNet(double startMs, double stepMs) {
    nowMs = startMs;
    this.stepMs = stepMs;
  }

  /** Sets whether connections begun from now on are neither established nor refused. */
  public void setConnectsHang(boolean hang) {
    connectsHang = hang;
  }

  /** Sets whether what is written stays unsent, as if no peer read; false sends what waits. */
  public void setNobodyReads(boolean unread) {
    nobodyReads = unread;
    while (!unread && !unreadFlushes.isEmpty()) {
      turn(unreadFlushes.poll());
    }
  }

  /** The number of connections begun so far. */
  public int connectCount() {
    return connectCount;
  }

  /** Lets a time in milliseconds pass, in whole steps. */
  public void pass(double ms) {
    settle();
    for (double until = nowMs + ms; nowMs < until - ROUNDING_MS; ) {
      nowMs += stepMs;
      settle();
    }
  }

  /** Lets a time in milliseconds pass in which nothing runs, as if the loop got no processor. */
  public void stall(double ms) {
    nowMs += ms;
  }

  /** Runs due timers, then events until none are left, each in a turn of its own. */
  public void settle() {
    while (!timers.isEmpty() && timers.peek().whenMs <= nowMs + ROUNDING_MS) {
      Runnable action = timers.poll().action[0];
      if (action != null) {
        turn(action);
      }
    }
    while (!events.isEmpty()) {
      turn(events.poll());
    }
  }

  /** Runs an action as a turn of its own, with what is deferred to the turn's end. */
  public void turn(Runnable action) {
    action.run();
    while (!turnEnd.isEmpty()) {
      turnEnd.poll().run();
    }
  }

  @Override
  public Timestamp now() {
    return Timestamp.ofMs(nowMs);
  }

  @Override
  public Timer at(Timestamp when, Runnable action) {
    Runnable[] slot = {action};
    timers.add(new Due(when.ms(), timerCount++, slot));
    return () -> slot[0] = null;
  }

  @Override
  public void atTurnsEnd(Runnable action) {
    turnEnd.add(action);
  }

  private final class SimulatedListener implements Listener {
    private final InetSocketAddress address;
    private final Supplier<ConnectionListener> listeners;
    private final ArrayDeque<Runnable> backlog = new ArrayDeque<>();
    private boolean accepting;

    SimulatedListener(InetSocketAddress address, Supplier<ConnectionListener> listeners) {
      this.address = address;
      this.listeners = listeners;
    }

    @Override
    public InetSocketAddress address() {
      return address;
    }

    @Override
    public void startAccepting() {
      accepting = true;
      while (!backlog.isEmpty()) {
        backlog.poll().run();
      }
    }

    @Override
    public void close() {
      listenersByPort.remove(address.getPort(), this);
    }

    private void accept(End near) {
      if (accepting) {
        join(near);
      } else {
        backlog.add(() -> join(near));
      }
    }

    private void join(End near) {
      End far = new End(listeners.get());
      near.peer = far;
      far.peer = near;
      events.add(() -> near.listener.connected(near));
      events.add(() -> far.listener.connected(far));
    }
  }

  @Override
  public Listener bind(
      InetSocketAddress address,
      int maxConnections,
      long maxUnsentBytes,
      Supplier<ConnectionListener> listeners) {
    InetSocketAddress bound =
        address.getPort() > 0
            ? address
            : new InetSocketAddress(address.getAddress(), FIRST_FREE_PORT + listenersByPort.size());
    SimulatedListener listener = new SimulatedListener(bound, listeners);
    listenersByPort.put(bound.getPort(), listener);
    return listener;
  }

  @Override
  public Connection connect(
      InetSocketAddress to, TimeSpan timeout, long maxUnsentBytes, ConnectionListener listener) {
    connectCount++;
    End near = new End(listener);
    SimulatedListener server = listenersByPort.get(to.getPort());
    if (connectsHang) {
      at(now().plus(timeout), () -> near.cut("no connection in time"));
    } else if (server == null) {
      near.cut("no connection: refused");
    } else {
      server.accept(near);
    }
    return near;
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, Datagrams.Receiver receiver) {
    datagramReceivers.put(address, receiver);
    return new Datagrams() {
      @Override
      public boolean send(InetSocketAddress to, byte[] bytes) {
        Datagrams.Receiver peer = datagramReceivers.get(to);
        if (peer != null) {
          events.add(() -> peer.received(address, bytes));
        }
        return peer != null;
      }

      @Override
      public void close() {
        datagramReceivers.remove(address, receiver);
      }
    };
  }

  /** One side of a connection. */
  public final class End implements Connection {
    private final ConnectionListener listener;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private End peer; // null until the server accepts
    private long bytesWritten;
    private long bytesHandedOver;
    private boolean closed;
    private boolean flushScheduled;
    private boolean finishing;
    private boolean paused;

    /** What came and was not passed on yet. */
    private final ArrayDeque<ByteBuffer> unread = new ArrayDeque<>();

    End(ConnectionListener listener) {
      this.listener = listener;
    }

    @Override
    public ByteBuffer reserve(int bytes) {
      ByteBuffer piece = ByteBuffer.allocate(bytes);
      add(piece);
      return piece.slice();
    }

    @Override
    public void append(byte[] bytes) {
      add(ByteBuffer.wrap(bytes));
    }

    private void add(ByteBuffer piece) {
      unsent.add(piece);
      bytesWritten += piece.capacity();
      scheduleFlush();
    }

    private void scheduleFlush() {
      if (!flushScheduled) {
        turnEnd.add(this::flush);
      }
      flushScheduled = true;
    }

    private void flush() {
      flushScheduled = false;
      if (closed) {
        return;
      }
      if (nobodyReads) {
        unreadFlushes.add(this::flush);
        return;
      }
      out.reset();
      while (!unsent.isEmpty()) {
        out.writeBytes(unsent.poll().array());
      }
      bytesHandedOver = bytesWritten;
      byte[] bytes = out.toByteArray();
      if (bytes.length > 0) {
        events.add(() -> deliver(bytes));
        events.add(this::notifyAllSent);
      }
      if (finishing) {
        cut("done");
      }
    }

    private void notifyAllSent() {
      if (!closed && unsent.isEmpty()) {
        listener.allSent();
      }
    }

    private void deliver(byte[] bytes) {
      if (peer != null) {
        peer.unread.add(ByteBuffer.wrap(bytes));
        peer.passOn();
      }
    }

    private void passOn() {
      while (!closed && !paused && !unread.isEmpty()) {
        ByteBuffer next = unread.peek();
        listener.received(next);
        if (!paused || !next.hasRemaining()) {
          unread.poll();
        }
      }
    }

    @Override
    public void pauseReading() {
      paused = true;
    }

    @Override
    public void resumeReading() {
      if (paused) {
        paused = false;
        events.add(this::readOn);
      }
    }

    /** The listener is called even without bytes: it may wait for more than these. */
    private void readOn() {
      if (!closed && !paused && unread.isEmpty()) {
        listener.received(ByteBuffer.allocate(0));
      }
      passOn();
    }

    @Override
    public long bytesWritten() {
      return bytesWritten;
    }

    @Override
    public long bytesHandedOver() {
      return bytesHandedOver;
    }

    @Override
    public void finish() {
      finishing = true;
      scheduleFlush();
    }

    @Override
    public void cut(String why) {
      if (closed) {
        return;
      }
      closed = true;
      events.add(() -> listener.closed(why));
      if (peer != null) {
        events.add(() -> peer.cut("closed by the other side"));
      }
    }
  }
}
