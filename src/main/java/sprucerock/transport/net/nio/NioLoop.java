package sprucerock.transport.net.nio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Datagrams;
import sprucerock.transport.net.Net;

/**
 * One thread that runs everything of a relay, over NIO.2's asynchronous channels. The channels' own
 * thread waits for the system and reads; it hands each completion to this loop's queue, the only
 * thing that crosses threads here.
 *
 * <p>A turn: due timers, the completions there were at its start, what was put off to its end, then
 * one gathered write a link. The queue holds no more than the completions that are out, two a link,
 * and what {@link #post} brings.
 */
public final class NioLoop implements Net, AutoCloseable {
  private static final int CHUNK = 16 * 1024;
  private static final int KEPT_CHUNKS = 1024;
  private static final TimeSpan QUIET_WITHIN =
      TimeSpan.ofMs(100); // a loop that is never idle closes what is to be closed all the same

  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean sleeping = new AtomicBoolean();
  private final TimerWheel timers = new TimerWheel();
  private final ArrayDeque<Runnable> putOff = new ArrayDeque<>();
  private final List<NioConnection> dirty = new ArrayList<>();
  private final List<Runnable> whenQuiet = new ArrayList<>();
  private Timestamp quietBy;
  private final ArrayDeque<ByteBuffer> chunks = new ArrayDeque<>();
  private final AsynchronousChannelGroup group;
  private final Thread thread;
  private final Consumer<Throwable> broken;
  private final long origin = System.nanoTime();
  private volatile boolean stopped;
  private Timestamp now = Timestamp.ofMs(0);
  private Timestamp before = now;

  /** Starts a loop; what throws in it ends up with {@code broken}, and the loop goes on. */
  public NioLoop(String name, Consumer<Throwable> broken) throws IOException {
    this.broken = broken;
    group = AsynchronousChannelGroup.withThreadPool(new Completions());
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** What the channels' thread calls to have a completion handled. */
  private final class Completions extends AbstractExecutorService {
    private volatile boolean shut;

    @Override
    public void execute(Runnable task) {
      post(task);
    }

    @Override
    public void shutdown() {
      shut = true;
    }

    @Override
    public List<Runnable> shutdownNow() {
      shut = true;
      return List.of();
    }

    @Override
    public boolean isShutdown() {
      return shut;
    }

    @Override
    public boolean isTerminated() {
      return shut;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit endpoint) {
      return shut;
    }
  }

  /** From any thread: runs {@code task} on the loop's. */
  public void post(Runnable task) {
    tasks.add(task);
    if (sleeping.get() && sleeping.compareAndSet(true, false)) {
      LockSupport.unpark(thread);
    }
  }

  private void run() {
    while (!stopped) {
      before = now;
      now = readClock();
      timers.run(now.ms(), this::guarded);
      // not more than a turn's worth: timers and writes must get their turn under any load
      for (int i = 0; i < 512; i++) {
        Runnable task = tasks.poll();
        if (task == null) {
          break;
        }
        guarded(task);
      }
      while (!putOff.isEmpty()) {
        guarded(putOff.poll());
      }
      for (int i = 0; i < dirty.size(); i++) {
        guarded(dirty.get(i)::flush);
      }
      dirty.clear();
      if (!whenQuiet.isEmpty() && (tasks.isEmpty() || now.after(quietBy))) {
        quiet();
      }
      if (tasks.isEmpty()) {
        sleep();
      }
    }
  }

  private void quiet() {
    List<Runnable> due = new ArrayList<>(whenQuiet);
    whenQuiet.clear();
    due.forEach(this::guarded);
  }

  /**
   * Runs it at the end of a turn behind which no completion waits; at the latest some turns after
   * {@link #QUIET_WITHIN}.
   */
  void whenQuiet(Runnable what) {
    if (whenQuiet.isEmpty()) {
      quietBy = now.plus(QUIET_WITHIN);
    }
    whenQuiet.add(what);
  }

  private void sleep() {
    double ms = timers.next() - readClock().ms();
    if (ms <= 0) {
      return;
    }
    sleeping.set(true);
    if (tasks.isEmpty() && !stopped) {
      LockSupport.parkNanos(this, (long) (Math.min(ms, 1000) * 1e6));
    }
    sleeping.set(false);
  }

  /** From any thread. */
  @Override
  public Timestamp readClock() {
    return Timestamp.ofMs((System.nanoTime() - origin) / 1e6);
  }

  /** Microseconds on the machine's monotonic clock, which its processes share: for traces. */
  public static long monotonicMicros() {
    return System.nanoTime() / 1000;
  }

  private void guarded(Runnable what) {
    try {
      what.run();
    } catch (RuntimeException | Error e) {
      broken.accept(e);
    }
  }

  @Override
  public Timestamp now() {
    return now;
  }

  @Override
  public Timestamp previousTurnStart() {
    return before;
  }

  @Override
  public Timer at(Timestamp when, Runnable what) {
    return timers.add(when.ms(), what);
  }

  @Override
  public void atTurnsEnd(Runnable what) {
    putOff.add(what);
  }

  void dirty(NioConnection connection) {
    dirty.add(connection);
  }

  ByteBuffer chunk(int bytes) {
    if (bytes > CHUNK) {
      return ByteBuffer.allocate(bytes);
    }
    ByteBuffer kept = chunks.poll();
    return kept != null ? kept : ByteBuffer.allocateDirect(CHUNK);
  }

  void giveBack(ByteBuffer chunk) {
    if (chunk.capacity() != CHUNK || !chunk.isDirect() || chunks.size() >= KEPT_CHUNKS) {
      return;
    }
    chunks.add(chunk.clear());
  }

  @Override
  public Connection connect(
      InetSocketAddress to, TimeSpan within, long mostUnsent, ConnectionListener user) {
    NioConnection connection;
    try {
      connection = new NioConnection(this, AsynchronousSocketChannel.open(group), mostUnsent, user);
    } catch (IOException e) {
      NioConnection none = new NioConnection(this, null, mostUnsent, user);
      none.cut("no socket: " + e.getMessage());
      return none;
    }
    connection.connect(to, within);
    return connection;
  }

  @Override
  public Listener bind(
      InetSocketAddress at, int most, long mostUnsent, Supplier<ConnectionListener> users)
      throws IOException {
    AsynchronousServerSocketChannel server = AsynchronousServerSocketChannel.open(group);
    try {
      server.bind(at, 1024);
    } catch (IOException | RuntimeException e) {
      server.close();
      throw e;
    }
    return new Door(server, most, mostUnsent, users);
  }

  @Override
  public Datagrams datagrams(InetSocketAddress at, Datagrams.Receiver user) throws IOException {
    return new NioDatagrams(this, at, user);
  }

  void broken(Throwable why) {
    broken.accept(why);
  }

  private final class Door implements Listener, CompletionHandler<AsynchronousSocketChannel, Void> {
    private final AsynchronousServerSocketChannel server;
    private final int most;
    private final long mostUnsent;
    private final Supplier<ConnectionListener> users;
    private int open;
    private Runnable turnedAway = () -> {};

    Door(
        AsynchronousServerSocketChannel server,
        int most,
        long mostUnsent,
        Supplier<ConnectionListener> users) {
      this.server = server;
      this.most = most;
      this.mostUnsent = mostUnsent;
      this.users = users;
    }

    @Override
    public void completed(AsynchronousSocketChannel channel, Void none) {
      if (server.isOpen()) {
        server.accept(null, this);
      }
      if (open >= most) {
        try {
          channel.close();
        } catch (IOException e) {
          broken.accept(e);
        }
        turnedAway.run();
        return;
      }
      open++;
      NioConnection connection = new NioConnection(NioLoop.this, channel, mostUnsent, users.get());
      connection.onceClosed(() -> open--);
      connection.begin();
    }

    @Override
    public void failed(Throwable why, Void none) {
      if (!server.isOpen()) {
        return;
      }
      broken.accept(
          why); // out of file descriptors, say: tried again soon, so that it recovers by itself
      at(
          now.plus(TimeSpan.ofMs(100)),
          () -> {
            if (server.isOpen()) {
              server.accept(null, this);
            }
          });
    }

    @Override
    public void startAccepting() {
      server.accept(null, this);
    }

    @Override
    public InetSocketAddress address() {
      try {
        return (InetSocketAddress) server.getLocalAddress();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void onRejected(Runnable what) {
      turnedAway = what;
    }

    /**
     * Not before those are taken that had come: guards against a loop that stood still, and would
     * reset them unheard.
     */
    @Override
    public void close() {
      whenQuiet(
          () -> {
            try {
              server.close();
            } catch (IOException e) {
              broken.accept(e);
            }
          });
    }
  }

  /** Ends the loop and all its links, from any thread. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
    try {
      group.shutdownNow();
    } catch (IOException e) {
      broken.accept(e);
    }
  }
}
