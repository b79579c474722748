package sprucerock.relay.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.http.HttpConnection;
import sprucerock.transport.http.HttpException;
import sprucerock.transport.net.ExponentialBackoff;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;

/**
 * Keeps one answer without end up. One watch is heard; where it is lost, falls silent or is to be
 * elsewhere, a successor is asked for, and the watch before is heard until the successor has told
 * something whole: who is silent because what it asks is down may be the first to tell, and until a
 * new address answers the old one may tell more. There are never more than these two. What comes of
 * a watch that is neither is nobody's any more.
 */
final class ReconnectingWatch {
  /** Who reads it. */
  interface Reader {
    /**
     * A watch is asked for: what one answer holds is kept apart from what another does, as either
     * may stay half told.
     */
    Answer asks();

    void lost(String why);
  }

  /** What one watch tells. */
  interface Answer {
    String path();

    /** True where all that came is whole: not in the middle of what it tells. */
    boolean piece(ByteBuffer bytes) throws HttpException;
  }

  private static final TimeSpan FIRST =
      TimeSpan.ofMs(20); // an agent on this machine is back as soon as it can be
  private static final TimeSpan AGAIN =
      TimeSpan.ofMs(20); // some turns: what came while the loop stood still is read in the first
  // of three watches in a row that say nothing at all the third is given the whole silence: it may
  // begin with its first line
  private static final int IN_A_ROW = 3;

  private final Net net;
  private final TimeSpan silence;
  private final TimeSpan answers;
  private final TimeSpan within;
  private final ExponentialBackoff pauses;
  private final Reader reader;
  private InetSocketAddress to;
  private Watch heard;
  private Watch next;
  private Timer again;
  private boolean stopped;
  private Timestamp lastHeard;
  private int unanswered;

  /**
   * {@code silence}: a watch that tells nothing for so long is asked for anew; {@code answers}: so
   * is one that has not begun to answer, or stays in the middle of what it tells, for so long;
   * {@code within}: a connection takes no longer, and what was lost is asked for again after no
   * longer a pause.
   */
  ReconnectingWatch(
      Net net,
      InetSocketAddress to,
      TimeSpan silence,
      TimeSpan answers,
      TimeSpan within,
      DoubleSupplier dice,
      Reader reader) {
    this.net = net;
    this.to = to;
    this.silence = silence;
    this.answers = answers;
    this.within = within;
    this.reader = reader;
    lastHeard = net.now();
    pauses = new ExponentialBackoff(FIRST, within, dice);
  }

  /** One answer, from its asking on. */
  private final class Watch implements HttpConnection.ResponseListener {
    private final HttpConnection connection = new HttpConnection(net, to, within);
    private final Answer answer = reader.asks();
    private final Timestamp asked = net.now();
    private final TimeSpan begins = unanswered % IN_A_ROW < IN_A_ROW - 1 ? answers : silence;
    private boolean midway;
    private Timer look;

    void ask() {
      connection.get(answer.path(), this);
      look(begins);
    }

    /** What is left until it counts as silent. */
    private TimeSpan left() {
      TimeSpan may =
          !connection.hasReceived() ? begins : midway ? answers.atMost(silence) : silence;
      return may.minus(net.now().since(connection.lastReceivedAt()));
    }

    /**
     * By the clock, and once more some turns later: where the loop stood still, what it told is not
     * read yet. Guards against a loop that is late in that one moment and gives the whole silence
     * again, for which the rules leave no time.
     */
    private void look(TimeSpan after) {
      if (look != null) {
        look.cancel();
      }
      look =
          net.at(
              net.now().plus(after),
              () -> {
                if (overdue()) {
                  look =
                      net.stallTolerantTimeout(
                          AGAIN,
                          () -> {
                            if (overdue()) {
                              silent();
                            }
                          });
                }
              });
    }

    /** Whether its time is over; looks again later where it isn't. */
    private boolean overdue() {
      if (this != heard && this != next) {
        return false;
      }
      TimeSpan left = left();
      if (!left.over(TimeSpan.ZERO)) {
        return true;
      }
      look(left.atLeast(TimeSpan.ofMs(1)));
      return false;
    }

    /**
     * Nothing came for too long. The heard one is kept beside its successor; a successor that is
     * silent too gives way to another.
     */
    private void silent() {
      String why =
          "silent for " + Math.round(net.now().since(connection.lastReceivedAt()).ms()) + " ms";
      if (!connection.hasReceived()) {
        unanswered++;
      }
      if (this == next) {
        next = null;
      }
      dial();
      if (this == heard) {
        look(silence); // it may tell again, and fall silent once more
      } else {
        cut(why);
      }
      if (this == heard || heard == null) {
        reader.lost(why); // else it is lost already
      }
    }

    void cut(String why) {
      connection.cut(why);
    }

    @Override
    public boolean isStreaming() {
      return true;
    }

    @Override
    public void bodyPart(int status, ByteBuffer bytes) throws HttpException {
      if (this != heard && this != next) {
        return;
      }
      if (status != 200) {
        throw new HttpException("status " + status);
      }
      boolean whole = answer.piece(bytes);
      unanswered = 0;
      if (whole && this == next) {
        Watch before = heard;
        heard = this;
        next = null;
        if (before != null) {
          before.cut("another tells now");
        }
      }
      if (!whole && !midway) {
        look(answers.atMost(silence));
      }
      midway = !whole;
    }

    @Override
    public void completed(int status, byte[] body) {
      cut("it ended with status " + status);
      gone("it ended with status " + status);
    }

    @Override
    public void failed(String why, boolean carriedOut) {
      gone(why);
    }

    private void gone(String why) {
      if (stopped || this != heard && this != next) {
        return;
      }
      ReconnectingWatch.this.silent(); // noted while it is there
      // what lasted was good: else one that can't be read to its end would be asked for without a
      // pause
      if (net.now().since(asked).over(silence)) {
        pauses.reset();
      }
      if (this == next) {
        next = null;
      } else {
        heard = null;
      }
      if (heard == null) {
        reader.lost(why);
      }
      if (next == null && again == null) {
        again =
            net.at(
                net.now().plus(pauses.nextPause()),
                () -> {
                  again = null;
                  dial();
                });
      }
    }
  }

  /** Asks for a watch, unless one is asked for. */
  void dial() {
    if (stopped || next != null) {
      return;
    }
    if (again != null) {
      again.cancel();
    }
    again = null;
    next = new Watch();
    next.ask();
  }

  /** It is told elsewhere from now on, true where that is so. */
  boolean move(InetSocketAddress there) {
    if (there.equals(to) || stopped) {
      return false;
    }
    to = there;
    pauses.reset();
    unanswered = 0;
    Watch elsewhere = next;
    next = null;
    dial();
    if (elsewhere != null) {
      elsewhere.cut("moved");
    }
    return true;
  }

  /** How long nothing has come; for as long as there is no watch, since the last one went. */
  TimeSpan silent() {
    if (heard != null) {
      lastHeard = heard.connection.lastReceivedAt().laterOf(lastHeard);
    }
    return net.now().since(lastHeard);
  }

  void stop() {
    stopped = true;
    if (next != null) {
      next.cut("the relay ends");
    }
    if (heard != null) {
      heard.cut("the relay ends");
    }
  }
}
