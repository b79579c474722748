package sprucerock.transport.net.nio;

import java.io.IOException;
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
 * An event loop: one thread that runs everything of a process, over NIO.2's asynchronous channels.
 * The channel group's own threads wait for the system; they hand each completion to this loop's
 * queue, the only thing that crosses threads here.
 *
 * <p>A turn: due timers, completions (at most {@link #MAX_TASKS_PER_TURN}), what was deferred to
 * the turn's end, then one gathered write a connection. The queue is bounded by the operations in
 * flight, two a connection, and what {@link #post} adds.
 */
public final class NioLoop implements Net, AutoCloseable {
  private static final int MAX_BUFFER_BYTES = 16 * 1024;
  private static final int MIN_BUFFER_BYTES = 1024;
  private static final int MAX_POOLED_BUFFERS = 1024;

  /**
   * Of the heap's size; all buffers of the pool together. Direct memory may be as large as the heap
   * by default, and the rest is for what is written from arrays.
   */
  private static final double BUFFER_SHARE = 1.0 / 3;

  /** Of the heap's size, for all that waits for peers of accepted connections. */
  private static final double UNSENT_SHARE = 1.0 / 4;

  /**
   * Of the channel group's own threads. One alone leaves events in its queue while it waits for the
   * next one, if the last of several events is of a channel that has closed meanwhile.
   */
  private static final String GROUP_THREADS_PROPERTY = "sun.nio.ch.internalThreadPoolSize";

  private static final String GROUP_THREADS = "2";

  static {
    System.setProperty(
        GROUP_THREADS_PROPERTY, System.getProperty(GROUP_THREADS_PROPERTY, GROUP_THREADS));
  }

  private static final int ACCEPT_BACKLOG = 1024;
  private static final double MAX_SLEEP_MS = 1000;
  private static final double NANOS_PER_MS = 1e6;
  private static final long NANOS_PER_MICRO = 1000;

  /** Not more than a turn's worth: timers and writes must get their turn under any load. */
  private static final int MAX_TASKS_PER_TURN = 512;

  private static final int MAX_ACCEPTS_PER_TURN = 64;

  /** Of tasks: a request takes some turns, each of which waits for the turn before it. */
  private static final TimeSpan MAX_TURN = TimeSpan.ofMs(10);

  private static final int TASKS_PER_CLOCK = 16;

  /** A loop that is never idle closes what is to be closed all the same. */
  private static final TimeSpan MAX_QUIET_WAIT = TimeSpan.ofMs(100);

  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();

  /** Completions of connections that had come as the next one was asked for. */
  private final ArrayDeque<Runnable> accepted = new ArrayDeque<>();

  /** Waits among the tasks: those behind it came after the time at which it was placed. */
  private final Runnable marker = this::reachMarker;

  private Timestamp markerPlaced;
  private Timestamp markerReached = Timestamp.ofMs(0);
  private boolean accepting;
  private long completionsOnLoop;
  private final AtomicBoolean sleeping = new AtomicBoolean();
  private final TimerWheel timers = new TimerWheel();
  private final ArrayDeque<Runnable> turnEnd = new ArrayDeque<>();
  private final List<NioConnection> toFlush = new ArrayList<>();
  private final List<Runnable> whenQuiet = new ArrayList<>();
  private Timestamp quietDeadline;
  private final ArrayDeque<ByteBuffer> bufferPool = new ArrayDeque<>();
  private final int bufferBytes;
  private final int maxBuffers;
  private int allocatedBuffers;
  private final long maxUnsentOnAccepted = (long) (Runtime.getRuntime().maxMemory() * UNSENT_SHARE);
  private long unsentOnAccepted;
  private final AsynchronousChannelGroup group;
  private final Thread thread;
  private final Consumer<Throwable> errorHandler;
  private final long originNanos = System.nanoTime();
  private volatile boolean stopped;
  private Timestamp now = Timestamp.ofMs(0);
  private Timestamp previousTurnStart = now;

  /** The same for a loop that may have so many connections that each has the largest buffer. */
  public NioLoop(String name, Consumer<Throwable> errorHandler) throws IOException {
    this(name, errorHandler, 1);
  }

  /**
   * Starts a loop.
   *
   * @param name of its thread
   * @param errorHandler gets what an action threw, on the loop's thread; the loop goes on, except
   *     that an {@link OutOfMemoryError} or {@link InternalError} ends the thread
   * @param maxConnections that there may be at a time; each has a read buffer, and where memory is
   *     scarce these are the smaller
   * @throws IOException if the system gives no channel group
   */
  public NioLoop(String name, Consumer<Throwable> errorHandler, int maxConnections)
      throws IOException {
    this.errorHandler = errorHandler;
    double poolBytes = Runtime.getRuntime().maxMemory() * BUFFER_SHARE;
    double evenly = Math.floor(poolBytes / maxConnections / MIN_BUFFER_BYTES) * MIN_BUFFER_BYTES;
    bufferBytes = (int) Math.max(MIN_BUFFER_BYTES, Math.min(MAX_BUFFER_BYTES, evenly));
    maxBuffers = (int) Math.min(Integer.MAX_VALUE, poolBytes / bufferBytes);
    group = AsynchronousChannelGroup.withThreadPool(new CompletionExecutor());
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** The channel group's executor: posts each completion to the loop. */
  private final class CompletionExecutor extends AbstractExecutorService {
    private volatile boolean shut;

    /** On the loop's thread: the operation found something at once, and need not wait. */
    @Override
    public void execute(Runnable task) {
      if (Thread.currentThread() != thread) {
        post(task);
        return;
      }
      completionsOnLoop++;
      if (accepting) {
        accepted.add(task);
      } else {
        tasks.add(task);
      }
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
    public boolean awaitTermination(long timeout, TimeUnit unit) {
      return shut;
    }
  }

  /** Runs a task on the loop's thread. May be called from any thread. */
  public void post(Runnable task) {
    tasks.add(task);
    if (sleeping.get() && sleeping.compareAndSet(true, false)) {
      LockSupport.unpark(thread);
    }
  }

  private void run() {
    while (!stopped) {
      previousTurnStart = markerReached;
      now = readClock();
      placeMarker();
      timers.run(now.ms(), this::guarded);
      runTasks();
      while (!turnEnd.isEmpty()) {
        guarded(turnEnd.poll());
      }
      for (int i = 0; i < toFlush.size(); i++) {
        guarded(toFlush.get(i)::flush);
      }
      toFlush.clear();
      if (!whenQuiet.isEmpty() && (tasks.isEmpty() || now.after(quietDeadline))) {
        runWhenQuiet();
      }
      if (tasks.isEmpty() && accepted.isEmpty()) {
        sleep();
      }
    }
  }

  private void placeMarker() {
    if (markerPlaced == null) {
      markerPlaced = now;
      tasks.add(marker);
    }
  }

  private void reachMarker() {
    markerReached = markerPlaced;
    markerPlaced = null;
  }

  private void runTasks() {
    for (int i = 0; i < MAX_ACCEPTS_PER_TURN && !accepted.isEmpty(); i++) {
      guarded(accepted.poll());
    }
    Timestamp end = now.plus(MAX_TURN);
    for (int i = 0; i < MAX_TASKS_PER_TURN; i++) {
      Runnable task = tasks.poll();
      if (task == null) {
        return;
      }
      guarded(task);
      if (i % TASKS_PER_CLOCK == TASKS_PER_CLOCK - 1 && readClock().after(end)) {
        return;
      }
    }
  }

  /**
   * Accepts the next connection. One that has come already is taken up before other tasks: guards
   * against clients that wait to be accepted while those that are cost all of the time.
   */
  void accept(
      AsynchronousServerSocketChannel server,
      CompletionHandler<AsynchronousSocketChannel, Void> handler) {
    accepting = true;
    try {
      server.accept(null, handler);
    } finally {
      accepting = false;
    }
  }

  /** How many operations have found something at once, since the start. */
  long completionsOnLoop() {
    return completionsOnLoop;
  }

  private void runWhenQuiet() {
    List<Runnable> due = new ArrayList<>(whenQuiet);
    whenQuiet.clear();
    due.forEach(this::guarded);
  }

  /**
   * Runs an action at the end of a turn after which no completion waits; at the latest some turns
   * after {@link #MAX_QUIET_WAIT}.
   */
  void whenQuiet(Runnable action) {
    if (whenQuiet.isEmpty()) {
      quietDeadline = now.plus(MAX_QUIET_WAIT);
    }
    whenQuiet.add(action);
  }

  private void sleep() {
    double ms = timers.nextDueMs() - readClock().ms();
    if (ms <= 0) {
      return;
    }
    sleeping.set(true);
    if (tasks.isEmpty() && !stopped) {
      LockSupport.parkNanos(this, (long) (Math.min(ms, MAX_SLEEP_MS) * NANOS_PER_MS));
    }
    sleeping.set(false);
  }

  /** May be called from any thread. */
  @Override
  public Timestamp readClock() {
    return Timestamp.ofMs((System.nanoTime() - originNanos) / NANOS_PER_MS);
  }

  /** The machine's monotonic clock in microseconds, which its processes share: for traces. */
  public static long monotonicMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (OutOfMemoryError | InternalError e) {
      // guards against a loop that goes on with what was left half done
      throw e;
    } catch (RuntimeException | Error e) {
      errorHandler.accept(e);
    }
  }

  @Override
  public Timestamp now() {
    return now;
  }

  @Override
  public Timestamp previousTurnStart() {
    return previousTurnStart;
  }

  @Override
  public Timer at(Timestamp when, Runnable action) {
    return timers.add(when.ms(), action);
  }

  @Override
  public void atTurnsEnd(Runnable action) {
    turnEnd.add(action);
  }

  /** Has a connection flushed at the end of this turn. */
  void scheduleFlush(NioConnection connection) {
    toFlush.add(connection);
  }

  /** A buffer of at least so many bytes, from the pool if it may be. */
  ByteBuffer borrowBuffer(int bytes) {
    ByteBuffer pooled = bytes > bufferBytes ? null : borrowReadBuffer();
    return pooled != null ? pooled : ByteBuffer.allocate(bytes);
  }

  /** A buffer of the pool; null if all that there may be are in use. */
  ByteBuffer borrowReadBuffer() {
    ByteBuffer pooled = bufferPool.poll();
    if (pooled != null || allocatedBuffers == maxBuffers) {
      return pooled;
    }
    allocatedBuffers++;
    return ByteBuffer.allocateDirect(bufferBytes);
  }

  /**
   * Returns a buffer that nobody uses any more; those not from the pool are left to the collector.
   */
  void returnBuffer(ByteBuffer buffer) {
    if (!buffer.isDirect()) {
      return;
    }
    if (bufferPool.size() < MAX_POOLED_BUFFERS) {
      bufferPool.add(buffer.clear());
    } else {
      allocatedBuffers--;
    }
  }

  /** How many buffers of the pool there are, in use or not. */
  int allocatedBuffers() {
    return allocatedBuffers;
  }

  /** Counts bytes that wait on an accepted connection; those that do no longer, negatively. */
  void countUnsentOnAccepted(long bytes) {
    unsentOnAccepted += bytes;
  }

  /** Whether more waits on accepted connections than there is memory for. */
  boolean hasTooMuchUnsent() {
    return unsentOnAccepted > maxUnsentOnAccepted;
  }

  @Override
  public long unsentOnAccepted() {
    return unsentOnAccepted;
  }

  @Override
  public Connection connect(
      InetSocketAddress to, TimeSpan timeout, long maxUnsentBytes, ConnectionListener listener) {
    NioConnection connection;
    try {
      connection =
          new NioConnection(
              this, AsynchronousSocketChannel.open(group), maxUnsentBytes, false, listener);
    } catch (IOException e) {
      NioConnection failed = new NioConnection(this, null, maxUnsentBytes, false, listener);
      failed.cut("no socket: " + e.getMessage());
      return failed;
    }
    connection.connect(to, timeout);
    return connection;
  }

  @Override
  public Listener bind(
      InetSocketAddress address,
      int maxConnections,
      long maxUnsentBytes,
      Supplier<ConnectionListener> listeners)
      throws IOException {
    AsynchronousServerSocketChannel server = AsynchronousServerSocketChannel.open(group);
    try {
      server.bind(address, ACCEPT_BACKLOG);
    } catch (IOException | RuntimeException e) {
      server.close();
      throw e;
    }
    return new NioListener(this, server, maxConnections, maxUnsentBytes, listeners);
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, Datagrams.Receiver receiver)
      throws IOException {
    return new NioDatagrams(this, address, receiver);
  }

  /** Passes an error on to the loop's handler; on the loop's thread. */
  void reportError(Throwable why) {
    errorHandler.accept(why);
  }

  /** Ends the loop and closes all its connections. May be called from any thread. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
    try {
      group.shutdownNow();
    } catch (IOException e) {
      errorHandler.accept(e);
    }
  }
}
