package sprucerock.relay.platform;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Collections;
import sprucerock.relay.engine.RequestOutcome;
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
 * A client's connection: one command at a time, answered in order; a bounded number wait behind it.
 *
 * <p>What it holds of commands and open requests counts against the budget of all clients. A
 * command that finds no room there is not read for a while. Then it is read without being kept, and
 * answered as refused in its turn. Only a client that stays in the middle of such a command, or has
 * too many commands waiting, is ended, once all that was read before has its answer.
 */
final class PlatformClientConnection
    implements ConnectionListener, MessageFramer.Listener, BufferBudget.Holder {
  /** A value of 64 KiB in hexadecimal, and its statement. */
  private static final int MAX_COMMAND_BYTES = 160 * 1024;

  /** Clients that send one command behind another stay far below it. */
  private static final int MAX_WAITING_COMMANDS = 32;

  /** Well below half of the shortest deadlines: a refusal that comes later is worth less. */
  private static final TimeSpan MAX_MEMORY_WAIT = TimeSpan.ofMs(250);

  /** A client in the middle of a message that sends nothing for so long has read why it ends. */
  private static final TimeSpan LINGER = TimeSpan.ofMs(250);

  private static final int MAX_LINGERS = 8;

  /** Of answers that the client has not taken: beyond it no further command is taken up. */
  private static final int MAX_UNSENT_BYTES = 32 * 1024;

  private static final byte[] WELCOME = MessageWriter.sessionStart();
  private static final byte[] NO_ENCRYPTION = {'N'};

  /** A command that waits; one without a body was not kept, and is answered as refused. */
  private record Command(char type, byte[] body) {
    static final Command REFUSED = new Command('Q', null);

    boolean isRefused() {
      return body == null;
    }

    int size() {
      return body == null ? 0 : body.length;
    }
  }

  /** Why the connection is ended once what it is owed is answered. */
  private record Refusal(RefusalReason reason, String sqlState, String text) {}

  private enum State {
    OPEN,
    /** It closes between two commands, unless one was read before it is closed. */
    CLOSING_IF_IDLE,
    /** Nothing more is taken. */
    ENDING,
    CLOSED
  }

  private final ClientListener owner;
  private final BufferBudget.Account account;
  private final MessageFramer framer;
  private final ArrayDeque<Command> waiting = new ArrayDeque<>();
  private final Timestamp acceptedAt;
  private final UnservedCommandLimiter unserved;

  /** Runs out when commands that make no request may be taken up again; null while they may. */
  private Timer unservedTimer;

  private Connection connection;
  private boolean started;
  private boolean hasAsked;
  private State state = State.OPEN;

  /** It is to close between two commands. */
  private boolean isLeaving;

  /** Read, and not begun yet: it begins once all that came of its client is read. */
  private PlatformRequest next;

  private PlatformRequest open;
  private Timestamp partialSince;

  /** Since when the commands that are processed may have been there; null: since now. */
  private Timestamp turnCameAt;

  private Timestamp lastReceivedAt;
  private Timestamp quietSince;

  /** Nothing more can be read. */
  private boolean hasInputEnded;

  /** Ends the wait for memory; null while it does not wait. */
  private Timer memoryTimer;

  /** Null unless it is to be ended. */
  private Refusal refusal;

  private long unsentBefore;
  private Timestamp unsentSince;

  /** {@code isLeaving}: it came as the relay was about to end, and is served once. */
  PlatformClientConnection(ClientListener owner, Timestamp now, boolean isLeaving) {
    this.owner = owner;
    this.isLeaving = isLeaving;
    account = owner.openAccount(this);
    framer = MessageFramer.fromClient(MAX_COMMAND_BYTES, account::tryHold);
    acceptedAt = now;
    unserved = new UnservedCommandLimiter(now);
    lastReceivedAt = now;
    quietSince = now;
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    owner.connected(this);
  }

  @Override
  public boolean wantsMore() {
    return isOpen() && refusal == null;
  }

  private boolean isOpen() {
    return state == State.OPEN;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (state == State.CLOSING_IF_IDLE) {
      // it crossed the close, which is taken back
      state = State.OPEN;
    }
    lastReceivedAt = owner.now();
    if (!wantsMore()) {
      return;
    }
    try {
      boolean hadWaiting = !hasNothingToAnswer();
      framer.feed(bytes, this);
      notePartialMessage();
      turnCameAt = hadWaiting ? owner.now() : owner.heardUpTo();
      processWaiting();
      turnCameAt = null;
      if (isLeaving) {
        closeOnceIdle();
      }
      updateMemoryWait();
      if (isHeldBack()) {
        pauseWhileHeldBack();
      } else {
        beginOnceCaughtUp();
      }
    } catch (ProtocolException e) {
      end(RefusalReason.UNREADABLE_MESSAGE, "08P01", e.getMessage());
    }
  }

  @Override
  public void inputEnded() {
    hasInputEnded = true;
    if (framer.isPartial()) {
      // no more of it can be read: it is answered in its turn, as it was never sent on
      discardPartialMessage();
      enqueue(Command.REFUSED);
    }
    processNext();
    finishOnceAnswered();
  }

  /** Closes a connection on which nothing more can be read. */
  private void finishOnceAnswered() {
    if (hasInputEnded && wantsMore() && hasNothingToAnswer()) {
      state = State.ENDING;
      connection.finish();
    }
  }

  private void notePartialMessage() {
    if (!framer.isPartial() || framer.isBlocked()) {
      partialSince = null; // or it is this relay that does not read on
    } else if (partialSince == null) {
      partialSince = owner.now();
    }
  }

  @Override
  public void onMessage(char type, byte[] body) throws ProtocolException {
    partialSince = null;
    if (type == 0) {
      account.release(body.length);
      startup(body);
      return;
    }
    enqueue(new Command(type, body));
  }

  @Override
  public void messageSkipped() {
    partialSince = null;
    enqueue(Command.REFUSED);
  }

  /** One too many ends the connection: those that wait are answered as refused before that. */
  private void enqueue(Command command) {
    if (waiting.size() < MAX_WAITING_COMMANDS) {
      waiting.add(command);
      return;
    }
    account.release(command.size());
    refuseWaitingCommands();
    refusal =
        new Refusal(
            RefusalReason.TOO_MANY_WAITING,
            "08P01",
            "more than " + MAX_WAITING_COMMANDS + " commands wait on one connection");
  }

  private void refuseWaitingCommands() {
    int count = waiting.size() + (next == null ? 0 : 1);
    discardNext();
    releaseWaitingCommands();
    waiting.addAll(Collections.nCopies(count, Command.REFUSED));
  }

  private void startup(byte[] body) throws ProtocolException {
    switch (MessageReader.parseStartup(body)) {
      case ENCRYPTION -> {
        unserved.count(owner.now());
        connection.append(NO_ENCRYPTION);
      }
      case CANCEL -> endSilently();
      default -> {
        started = true;
        framer.startupComplete();
        connection.append(WELCOME);
      }
    }
  }

  // Clients that send faster than they are answered.

  /** Whether no command is taken up, and nothing read, until the client has caught up. */
  private boolean isHeldBack() {
    return unservedTimer != null
        || connection.unsentBytes() > MAX_UNSENT_BYTES
        || unserved.isExceeded(owner.now());
  }

  private void pauseWhileHeldBack() {
    partialSince = null; // it is this relay that does not read on
    connection.pauseReading();
    if (unservedTimer == null && unserved.isExceeded(owner.now())) {
      unservedTimer =
          owner.after(
              unserved.delay(),
              () -> {
                unservedTimer = null;
                goOn();
              });
    }
  }

  @Override
  public void allSent() {
    if (wantsMore() && unservedTimer == null) {
      goOn();
    }
  }

  /**
   * Takes up what waits, and reads on unless the client is held back again or memory is awaited.
   */
  private void goOn() {
    if (!wantsMore()) {
      return;
    }
    processNext();
    if (!wantsMore()) {
      return;
    }
    if (isHeldBack()) {
      pauseWhileHeldBack();
    } else if (!framer.isBlocked()) {
      connection.resumeReading();
    }
  }

  /** At the turn's end: what the system has already is read by then. */
  private void beginOnceCaughtUp() {
    if (next != null) {
      owner.atTurnsEnd(this::beginNext);
    }
  }

  private void beginNext() {
    if (next == null || !isOpen() || !connection.isCaughtUp()) {
      return; // what is read next calls again
    }
    open = next;
    next = null;
    owner.requestArrived(open);
  }

  private void discardNext() {
    if (next != null) {
      next.withdraw();
      next = null;
    }
  }

  // Memory.

  /** Stops reading while the next command has to wait for room; reads on once it has. */
  private void updateMemoryWait() {
    if (!wantsMore() || !framer.isBlocked()) {
      cancelMemoryTimer();
      return;
    }
    connection.pauseReading();
    if (memoryTimer == null) {
      memoryTimer =
          owner.afterSilence(MAX_MEMORY_WAIT, () -> skipMessage("no memory for its command"));
    }
  }

  private void cancelMemoryTimer() {
    if (memoryTimer != null) {
      memoryTimer.cancel();
      memoryTimer = null;
    }
  }

  @Override
  public void roomAvailable() {
    if (!isHeldBack()) {
      connection.resumeReading();
    }
  }

  @Override
  public Timestamp incompleteSince() {
    return framer.admittedBytes() > 0 ? lastReceivedAt : null;
  }

  @Override
  public void evict() {
    skipMessage("its command stays incomplete and others wait for memory");
  }

  /** Reads the command that has begun without keeping it: it is answered as refused in its turn. */
  private void skipMessage(String why) {
    if (!wantsMore()) {
      return;
    }
    releasePartialMemory();
    framer.skip();
    partialSince = owner.now();
    if (!isHeldBack()) {
      connection.resumeReading();
    }
    String reason = why + "; trying again is harmless";
    if (started) {
      refuseOnceSilent(reason);
    } else {
      refuse(reason); // before the welcome no answer to a command has a meaning
    }
  }

  private void refuse(String reason) {
    refusal = new Refusal(RefusalReason.NO_ROOM, "53300", reason);
    endIfRefused();
  }

  /** Guards against a client that stays in the middle of a command that was refused. */
  private void refuseOnceSilent(String reason) {
    Timestamp since = owner.now();
    owner.afterSilence(
        LINGER,
        () -> {
          if (!wantsMore() || !framer.isSkipping()) {
            return;
          }
          if (lastReceivedAt.after(since)) {
            refuseOnceSilent(reason);
            return;
          }
          refuse(reason);
        });
  }

  /** Once what was taken before has its answer, which the error would be mistaken for. */
  private void endIfRefused() {
    if (refusal != null && isOpen() && hasNothingToAnswer()) {
      end(refusal.reason, refusal.sqlState, refusal.text);
    }
  }

  private void releasePartialMemory() {
    cancelMemoryTimer();
    account.stopWaiting();
    account.release(framer.admittedBytes());
  }

  private void discardPartialMessage() {
    releasePartialMemory();
    framer.discard();
    partialSince = null;
  }

  private void releaseWaitingCommands() {
    for (Command command : waiting) {
      account.release(command.size());
    }
    waiting.clear();
  }

  // Commands and answers.

  /** Takes up what waits, unless a command is being answered. */
  private void processWaiting() throws ProtocolException {
    while (isOpen() && open == null && next == null && !waiting.isEmpty() && mayProcess()) {
      process(waiting.poll());
    }
    endIfRefused();
  }

  /** Once it is to be ended what waits has its answer at once. */
  private boolean mayProcess() {
    return refusal != null || hasInputEnded || !isHeldBack();
  }

  private boolean hasNothingToAnswer() {
    return open == null && next == null && waiting.isEmpty();
  }

  private void process(Command command) throws ProtocolException {
    if (command.isRefused()) {
      hasAsked = true;
      owner.logRefusal(RefusalReason.NO_ROOM, "no room for its command");
      answered(
          MessageWriter.errorResponse(
              "ERROR", "53300", "no room for the command; trying again is harmless", null));
      return;
    }
    if (command.type == 'Q') {
      query(command.body);
      return;
    }
    account.release(command.size());
    if (command.type != 'X') {
      throw new ProtocolException(
          "only simple queries are served here, not a message of type " + command.type);
    }
    endSilently();
  }

  /** Takes a query; its bytes are released with the request, or here if none is made of it. */
  private void query(byte[] body) throws ProtocolException {
    int length;
    try {
      length = MessageReader.queryLength(body);
    } catch (ProtocolException e) {
      account.release(body.length);
      throw e;
    }
    hasAsked = true;
    quietSince = owner.now();
    PlatformRequest request = openRequest(body, length);
    if (request == null) {
      account.release(body.length);
      return;
    }
    next = request;
    beginOnceCaughtUp();
  }

  /** The request that a query makes; null if it is answered at once. */
  private PlatformRequest openRequest(byte[] body, int length) {
    if (isBlank(body, length)) {
      unserved.count(owner.now());
      answered(MessageWriter.emptyQueryResponse());
      return null;
    }
    if (owner.isRefusing()) {
      answered(refusalAtTheEnd());
      return null;
    }
    String error;
    try {
      PlatformRequest request =
          new PlatformRequest(this, owner.parse(body, length), turnCameAt(), body.length);
      error = owner.open(request);
      if (error == null) {
        return request;
      }
    } catch (Statement.UnreadableException e) {
      error = e.getMessage();
    }
    unserved.count(owner.now());
    owner.logRefusal(RefusalReason.UNREADABLE_STATEMENT, error);
    answered(MessageWriter.errorResponse("ERROR", "42601", error, null));
    return null;
  }

  /**
   * From when on a request's time counts: it may have come while the loop stood still, unless it
   * had to wait for others on its connection.
   */
  private Timestamp turnCameAt() {
    return turnCameAt == null ? owner.now() : turnCameAt;
  }

  private static byte[] refusalAtTheEnd() {
    return MessageWriter.errorResponse(
        "ERROR", "57P03", "the relay is ending; trying again is harmless", null);
  }

  private static boolean isBlank(byte[] text, int length) {
    for (int i = 0; i < length; i++) {
      byte b = text[i];
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
    quietSince = owner.now();
    if (hasInputEnded) {
      owner.atTurnsEnd(this::finishOnceAnswered);
    } else if (isLeaving) {
      closeOnceIdle();
    }
  }

  /** The one final answer; none goes to a client that left. */
  void answer(PlatformRequest request, RequestOutcome outcome, TimeSpan wait, byte[] body) {
    request.complete();
    if (!isOpen() || open != request) {
      return;
    }
    open = null;
    switch (outcome) {
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
    if (!waiting.isEmpty() || refusal != null) {
      owner.atTurnsEnd(this::processNext); // not while the policy acts
    }
  }

  private void processNext() {
    try {
      processWaiting();
    } catch (ProtocolException e) {
      end(RefusalReason.UNREADABLE_MESSAGE, "08P01", e.getMessage());
    }
  }

  /** The request has its answer. */
  void requestCompleted(PlatformRequest request) {
    owner.closeRequest(request);
  }

  /** Neither the request nor an attempt of it needs its bytes any more. */
  void requestReleased(int bytes) {
    account.release(bytes);
  }

  // The end of the connection.

  /** Says why, and closes; an RPC that is open has that as its answer. */
  private void end(RefusalReason reason, String code, String why) {
    if (!isOpen()) {
      return;
    }
    owner.logRefusal(reason, why);
    connection.append(MessageWriter.errorResponse("FATAL", code, why, null));
    endSilently();
  }

  private void endSilently() {
    if (!isOpen()) {
      return;
    }
    state = State.ENDING;
    discardPartialMessage();
    releaseWaitingCommands();
    abandonOpenRequest();
    if (refusal != null) {
      // guards against a reset that overtakes the error, as bytes that are not read cause one
      connection.resumeReading();
      finishOnceSilent(MAX_LINGERS);
    } else {
      connection.finish();
    }
  }

  private void finishOnceSilent(int lingersLeft) {
    Timestamp since = owner.now();
    owner.after(
        LINGER,
        () -> {
          if (lastReceivedAt.after(since) && lingersLeft > 1) {
            finishOnceSilent(lingersLeft - 1);
          } else {
            connection.finish();
          }
        });
  }

  /**
   * Closes between two commands. What the client sent and was not read it asks elsewhere; what was
   * read is served first.
   */
  private void closeIfIdle() {
    if (hasInputEnded) {
      finishOnceAnswered();
      return;
    }
    state = State.CLOSING_IF_IDLE;
    connection.finishUnlessReceived();
  }

  private void abandonOpenRequest() {
    discardNext();
    if (unservedTimer != null) {
      unservedTimer.cancel();
      unservedTimer = null;
    }
    if (open == null) {
      return;
    }
    PlatformRequest abandoned = open;
    open = null;
    owner.clientLeft(abandoned);
  }

  @Override
  public void closed(String why) {
    if (open != null) {
      owner.logLeft(open, why);
    } else if (isOpen() && !why.equals(Connection.CLOSED_BY_PEER)) {
      owner.logCut(why);
    }
    state = State.CLOSED;
    discardPartialMessage();
    releaseWaitingCommands();
    abandonOpenRequest();
    owner.closed(this);
  }

  /** Nothing is being asked on it, and nothing has been for so long. */
  boolean isQuietFor(TimeSpan time) {
    return wantsMore()
        && hasNothingToAnswer()
        && !framer.isPartial()
        && !time.over(owner.now().since(quietSince));
  }

  Timestamp quietSince() {
    return quietSince;
  }

  boolean isStarted() {
    return started;
  }

  /** Closes as soon as nothing is asked on it. */
  void closeOnceIdle() {
    isLeaving = true;
    if (hasAsked && isQuietFor(TimeSpan.ZERO)) {
      closeIfIdle();
    }
  }

  /**
   * The relay's time is over: what was asked has its answer by now, what comes is refused, and half
   * a command is no request.
   */
  void closeNow() {
    isLeaving = true;
    if (next != null) {
      discardNext();
      answered(refusalAtTheEnd());
    }
    if (wantsMore() && hasNothingToAnswer()) {
      closeIfIdle();
    }
  }

  /** It gives way to others: between two commands in good order, one that never asked is told. */
  void giveWay() {
    if (hasAsked) {
      owner.logRefusal(RefusalReason.TOO_MANY_CONNECTIONS, "too many connections");
      closeIfIdle();
    } else {
      end(RefusalReason.TOO_MANY_CONNECTIONS, "53300", "too many connections");
    }
  }

  /**
   * Ends it if it says nothing or stays within a message for too long, or does not read while other
   * answers wait for memory. Guards against a loop that stood still, and takes for silence what it
   * has not heard yet.
   */
  void checkSilence(TimeSpan limit) {
    Timestamp heardUpTo = owner.heardUpTo();
    if (!hasAsked && heardUpTo.since(acceptedAt).over(limit)) {
      end(RefusalReason.SILENT, "08P01", "nothing was asked for " + limit.ms() + " ms");
    } else if (partialSince != null && heardUpTo.since(partialSince).over(limit)) {
      end(
          RefusalReason.SILENT,
          "08P01",
          "a message was begun and not ended for " + limit.ms() + " ms");
    } else if (owner.answersWaitForMemory() && hasUnsentFor(limit)) {
      connection.cut("does not read what it is sent");
    }
  }

  /** Whether the client has taken nothing of what waits for it for so long. */
  private boolean hasUnsentFor(TimeSpan limit) {
    long unsent = connection == null ? 0 : connection.unsentBytes();
    if (unsent == 0 || unsent != unsentBefore) {
      unsentBefore = unsent;
      unsentSince = owner.now();
      return false;
    }
    return owner.heardUpTo().since(unsentSince).over(limit);
  }
}
