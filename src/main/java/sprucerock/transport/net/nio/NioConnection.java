package sprucerock.transport.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers.Timer;

/**
 * A connection over an asynchronous socket channel, with at most one read and one gathered write in
 * flight. Written bytes collect in buffers of the loop's pool and are flushed at the turn's end.
 *
 * <p>Confined to the loop thread; the channels' thread touches only buffers of operations in
 * flight.
 */
final class NioConnection implements Connection {
  private static final int MAX_GATHERED_BUFFERS = 16;

  /**
   * Of one write. The system's binding copies what is written into direct memory first, which is
   * scarcer than the heap.
   */
  private static final int MAX_GATHERED_BYTES = 128 * 1024;

  /** Up to this size bytes are copied: an object for each piece would hold more than the piece. */
  private static final int MAX_COPIED_BYTES = 512;

  private static final int MIN_TAIL_BYTES = 256;
  private static final int MAX_TAIL_BYTES = 8 * 1024;

  /** Of a buffer's object and its place in a queue. */
  private static final int BUFFER_OBJECT_BYTES = 96;

  /** A peer that reads takes some bytes in far less; others are cut. */
  private static final TimeSpan FINISH_PERIOD = TimeSpan.ofMs(2000);

  /** Periods for a peer that takes a few bytes in each. */
  private static final int MAX_FINISH_PERIODS = 5;

  /** For the read in flight to end once the input is shut down; the system tells it at once. */
  private static final TimeSpan INPUT_END_PERIOD = TimeSpan.ofMs(100);

  private final NioLoop loop;
  private final AsynchronousSocketChannel channel;
  private final long maxUnsentBytes;
  private final ConnectionListener listener;

  /** Whether it counts for {@link NioLoop#unsentOnAccepted}. */
  private final boolean accepted;

  /** Buffers still to be handed to the system, each filled up to its position. */
  private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

  /** Buffers handed to the system, each sent up to its position. */
  private final ArrayDeque<ByteBuffer> inFlight = new ArrayDeque<>();

  private ByteBuffer tail; // the last unsent buffer, if more may be put into it
  private int nextTailBytes = MIN_TAIL_BYTES;

  /** What the buffers that wait hold of the heap, and the bytes in those of the pool. */
  private long heldBytes;

  private ByteBuffer readBuffer;
  private long bytesWritten;
  private long bytesHandedOver;
  private long bytesSent;
  private boolean connected;
  private boolean writing;
  private boolean flushScheduled;
  private boolean reading;
  private boolean readingPaused;

  /** The read in flight has found something at once, which is passed on in a later task. */
  private boolean foundAtOnce;

  /** The listener paused, and maybe resumed, while it was passed bytes. */
  private boolean pausedMeanwhile;

  /** The read buffer holds what the listener left, or nothing, and no read is in flight. */
  private boolean holdsUnread;

  private boolean finishing;
  private boolean unlessReceived;

  /** The system passes on what it has and then an end, whatever the peer sends. */
  private boolean inputShutDown;

  private Timer finishTimer;
  private boolean closed;
  private Runnable onClosed = () -> {};
  private Timer connectTimer;

  NioConnection(
      NioLoop loop,
      AsynchronousSocketChannel channel,
      long maxUnsentBytes,
      boolean accepted,
      ConnectionListener listener) {
    this.loop = loop;
    this.channel = channel;
    this.maxUnsentBytes = maxUnsentBytes;
    this.accepted = accepted;
    this.listener = listener;
  }

  /** Sets what is run when the connection has closed, before its listener is notified. */
  void onClosed(Runnable action) {
    onClosed = action;
  }

  /** Begins to connect; closes the connection if that fails or the timeout passes. */
  void connect(InetSocketAddress to, TimeSpan timeout) {
    connectTimer = loop.stallTolerantTimeout(timeout, () -> cut("no connection in time"));
    try {
      channel.connect(
          to,
          null,
          new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void none, Void nothing) {
              if (!closed) {
                begin();
              }
            }

            @Override
            public void failed(Throwable why, Void nothing) {
              cut("no connection: " + why.getMessage());
            }
          });
    } catch (RuntimeException e) {
      // a name that is not known, an address of another family
      cut("no connection: " + e);
    }
  }

  /** Begins to read: the channel is connected. */
  void begin() {
    if (connectTimer != null) {
      connectTimer.cancel();
    }
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      cut("socket refused an option: " + e.getMessage());
      return;
    }
    connected = true;
    readBuffer = loop.borrowReadBuffer();
    if (readBuffer == null) {
      // guards against a connection that is open and never read
      cut("no memory for its read buffer");
      return;
    }
    listener.connected(this);
    if (!closed) {
      read();
    } else {
      releaseReadBuffer();
    }
    scheduleFlush();
  }

  private final CompletionHandler<Integer, Void> readHandler =
      new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
          reading = false;
          if (closed) {
            releaseReadBuffer();
            return;
          }
          if (count < 0) {
            cut(inputShutDown ? "done" : CLOSED_BY_PEER);
            return;
          }
          if (unlessReceived) {
            cancelFinish();
          }
          readBuffer.flip();
          passOn();
        }

        @Override
        public void failed(Throwable why, Void none) {
          reading = false;
          cut("broken: " + why.getMessage());
          releaseReadBuffer();
        }
      };

  /**
   * Returns the read buffer once no read is in flight: thousands of short connections must not each
   * wait for the garbage collector.
   */
  private void releaseReadBuffer() {
    if (readBuffer == null || reading || !closed) {
      return;
    }
    loop.returnBuffer(readBuffer);
    readBuffer = null;
  }

  /** Has the listener read what is in the buffer, then reads on unless it paused. */
  private void passOn() {
    if (readingPaused) {
      holdsUnread = true;
      return;
    }
    pausedMeanwhile = false;
    try {
      listener.received(readBuffer);
    } catch (RuntimeException e) {
      // guards against a connection that stays open and that nobody reads any more
      cut("fault of this program: " + e);
      throw e;
    }
    if (closed) {
      releaseReadBuffer();
    } else if (!pausedMeanwhile) {
      readOn();
    } else {
      holdsUnread = true;
      if (!readingPaused) {
        loop.atTurnsEnd(this::passOnUnread);
      }
    }
  }

  @Override
  public void pauseReading() {
    readingPaused = true;
    pausedMeanwhile = true;
  }

  @Override
  public void resumeReading() {
    if (!readingPaused) {
      return;
    }
    readingPaused = false;
    if (holdsUnread) {
      loop.atTurnsEnd(this::passOnUnread);
    }
  }

  /** The listener is called even without bytes: it may wait for more than these. */
  private void passOnUnread() {
    if (closed || readingPaused || !holdsUnread) {
      return;
    }
    holdsUnread = false;
    passOn();
  }

  private void readOn() {
    if (inputShutDown) {
      listener.inputEnded();
    } else {
      read();
    }
  }

  private void read() {
    readBuffer.clear();
    reading = true;
    long before = loop.completionsOnLoop();
    channel.read(readBuffer, null, readHandler);
    foundAtOnce = loop.completionsOnLoop() != before;
  }

  @Override
  public boolean isCaughtUp() {
    return inputShutDown || reading && !foundAtOnce;
  }

  @Override
  public ByteBuffer reserve(int bytes) {
    if (closed) {
      return ByteBuffer.allocate(bytes);
    }
    if (tail == null || tail.remaining() < bytes) {
      tail = loop.borrowBuffer(bytes);
      add(tail);
    }
    final ByteBuffer reserved = tail.slice(tail.position(), bytes);
    tail.position(tail.position() + bytes);
    countInTail(bytes);
    countWritten(bytes);
    return reserved;
  }

  @Override
  public void append(byte[] bytes) {
    append(bytes, 0, bytes.length);
  }

  @Override
  public void append(byte[] bytes, int offset, int length) {
    if (closed) {
      return;
    }
    if (length <= MAX_COPIED_BYTES) {
      copyToTail(bytes, offset, length);
    } else {
      tail = null;
      ByteBuffer piece = ByteBuffer.wrap(bytes, offset, length).slice();
      piece.position(length); // filled up to its position, as those reserved
      add(piece);
    }
    countWritten(length);
  }

  private void copyToTail(byte[] bytes, int offset, int length) {
    if (tail == null || tail.remaining() < length) {
      tail = ByteBuffer.allocate(Math.max(length, nextTailBytes));
      nextTailBytes = Math.min(2 * nextTailBytes, MAX_TAIL_BYTES);
      add(tail);
    }
    tail.put(bytes, offset, length);
    countInTail(length);
  }

  private void add(ByteBuffer buffer) {
    unsent.add(buffer);
    if (!buffer.isDirect()) {
      countHeld(buffer.capacity() + BUFFER_OBJECT_BYTES);
    }
  }

  /** A buffer of the pool takes no heap, and counts by what is in it. */
  private void countInTail(int bytes) {
    if (tail.isDirect()) {
      countHeld(bytes);
    }
  }

  /** The system has taken all of it. */
  private void release(ByteBuffer buffer) {
    countHeld(-(buffer.isDirect() ? buffer.limit() : buffer.capacity() + BUFFER_OBJECT_BYTES));
    loop.returnBuffer(buffer);
  }

  private void countHeld(long bytes) {
    heldBytes += bytes;
    if (accepted) {
      loop.countUnsentOnAccepted(bytes);
    }
  }

  private void countWritten(int bytes) {
    bytesWritten += bytes;
    if (bytesWritten - bytesSent > maxUnsentBytes) {
      cut("does not read: more than " + maxUnsentBytes + " bytes wait for it");
    } else if (accepted && isBehind() && loop.hasTooMuchUnsent()) {
      cut("does not read, and there is no memory for what waits");
    }
    scheduleFlush();
  }

  /** Whether the peer has not taken what was written in earlier turns. */
  private boolean isBehind() {
    return writing && bytesHandedOver > bytesSent;
  }

  private void scheduleFlush() {
    if (flushScheduled || closed) {
      return;
    }
    flushScheduled = true;
    loop.scheduleFlush(this);
  }

  /** Hands what waits to the system, unless an earlier write is still in flight. */
  void flush() {
    flushScheduled = false;
    if (writing || closed || !connected) {
      return;
    }
    if (unsent.isEmpty() && inFlight.isEmpty()) {
      if (finishing && unlessReceived) {
        closeUnlessReceived();
      } else if (finishing) {
        cut("done");
      }
      return;
    }
    tail = null;
    gather();
    writing = true;
    if (inFlight.size() == 1) {
      channel.write(inFlight.peek(), null, singleWriteHandler);
    } else {
      ByteBuffer[] pieces = inFlight.toArray(new ByteBuffer[0]);
      channel.write(pieces, 0, pieces.length, 0, TimeUnit.MILLISECONDS, null, gatheredWriteHandler);
    }
  }

  /** Moves what one write takes to {@link #inFlight}; a large piece goes alone. */
  private void gather() {
    long bytes = bytesHandedOver - bytesSent;
    while (inFlight.size() < MAX_GATHERED_BUFFERS && !unsent.isEmpty()) {
      int next = unsent.peek().position();
      if (!inFlight.isEmpty() && bytes + next > MAX_GATHERED_BYTES) {
        return;
      }
      bytes += next;
      bytesHandedOver += next;
      inFlight.add(unsent.poll().flip());
    }
  }

  private void writeCompleted(long count) {
    writing = false;
    if (closed) {
      returnBuffers(inFlight);
      return;
    }
    bytesSent += count;
    while (!inFlight.isEmpty() && !inFlight.peek().hasRemaining()) {
      release(inFlight.poll());
    }
    boolean isAllSent = inFlight.isEmpty() && unsent.isEmpty();
    if (!isAllSent || finishing) {
      scheduleFlush();
    }
    if (isAllSent) {
      nextTailBytes = MIN_TAIL_BYTES;
      listener.allSent();
    }
  }

  private void writeFailed(Throwable why) {
    writing = false;
    cut("broken: " + why.getMessage());
    returnBuffers(inFlight);
  }

  /** Guards against direct memory that only the garbage collector would free. */
  private void returnBuffers(ArrayDeque<ByteBuffer> buffers) {
    while (!buffers.isEmpty()) {
      loop.returnBuffer(buffers.poll());
    }
  }

  private final CompletionHandler<Long, Void> gatheredWriteHandler =
      new CompletionHandler<>() {
        @Override
        public void completed(Long count, Void none) {
          writeCompleted(count);
        }

        @Override
        public void failed(Throwable why, Void none) {
          writeFailed(why);
        }
      };

  /** The same for one buffer, which the system takes without a gathering call. */
  private final CompletionHandler<Integer, Void> singleWriteHandler =
      new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
          writeCompleted((long) count);
        }

        @Override
        public void failed(Throwable why, Void none) {
          writeFailed(why);
        }
      };

  @Override
  public long bytesWritten() {
    return bytesWritten;
  }

  @Override
  public long bytesHandedOver() {
    return bytesHandedOver;
  }

  @Override
  public long unsentBytes() {
    return closed ? 0 : bytesWritten - bytesSent;
  }

  @Override
  public void finish() {
    if (closed || finishing) {
      return;
    }
    finishing = true;
    scheduleFinish(bytesSent, MAX_FINISH_PERIODS);
    scheduleFlush();
  }

  /** Cuts the connection after a period in which nothing was sent, or after the last one. */
  private void scheduleFinish(long sentBefore, int periodsLeft) {
    finishTimer =
        loop.at(
            loop.now().plus(FINISH_PERIOD),
            () -> {
              if (unlessReceived && unsentBytes() == 0) {
                scheduleFinish(bytesSent, periodsLeft); // it closes by itself
              } else if (bytesSent == sentBefore || periodsLeft == 1) {
                cut("not read to the end");
              } else {
                scheduleFinish(bytesSent, periodsLeft - 1);
              }
            });
  }

  @Override
  public void finishUnlessReceived() {
    if (closed || finishing) {
      return;
    }
    unlessReceived = true;
    finish();
  }

  private void cancelFinish() {
    unlessReceived = false;
    finishing = false;
    finishTimer.cancel();
  }

  /**
   * Closes unless bytes arrived since. A read is in flight, and the channels' thread may have taken
   * bytes for it in this very moment: it is ended first, and tells which.
   */
  private void closeUnlessReceived() {
    if (!reading) {
      cut("done");
      return;
    }
    if (inputShutDown) {
      return; // the end of the read in flight is awaited
    }
    try {
      channel.shutdownInput();
      inputShutDown = true;
    } catch (IOException e) {
      cut("done");
      return;
    }
    finishTimer.cancel();
    finishTimer =
        loop.at(loop.now().plus(INPUT_END_PERIOD), () -> loop.post(this::cutUnlessReceived));
  }

  /** Behind the completions that wait already: bytes may be among them. */
  private void cutUnlessReceived() {
    if (finishing && unlessReceived) {
      cut("done");
    }
  }

  @Override
  public void cut(String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (connectTimer != null) {
      connectTimer.cancel();
    }
    if (finishTimer != null) {
      finishTimer.cancel();
    }
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      // the socket is gone either way, and the listener is notified below
      why = why + " (" + e.getMessage() + ")";
    }
    countHeld(-heldBytes);
    tail = null;
    String reason = why;
    loop.post(
        () -> { // in a later turn, so that no caller is notified while it acts
          onClosed.run();
          releaseReadBuffer();
          returnBuffers(unsent); // not earlier: whoever reserved them in that turn may fill them
          if (!writing) {
            returnBuffers(inFlight); // else the system may still use them
          }
          listener.closed(reason);
        });
  }
}
