package sprucerock.relay.platform;

import java.nio.ByteBuffer;
import sprucerock.model.AttemptOutcome;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/**
 * One connection to a unit, for one pick at a time. What comes is read strictly: an answer that is
 * not whole ends its pick as broken, and a connection on which anything came that was not asked for
 * is closed, as nobody can tell what follows. What it holds of an answer counts against the budget
 * of all answers; without room there, it is not read until there is some.
 */
final class PlatformEndpointConnection
    implements ConnectionListener, MessageFramer.Listener, BufferBudget.Holder {
  /**
   * SETTLING: answered and ready again, but what came behind the answer by now may still be on its
   * way. FENCED, FENCE_ANSWERED: the response to the empty query in front of a statement is
   * awaited, then its readiness.
   */
  private enum At {
    STARTING,
    SETTLING,
    IDLE,
    FENCED,
    FENCE_ANSWERED,
    ASKED,
    COLUMN,
    ROW,
    SERVED,
    FAILED
  }

  private static final int MESSAGE = 68 * 1024;
  // a value of 64 KiB, and what goes with it
  private static final TimeSpan READY = TimeSpan.ofMs(1000);
  // readiness comes right behind an answer
  private static final TimeSpan QUIET = TimeSpan.ofMs(10);
  // what came behind an answer by then shows that the connection is spoilt
  private static final long NOT_WRITTEN = Long.MAX_VALUE;
  private static final byte[] STARTUP = MessageWriter.startupMessage("svc", "main");
  private static final byte[] EMPTY_QUERY = MessageWriter.query(new byte[0]);
  private static final byte[] NOTHING = {};

  private final PlatformConnectionPool door;
  private final BufferBudget.Account account;
  private final MessageFramer in;
  private Timestamp lastReceivedAt;

  /** Bytes of messages that were read and are kept until the answer is complete. */
  private int keptBytes;

  private Connection connection;
  private At at = At.STARTING;
  private boolean authenticated;
  private boolean closed;
  private boolean becameReady;

  /** A statement was answered on it: a second copy of that answer may come at any time. */
  private boolean hasAnswered;

  /** What is to be done unless it comes out of the state that it is in, or null. */
  private Timer leaves;

  private AttemptOutcome startFailed = AttemptOutcome.NOT_CONNECTED;
  private PgExchange exchange;
  private long mark;

  /** Where the empty query in front of the statement ends. */
  private long fenceMark;

  private byte[] column;
  private byte[] row;

  /** Its unit can't have been without work on it for longer than since then. */
  Timestamp idleSince;

  PlatformEndpointConnection(PlatformConnectionPool door) {
    this.door = door;
    account = door.openAccount(this);
    in = MessageFramer.fromServer(MESSAGE, this::tryHold);
  }

  void connecting(Connection made) {
    connection = made;
  }

  boolean starting() {
    return at == At.STARTING;
  }

  /** It answered, and is about to be idle. */
  boolean settling() {
    return at == At.SETTLING;
  }

  /** What was last asked on it has not left this process. */
  boolean unsent() {
    return exchange != null && connection.bytesHandedOver() < mark;
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    connection.append(STARTUP);
  }

  void send(PgExchange next) {
    exchange = next;
    next.connection = this;
    at = At.ASKED;
    mark = NOT_WRITTEN;
    door.later(() -> write(next));
  }

  /**
   * At the end of the turn, by the clock read anew. Guards against a turn that takes long: its
   * statement would tell the unit more time than is left to the client, or would leave though its
   * client's close, its answer, its own end or what forbids it came meanwhile.
   */
  private void write(PgExchange next) {
    if (closed || exchange != next) {
      return;
    }
    Timestamp clock = door.clock();
    if (door.mayWrite(next) && next.deadline().after(clock)) {
      writeStatement(next, next.deadline().since(clock).ms());
      mark = connection.bytesWritten();
      door.written(next);
      return;
    }
    exchange = null;
    next.connection = null;
    at = At.IDLE;
    door.endsSoon(next, AttemptOutcome.MOOT);
    door.idle(this);
  }

  /**
   * On a connection that was used before, an empty query goes in front, in the same write. Guards
   * against a second copy of the answer before, however late it comes: it is read where the empty
   * query's response belongs, and never as the answer to this statement.
   */
  private void writeStatement(PgExchange next, double waitMs) {
    at = hasAnswered ? At.FENCED : At.ASKED;
    fenceMark = connection.bytesWritten() + EMPTY_QUERY.length;
    next.statement().writeQuery(connection, hasAnswered ? EMPTY_QUERY : NOTHING, waitMs);
  }

  @Override
  public boolean wantsMore() {
    return !closed;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (closed) {
      return;
    }
    lastReceivedAt = door.now();
    try {
      in.feed(bytes, this);
      if (closed) {
        return;
      }
      if (in.isBlocked()) {
        connection.pauseReading(); // until there is room, or nobody waits for the answer any more
      }
      if (isNothingAsked() && in.isPartial()) {
        throw new ProtocolException("something that was not asked for");
      }
      if ((at == At.SERVED || at == At.FAILED) && leaves == null) {
        leaves = door.within(READY, () -> cut("not ready again"));
      }
      if (becameReady) {
        ready();
      }
    } catch (ProtocolException e) {
      door.spoilt(e.getMessage());
      cut(e.getMessage());
    }
  }

  /**
   * Welcomed, or ready behind an answer. The latter is not used before its unit was silent for a
   * while: guards against a second copy of the answer, which would be taken for that of the next
   * statement. A loop that stood still has not heard that silence.
   */
  private void ready() {
    becameReady = false;
    idleSince = door.heardUpTo();
    if (at == At.IDLE) {
      door.idle(this);
      return;
    }
    leaves =
        door.within(
            QUIET.plus(door.turnSoFar()),
            () -> {
              leaves = null;
              at = At.IDLE;
              door.idle(this);
            });
  }

  @Override
  public void onMessage(char type, byte[] body) throws ProtocolException {
    if (type == 'N' || type == 'S') {
      account.release(body.length);
      return;
    }
    keptBytes += body.length;
    take(type, body);
    if (column == null && row == null) {
      releaseKept();
    }
  }

  /** What is small never waits: it may be the rest of an answer whose row is held. */
  private boolean tryHold(int bytes) {
    if (bytes > BufferBudget.FREE_BYTES) {
      return account.tryHold(bytes);
    }
    account.hold(bytes);
    return true;
  }

  private void releaseKept() {
    account.release(keptBytes);
    keptBytes = 0;
  }

  @Override
  public void roomAvailable() {
    connection.resumeReading();
  }

  @Override
  public Timestamp incompleteSince() {
    return in.admittedBytes() > 0 ? lastReceivedAt : null;
  }

  @Override
  public void evict() {
    String why = "an answer that stays incomplete while others wait for memory";
    door.spoilt(why);
    cut(why);
  }

  private void take(char type, byte[] body) throws ProtocolException {
    switch (at) {
      case STARTING -> starting(type, body);
      case FENCED -> {
        requireSent();
        expect(type, 'I');
        at = At.FENCE_ANSWERED;
      }
      case FENCE_ANSWERED -> {
        expect(type, 'Z');
        MessageReader.requireReadyForQuery(body);
        at = At.ASKED;
      }
      case ASKED -> {
        requireSent();
        if (type == 'T') {
          MessageReader.requireSingleColumn(body);
          column = body;
          at = At.COLUMN;
        } else {
          failed(type, body);
        }
      }
      case COLUMN -> {
        if (type == 'D') {
          MessageReader.parseSingleValue(body);
          row = body;
          at = At.ROW;
        } else {
          failed(type, body);
        }
      }
      case ROW -> {
        expect(type, 'C');
        MessageReader.parseCommandTag(body);
        at = At.SERVED;
        byte[] answer = MessageWriter.singleRow(column, row, body);
        column = null;
        row = null;
        ended(AttemptOutcome.OK, answer);
      }
      case SERVED, FAILED -> {
        expect(type, 'Z');
        MessageReader.requireReadyForQuery(body);
        if (leaves != null) {
          leaves.cancel();
        }
        leaves = null;
        at = At.SETTLING;
        hasAnswered = true;
        becameReady = true;
      }
      default -> throw new ProtocolException("something that was not asked for");
    }
  }

  /**
   * Guards against a second copy of the answer before, which comes in the turn in which the
   * connection was chosen.
   */
  private void requireSent() throws ProtocolException {
    if (isNothingAsked()) {
      throw new ProtocolException("something that was not asked for");
    }
  }

  /** Nothing that could be answered by now has left; a large statement leaves behind its fence. */
  private boolean isNothingAsked() {
    return switch (at) {
      case IDLE, SETTLING -> true;
      case FENCED, FENCE_ANSWERED -> connection.bytesHandedOver() < fenceMark;
      default -> unsent();
    };
  }

  private static void expect(char type, char wanted) throws ProtocolException {
    if (type != wanted) {
      throw new ProtocolException("a message of type " + type + " where " + wanted + " belongs");
    }
  }

  private void starting(char type, byte[] body) throws ProtocolException {
    if (type == 'R') {
      MessageReader.requireAuthenticationOk(body);
      authenticated = true;
    } else if (type == 'E') {
      if (full(body)) {
        startFailed = AttemptOutcome.FULL;
      }
      throw new ProtocolException("no session: " + MessageReader.parseErrorField(body, 'M'));
    } else if (type == 'Z' && authenticated) {
      MessageReader.requireReadyForQuery(body);
      at = At.IDLE;
      becameReady = true;
    } else if (type != 'K') {
      throw new ProtocolException("a message of type " + type + " in the welcome");
    }
  }

  private static boolean full(byte[] error) throws ProtocolException {
    return "53300".equals(MessageReader.parseErrorField(error, 'C'));
  }

  private void failed(char type, byte[] body) throws ProtocolException {
    expect(type, 'E');
    AttemptOutcome outcome =
        full(body) && at == At.ASKED ? AttemptOutcome.FULL : AttemptOutcome.ERROR;
    at = At.FAILED;
    column = null;
    ended(outcome, new byte[0]);
  }

  private void ended(AttemptOutcome outcome, byte[] answer) {
    PgExchange over = exchange;
    exchange = null;
    door.ended(over, outcome, answer);
  }

  /** Nobody waits for what was asked on it any more; true where that provably never left. */
  boolean giveUp() {
    exchange = null;
    boolean never = connection.bytesHandedOver() < mark;
    cut("given up");
    return never;
  }

  void cut(String why) {
    if (closed) {
      return;
    }
    connection.cut(why);
    down(why);
  }

  /** Closes in good order; nothing is asked on it. */
  void close() {
    if (closed) {
      return;
    }
    connection.append(MessageWriter.terminate());
    connection.finish();
    down("no longer needed");
  }

  private void down(String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (leaves != null) {
      leaves.cancel();
    }
    column = null;
    row = null;
    releaseKept();
    account.stopWaiting();
    account.release(in.admittedBytes());
    in.discard();
    PgExchange open = exchange;
    exchange = null;
    // the last byte of a query that has not left proves that it never ran; after that nobody knows
    if (open != null) {
      door.endsSoon(
          open,
          connection.bytesHandedOver() < mark
              ? AttemptOutcome.NOT_CONNECTED
              : AttemptOutcome.BROKEN);
    }
    door.down(this, startFailed, why);
  }

  @Override
  public void closed(String why) {
    down(why);
    door.gone(this);
  }
}
