package sprucerock.relay.engine;

import sprucerock.accounting.RequestTracker;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;

/**
 * Carries out what the module chooses, alike in every relay that runs: each pick ends once, each
 * RPC has one final answer, and what is to be done for either ends with it. How clients and units
 * are spoken to is the doors' business. One thread.
 */
public abstract class RelayEngine implements RelayActions {
  /** Makes the module that decides. */
  public interface PolicyFactory {
    RelayEvents create(RelayActions host, Settings settings, long seed);
  }

  private static final byte[] NO_BODY = {};

  protected final Net net;
  protected final Settings settings;
  protected final RequestTracker requestTracker;
  protected final EventLog eventLog;
  protected RelayEvents policy;
  private long lastRpc;

  protected RelayEngine(Net net, Settings settings, RequestTracker ledger, EventLog events) {
    this.net = net;
    this.settings = settings;
    this.requestTracker = ledger;
    this.eventLog = events;
  }

  /** The module is made, told of nothing yet. */
  protected void createPolicy(PolicyFactory maker, long seed) {
    policy = maker.create(this, settings, seed);
    requestTracker.tell(policy);
  }

  /** Puts the pick on a connection to its unit, now or later. */
  protected abstract void sendToEndpoint(AttemptExchange exchange);

  /**
   * Nobody waits for it any more; true where it was provably never sent. {@code told}: its unit may
   * be told.
   */
  protected abstract boolean abandon(AttemptExchange exchange, boolean told);

  /**
   * The final answer to a client; what is answered an RPC twice or to one that left is dropped by
   * the door.
   */
  protected abstract void answer(
      Request asked, RequestOutcome ending, TimeSpan wait, long endpoint, byte[] body);

  protected AttemptExchange newExchange(Attempt attempt, Timestamp ends) {
    return new AttemptExchange(attempt, ends);
  }

  /** What goes wrong in the program itself is logged here. */
  public void internalError(Throwable why) {
    eventLog.internalError(why);
  }

  // What comes in.

  protected void requestArrived(
      Request asked, Method method, int tenant, long key, Timestamp deadline, TimeSpan hint) {
    // guards against a fault in the module: whatever it forgot has an answer, one that promises
    // nothing
    asked.cancelAtEnd(net.at(deadline, () -> forgotten(asked)));
    asked.requestId(++lastRpc);
    requestTracker.arrived(
        asked.requestId(), method, tenant, key, net.now(), deadline, hint, asked);
  }

  private void forgotten(Request asked) {
    eventLog.internalError(
        new IllegalStateException("an RPC had no answer at its deadline; it is aborted"));
    abort(asked);
  }

  /** At the end of the relay's time: an answer that promises nothing. */
  public void abort(Request asked) {
    abort(requestTracker.rpc(asked.requestId()));
  }

  /** The client went away. */
  public void clientLeft(Request asked) {
    asked.complete();
    requestTracker.clientLeft(requestTracker.rpc(asked.requestId()));
  }

  /** A pick ended; the first ok is its RPC's answer. */
  public void attemptEnded(AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    if (exchange.hasEnded()) {
      return;
    }
    exchange.markEnded();
    Attempt attempt = exchange.attempt();
    boolean answers = outcome == AttemptOutcome.OK && !attempt.rpc.ended();
    if (answers) {
      answer(
          (Request) attempt.rpc.door, RequestOutcome.OK, TimeSpan.ZERO, attempt.endpoint.id, body);
    }
    requestTracker.attemptEnded(
        attempt, outcome, net.now().since(attempt.sent), answers || attempt.rpc.ended());
  }

  /** The same, but told once the module has returned from what it does now. */
  public void attemptEndsAfterTurn(AttemptExchange exchange, AttemptOutcome outcome) {
    net.atTurnsEnd(() -> attemptEnded(exchange, outcome, NO_BODY));
  }

  /** It is on a connection now. */
  public void attemptWritten(AttemptExchange exchange) {
    requestTracker.written(exchange.attempt());
  }

  private void timedOut(AttemptExchange exchange) {
    if (exchange.hasEnded()) {
      return;
    }
    boolean never = abandon(exchange, false); // its unit was told how long it is waited for
    attemptEnded(exchange, never ? AttemptOutcome.MOOT : AttemptOutcome.TIMED_OUT, NO_BODY);
  }

  // What the module does.

  @Override
  public Timestamp now() {
    return net.now();
  }

  @Override
  public void send(Attempt attempt) {
    requestTracker.sent(attempt);
    Timestamp now = net.now();
    Timestamp until =
        attempt.patience == null
            ? attempt.rpc.deadline
            : attempt.rpc.deadline.earlier(now.plus(attempt.patience));
    AttemptExchange exchange = newExchange(attempt, until);
    attempt.door = exchange;
    exchange.setTimeoutTimer(net.at(until, () -> timedOut(exchange)));
    boolean moot =
        attempt.rpc.ended()
            || !until.after(now)
            || attempt.rpc.attempts.size() > settings.maxAttempts;
    if (moot) {
      attemptEndsAfterTurn(exchange, AttemptOutcome.MOOT);
    } else {
      sendToEndpoint(exchange);
    }
  }

  @Override
  public void cancel(Attempt attempt) {
    AttemptExchange exchange = (AttemptExchange) attempt.door;
    if (exchange.hasEnded()) {
      return;
    }
    boolean never = abandon(exchange, true);
    attemptEndsAfterTurn(exchange, never ? AttemptOutcome.MOOT : AttemptOutcome.CANCELLED);
  }

  @Override
  public void pushBack(Rpc rpc, TimeSpan wait) {
    answer((Request) rpc.door, RequestOutcome.REJECTED, wait, 0, NO_BODY);
    requestTracker.pushedBack(rpc);
  }

  @Override
  public void abort(Rpc rpc) {
    answer((Request) rpc.door, RequestOutcome.ABORTED, TimeSpan.ZERO, 0, NO_BODY);
    requestTracker.aborted(rpc);
  }

  @Override
  public void wake(Timestamp when, Runnable what) {
    net.at(when, what);
  }

  @Override
  public void wake(Rpc rpc, Timestamp when, Runnable what) {
    ((Request) rpc.door).cancelAtEnd(net.at(when, what));
  }

  @Override
  public void wake(Attempt attempt, Timestamp when, Runnable what) {
    ((AttemptExchange) attempt.door).cancelAtEnd(net.at(when, what));
  }

  @Override
  public void log(String line) {
    eventLog.info(EventLog.Event.MODULE, line);
  }
}
