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
 * A connection over an asynchronous socket channel: one read and one gathered write out at a time.
 */
final class NioConnection implements Connection {
  private static final int READ = 16 * 1024;
  private static final int GATHERED = 16;
  private static final TimeSpan FINISH =
      TimeSpan.ofMs(2000); // a peer that reads takes some bytes in far less; others are cut
  private static final int FINISHES =
      5; // times that long for one that takes a few bytes now and then

  private final NioLoop loop;
  private final AsynchronousSocketChannel channel;
  private final long mostUnsent;
  private final ConnectionListener user;

  /**
   * Pieces still to be handed to the system, each written up to its position; and those handed, in
   * part gone.
   */
  private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

  private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
  private ByteBuffer tail;
  private ByteBuffer in;
  private long written;
  private long handed;
  private long gone;
  private boolean up;
  private boolean writing;
  private boolean marked;
  private boolean reading;
  private boolean finishing;
  private boolean unlessRead;
  private Timer finishBy;
  private boolean closed;
  private Runnable onceClosed = () -> {};
  private Timer connecting;

  NioConnection(
      NioLoop loop, AsynchronousSocketChannel channel, long mostUnsent, ConnectionListener user) {
    this.loop = loop;
    this.channel = channel;
    this.mostUnsent = mostUnsent;
    this.user = user;
  }

  void onceClosed(Runnable what) {
    onceClosed = what;
  }

  void connect(InetSocketAddress to, TimeSpan within) {
    connecting = loop.stallTolerantTimeout(within, () -> cut("no connection in time"));
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
    } catch (RuntimeException e) { // a name that is not known, an address of another family
      cut("no connection: " + e);
    }
  }

  void begin() {
    if (connecting != null) {
      connecting.cancel();
    }
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      cut("socket refused an option: " + e.getMessage());
      return;
    }
    up = true;
    in = loop.chunk(READ);
    user.connected(this);
    if (!closed) {
      read();
    } else {
      keepNoRoom();
    }
    mark();
  }

  private final CompletionHandler<Integer, Void> reads =
      new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
          reading = false;
          if (closed) {
            keepNoRoom();
            return;
          }
          if (count < 0) {
            cut("closed by the other side");
            return;
          }
          if (unlessRead) {
            stay();
          }
          in.flip();
          user.received(in);
          in.clear();
          if (!closed) {
            read();
          } else {
            keepNoRoom();
          }
        }

        @Override
        public void failed(Throwable why, Void none) {
          reading = false;
          cut("broken: " + why.getMessage());
          keepNoRoom();
        }
      };

  /**
   * The room for reads goes back once no read is out: thousands of short connections must not each
   * wait for a collection.
   */
  private void keepNoRoom() {
    if (in == null || reading || !closed) {
      return;
    }
    loop.giveBack(in);
    in = null;
  }

  private void read() {
    reading = true;
    channel.read(in, null, reads);
  }

  @Override
  public ByteBuffer reserve(int bytes) {
    if (tail == null || tail.remaining() < bytes) {
      tail = loop.chunk(bytes);
      unsent.add(tail);
    }
    ByteBuffer room = tail.slice(tail.position(), bytes);
    tail.position(tail.position() + bytes);
    queued(bytes);
    return room;
  }

  @Override
  public void append(byte[] bytes) {
    tail = null;
    ByteBuffer whole = ByteBuffer.wrap(bytes);
    whole.position(bytes.length); // like a chunk that is full
    unsent.add(whole);
    queued(bytes.length);
  }

  private void queued(int bytes) {
    if (closed) {
      return;
    }
    written += bytes;
    if (written - gone > mostUnsent) {
      cut("does not read: more than " + mostUnsent + " bytes wait for it");
    }
    mark();
  }

  private void mark() {
    if (marked || closed) {
      return;
    }
    marked = true;
    loop.dirty(this);
  }

  /** Hands all that waits to the system, unless an earlier write is still out. */
  void flush() {
    marked = false;
    if (writing || closed || !up) {
      return;
    }
    if (unsent.isEmpty() && out.isEmpty()) {
      if (finishing && unlessRead) {
        loop.whenQuiet(this::closeUnread);
      } else if (finishing) {
        cut("done");
      }
      return;
    }
    tail = null;
    while (out.size() < GATHERED && !unsent.isEmpty()) {
      ByteBuffer piece = unsent.poll().flip();
      handed += piece.remaining();
      out.add(piece);
    }
    writing = true;
    if (out.size() == 1) {
      channel.write(out.peek(), null, single);
    } else {
      ByteBuffer[] pieces = out.toArray(new ByteBuffer[0]);
      channel.write(pieces, 0, pieces.length, 0, TimeUnit.MILLISECONDS, null, writes);
    }
  }

  private void wrote(long count) {
    writing = false;
    if (closed) {
      return;
    }
    gone += count;
    while (!out.isEmpty() && !out.peek().hasRemaining()) {
      loop.giveBack(out.poll());
    }
    if (!out.isEmpty() || !unsent.isEmpty() || finishing) {
      mark();
    }
  }

  private void notWritten(Throwable why) {
    writing = false;
    cut("broken: " + why.getMessage());
  }

  private final CompletionHandler<Long, Void> writes =
      new CompletionHandler<>() {
        @Override
        public void completed(Long count, Void none) {
          wrote(count);
        }

        @Override
        public void failed(Throwable why, Void none) {
          notWritten(why);
        }
      };

  /** The same for one piece, which the system takes without a gathering call. */
  private final CompletionHandler<Integer, Void> single =
      new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
          wrote((long) count);
        }

        @Override
        public void failed(Throwable why, Void none) {
          notWritten(why);
        }
      };

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
    if (closed || finishing) {
      return;
    }
    finishing = true;
    finishBy(gone, FINISHES);
    mark();
  }

  private void finishBy(long goneBefore, int times) {
    finishBy =
        loop.at(
            loop.now().plus(FINISH),
            () -> {
              if (gone == goneBefore || times == 1) {
                cut("not read to the end");
              } else {
                finishBy(gone, times - 1);
              }
            });
  }

  @Override
  public void finishUnlessReceived() {
    if (closed || finishing) {
      return;
    }
    unlessRead = true;
    finish();
  }

  private void stay() {
    unlessRead = false;
    finishing = false;
    finishBy.cancel();
  }

  /**
   * All that was read has been told by now, but for what the channels' thread reads in this very
   * moment.
   */
  private void closeUnread() {
    if (finishing && unlessRead && unsent.isEmpty() && out.isEmpty()) {
      cut("done");
    }
  }

  @Override
  public void cut(String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (connecting != null) {
      connecting.cancel();
    }
    if (finishBy != null) {
      finishBy.cancel();
    }
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      // the socket is gone either way, and the user is told below
      why = why + " (" + e.getMessage() + ")";
    }
    unsent.clear();
    out.clear();
    tail = null;
    String told = why;
    loop.post(
        () -> { // in a later turn, so that no caller is told while it acts
          onceClosed.run();
          keepNoRoom();
          user.closed(told);
        });
  }
}
