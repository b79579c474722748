package sprucerock.rehearsal.fake;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;

/**
 * The way from one process to another: each connection between them passes here, byte by byte and
 * in order, and suffers what a network does to it. A direction that is cut says nothing: what is
 * sent waits, the end of a connection too, and comes when the way is whole again, as it does where
 * the sender's system sends it again. A connection begun meanwhile is taken and leads nowhere until
 * then; on a real network it would not come up, which the side that dials tells apart by the
 * welcome that it misses.
 */
public final class FaultProxy {
  private static final int MOST = 1000;
  private static final int HELD =
      4 << 20; // bytes a direction; beyond them the connection is reset, as when a system gives up
  private static final TimeSpan CONNECT = TimeSpan.ofMs(2000);
  private static final TimeSpan AGAIN =
      TimeSpan.ofMs(
          200); // what was lost is sent again after about so long, and what follows it waits

  private record Piece(Timestamp due, byte[] bytes) {}

  private final Net net;
  private final InetSocketAddress to;
  private final SplittableRandom chance;
  private final Set<Pass> open = new LinkedHashSet<>();
  private boolean cutThere;
  private boolean cutBack;
  private boolean resets;
  private TimeSpan late = TimeSpan.ZERO;
  private double loses;

  public FaultProxy(Net net, InetSocketAddress to, long seed) {
    this.net = net;
    this.to = to;
    chance = new SplittableRandom(seed);
  }

  /**
   * Opens it; the port to dial in place of the other end's. @throws IOException if there is none
   */
  public int start() throws IOException {
    return net.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            MOST,
            HELD,
            () -> new Pass().ends[0])
        .address()
        .getPort();
  }

  /**
   * Nothing passes towards the process that is dialled ({@code there}), or from it ({@code back}),
   * until told otherwise.
   */
  public void cut(boolean there, boolean back) {
    cutThere = there;
    cutBack = back;
    for (Pass pass : List.copyOf(open)) {
      pass.go();
    }
  }

  /** From now on each piece takes so much longer. */
  public void late(TimeSpan by) {
    late = by;
  }

  /** This share of the pieces has to be sent again. */
  public void lose(double share) {
    loses = share;
  }

  /** Each connection is closed at once, and each that is begun, until told otherwise. */
  public void reset(boolean on) {
    resets = on;
    if (on) {
      for (Pass pass : List.copyOf(open)) {
        pass.reset("reset on its way");
      }
    }
  }

  /** How many connections pass here. */
  public int open() {
    return open.size();
  }

  /** One connection: its first end was taken from the side that dials, its second leads on. */
  private final class Pass {
    private final End[] ends = {new End(this, 0), new End(this, 1)};
    private boolean dialled;

    void go() {
      if (!dialled && ends[0].up && !ends[0].closed && !cutThere && !cutBack) {
        dialled = true;
        net.connect(to, CONNECT, HELD, ends[1]);
      }
      for (End end : ends) {
        end.pass();
      }
      if (ends[0].closed && (ends[1].closed || !dialled)) {
        open.remove(this);
      }
    }

    void reset(String why) {
      for (End end : ends) {
        if (end.up && !end.closed) {
          end.connection.cut(why);
        }
      }
      open.remove(this);
    }
  }

  /** What comes in at one end goes out at the other. */
  private final class End implements ConnectionListener {
    private final Pass pass;
    private final int side;
    private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
    private Connection connection;
    private boolean up;
    private boolean closed;
    private int held;
    private Timestamp last;

    End(Pass pass, int side) {
      this.pass = pass;
      this.side = side;
    }

    @Override
    public void connected(Connection made) {
      connection = made;
      up = true;
      open.add(pass);
      if (resets) {
        pass.reset("reset on its way");
      } else {
        pass.go();
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      held += copy.length;
      if (held > HELD) {
        pass.reset("too much waits on its way");
      } else {
        add(copy);
      }
    }

    @Override
    public void closed(String why) {
      closed = true;
      add(null);
    }

    private void add(byte[] bytes) {
      Timestamp due =
          net.now().plus(late).plus(chance.nextDouble() < loses ? AGAIN : TimeSpan.ZERO);
      last = last == null ? due : due.laterOf(last);
      waiting.add(new Piece(last, bytes));
      if (last.after(net.now())) {
        net.at(last, pass::go);
      } else {
        pass.go();
      }
    }

    private void pass() {
      End other = pass.ends[1 - side];
      boolean cut = side == 0 ? cutThere : cutBack;
      while (!cut
          && (other.up || other.closed)
          && !waiting.isEmpty()
          && !waiting.peek().due().after(net.now())) {
        byte[] bytes = waiting.poll().bytes();
        if (bytes != null) {
          held -= bytes.length;
        }
        if (other.closed) {
          continue;
        }
        if (bytes == null) {
          other.connection.finish();
        } else {
          other.connection.append(bytes);
        }
      }
    }
  }
}
