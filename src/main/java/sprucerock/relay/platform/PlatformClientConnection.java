package sprucerock.relay.platform;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import sprucerock.relay.engine.RequestOutcome;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/**
 * A client's connection: one command at a time, answered in order; a bounded number wait behind it.
 */
final class PlatformClientConnection implements ConnectionListener, MessageFramer.Listener {
  private static final int MESSAGE = 160 * 1024;
  // a value of 64 KiB in hexadecimal, and its statement
  private static final int WAITING = 32;
  // commands; clients that send one behind another stay far below it
  private static final int WAITING_BYTES = 256 * 1024;
  private static final byte[] WELCOME = MessageWriter.sessionStart();
  private static final byte[] NO_ENCRYPTION = {'N'};

  private record Command(char type, byte[] body) {}

  /**
   * PARTING: it closes between two commands, unless one was read before it is closed. ENDING:
   * nothing more is taken.
   */
  private enum At {
    OPEN,
    PARTING,
    ENDING,
    CLOSED
  }

  private final ClientListener door;
  private final MessageFramer in = MessageFramer.fromClient(MESSAGE);
  private final ArrayDeque<Command> waiting = new ArrayDeque<>();
  private final Timestamp cameAt;
  private int waitingBytes;
  private Connection connection;
  private boolean started;
  private boolean asked;
  private At at = At.OPEN;

  /** It is to close between two commands. */
  private boolean leaves;

  private PlatformRequest open;
  private Timestamp partialSince;
  private Timestamp quietSince;

  /** {@code leaves}: it came as the relay was about to end, and is served once. */
  PlatformClientConnection(ClientListener door, Timestamp now, boolean leaves) {
    this.door = door;
    this.leaves = leaves;
    cameAt = now;
    quietSince = now;
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    door.up(this);
  }

  @Override
  public boolean wantsMore() {
    return at == At.OPEN;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (at == At.PARTING) {
      at = At.OPEN;
      // it crossed the close, which is taken back
    }
    if (!wantsMore()) {
      return;
    }
    try {
      in.feed(bytes, this);
      if (!in.isPartial()) {
        partialSince = null;
      } else if (partialSince == null) {
        partialSince = door.now();
      }
      pump();
      if (leaves) {
        leaveSoon();
      }
    } catch (ProtocolException e) {
      end("08P01", e.getMessage());
    }
  }

  @Override
  public void onMessage(char type, byte[] body) throws ProtocolException {
    if (type == 0) {
      startup(body);
      return;
    }
    waitingBytes += body.length;
    if (waiting.size() >= WAITING || waitingBytes > WAITING_BYTES) {
      throw new ProtocolException(
          "more than "
              + WAITING
              + " commands or "
              + WAITING_BYTES
              + " bytes wait on one connection");
    }
    waiting.add(new Command(type, body));
  }

  private void startup(byte[] body) throws ProtocolException {
    switch (MessageReader.parseStartup(body)) {
      case ENCRYPTION -> connection.append(NO_ENCRYPTION);
      case CANCEL -> end(null, "cancels nothing here");
      default -> {
        started = true;
        in.startupComplete();
        connection.append(WELCOME);
      }
    }
  }

  /** Takes up what waits, unless a command is being answered. */
  private void pump() throws ProtocolException {
    while (wantsMore() && open == null && !waiting.isEmpty()) {
      Command next = waiting.poll();
      waitingBytes -= next.body.length;
      if (next.type == 'X') {
        end(null, "client said goodbye");
      } else if (next.type == 'Q') {
        query(MessageReader.parseQuery(next.body));
      } else {
        throw new ProtocolException(
            "only simple queries are served here, not a message of type " + next.type);
      }
    }
  }

  private void query(byte[] text) {
    asked = true;
    quietSince = door.now();
    if (blank(text)) {
      answered(MessageWriter.emptyQueryResponse());
      return;
    }
    if (door.refuses()) {
      answered(
          MessageWriter.errorResponse(
              "ERROR", "57P03", "the relay is ending; trying again is harmless", null));
      return;
    }
    String wrong;
    try {
      Statement statement = door.read(text);
      PlatformRequest made = new PlatformRequest(this, statement);
      wrong = door.take(made);
      if (wrong == null) {
        open = made;
        door.arrived(made);
        return;
      }
    } catch (Statement.UnreadableException e) {
      wrong = e.getMessage();
    }
    door.refused(wrong);
    answered(MessageWriter.errorResponse("ERROR", "42601", wrong, null));
  }

  private static boolean blank(byte[] text) {
    for (byte b : text) {
      if (b != ' ' && b != ';' && b != '\n' && b != '\r' && b != '\t') {
        return false;
      }
    }
    return true;
  }

  private void answered(byte[]... messages) {
    for (byte[] message : messages) {
      connection.append(message);
    }
    connection.append(MessageWriter.readyForQuery());
    quietSince = door.now();
    if (leaves) {
      leaveSoon();
    }
  }

  /** The one final answer; none goes to a client that left. */
  void answer(PlatformRequest one, RequestOutcome ending, TimeSpan wait, byte[] body) {
    one.complete();
    if (!wantsMore() || open != one) {
      return;
    }
    open = null;
    switch (ending) {
      case OK -> answered(body);
      case REJECTED ->
          answered(
              MessageWriter.errorResponse(
                  "ERROR",
                  "53300",
                  "not taken; trying again is harmless",
                  wait.over(TimeSpan.ZERO) ? Long.toString((long) Math.ceil(wait.ms())) : null));
      default ->
          answered(MessageWriter.errorResponse("ERROR", "58000", "no unit gave an answer", null));
    }
    if (!waiting.isEmpty()) {
      door.later(
          () -> {
            // not while the module acts
            try {
              pump();
            } catch (ProtocolException e) {
              end("08P01", e.getMessage());
            }
          });
    }
  }

  void over(PlatformRequest one) {
    door.over(one);
  }

  /**
   * Says why, unless {@code code} is null, and closes; an RPC that is open has that as its answer.
   */
  private void end(String code, String why) {
    if (at != At.OPEN) {
      return;
    }
    if (code != null) {
      door.refused(why);
      connection.append(MessageWriter.errorResponse("FATAL", code, why, null));
    }
    at = At.ENDING;
    waiting.clear();
    leave();
    connection.finish();
  }

  /**
   * Closes between two commands. What the client sent and was not read it asks elsewhere; what was
   * read is served first.
   */
  private void part() {
    at = At.PARTING;
    connection.finishUnlessReceived();
  }

  private void leave() {
    if (open == null) {
      return;
    }
    PlatformRequest gone = open;
    open = null;
    door.left(gone);
  }

  @Override
  public void closed(String why) {
    at = At.CLOSED;
    waiting.clear();
    leave();
    door.gone(this);
  }

  /** Nothing is being asked on it, and nothing has been for so long. */
  boolean quietFor(TimeSpan time) {
    return wantsMore()
        && open == null
        && !in.isPartial()
        && waiting.isEmpty()
        && !time.over(door.now().since(quietSince));
  }

  Timestamp quietSince() {
    return quietSince;
  }

  boolean never() {
    return !started;
  }

  /** Closes as soon as nothing is asked on it. */
  void leaveSoon() {
    leaves = true;
    if (asked && quietFor(TimeSpan.ZERO)) {
      part();
    }
  }

  /**
   * The relay's time is over: what was asked has its answer by now, what comes is refused, and half
   * a command is no request.
   */
  void leaveNow() {
    leaves = true;
    if (wantsMore() && open == null && waiting.isEmpty()) {
      part();
    }
  }

  /** It gives way to others: between two commands in good order, one that never asked is told. */
  void giveWay() {
    door.refused("too many connections");
    if (asked) {
      part();
    } else {
      end("53300", "too many connections");
    }
  }

  /**
   * Ends it if it says nothing, or stays within a message, for too long. Guards against a loop that
   * stood still, and takes for silence what it has not heard yet.
   */
  void look(TimeSpan patience) {
    Timestamp heard = door.heardUpTo();
    if (!asked && open == null && heard.since(cameAt).over(patience)) {
      end("08P01", "nothing was asked for " + patience.ms() + " ms");
    } else if (partialSince != null && heard.since(partialSince).over(patience)) {
      end("08P01", "a message was begun and not ended for " + patience.ms() + " ms");
    }
  }
}
