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
  public interface Maker {
    RelayEvents make(RelayActions host, Settings settings, long seed);
  }

  private static final byte[] NO_BODY = {};

  protected final Net net;
  protected final Settings settings;
  protected final RequestTracker ledger;
  protected final EventLog events;
  protected RelayEvents module;
  private long lastRpc;

  protected RelayEngine(Net net, Settings settings, RequestTracker ledger, EventLog events) {
    this.net = net;
    this.settings = settings;
    this.ledger = ledger;
    this.events = events;
  }

  /** The module is made, told of nothing yet. */
  protected void begin(Maker maker, long seed) {
    module = maker.make(this, settings, seed);
    ledger.tell(module);
  }

  /** Puts the pick on a connection to its unit, now or later. */
  protected abstract void toUnit(AttemptExchange exchange);

  /**
   * Nobody waits for it any more; true where it was provably never sent. {@code told}: its unit may
   * be told.
   */
  protected abstract boolean giveUp(AttemptExchange exchange, boolean told);

  /**
   * The final answer to a client; what is answered an RPC twice or to one that left is dropped by
   * the door.
   */
  protected abstract void answer(
      Request asked, RequestOutcome ending, TimeSpan wait, long endpoint, byte[] body);

  protected AttemptExchange exchange(Attempt attempt, Timestamp ends) {
    return new AttemptExchange(attempt, ends);
  }

  /** What goes wrong in the program itself is logged here. */
  public void broken(Throwable why) {
    events.broken(why);
  }

  // What comes in.

  protected void arrived(
      Request asked, Method method, int tenant, long key, Timestamp deadline, TimeSpan hint) {
    // guards against a fault in the module: whatever it forgot has an answer, one that promises
    // nothing
    asked.until(net.at(deadline, () -> forgotten(asked)));
    asked.number(++lastRpc);
    ledger.arrived(asked.number(), method, tenant, key, net.now(), deadline, hint, asked);
  }

  private void forgotten(Request asked) {
    events.broken(new IllegalStateException("an RPC had no answer at its deadline; it is aborted"));
    abort(asked);
  }

  /** At the end of the relay's time: an answer that promises nothing. */
  public void abort(Request asked) {
    fail(ledger.rpc(asked.number()));
  }

  /** The client went away. */
  public void left(Request asked) {
    asked.over();
    ledger.clientLeft(ledger.rpc(asked.number()));
  }

  /** A pick ended; the first ok is its RPC's answer. */
  public void ended(AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    if (exchange.over()) {
      return;
    }
    exchange.end();
    Attempt attempt = exchange.attempt();
    boolean answers = outcome == AttemptOutcome.OK && !attempt.rpc.ended();
    if (answers) {
      answer(
          (Request) attempt.rpc.door, RequestOutcome.OK, TimeSpan.ZERO, attempt.endpoint.id, body);
    }
    ledger.attemptEnded(
        attempt, outcome, net.now().since(attempt.sent), answers || attempt.rpc.ended());
  }

  /** The same, but told once the module has returned from what it does now. */
  public void endsSoon(AttemptExchange exchange, AttemptOutcome outcome) {
    net.atTurnsEnd(() -> ended(exchange, outcome, NO_BODY));
  }

  /** It is on a connection now. */
  public void written(AttemptExchange exchange) {
    ledger.written(exchange.attempt());
  }

  private void timedOut(AttemptExchange exchange) {
    if (exchange.over()) {
      return;
    }
    boolean never = giveUp(exchange, false); // its unit was told how long it is waited for
    ended(exchange, never ? AttemptOutcome.MOOT : AttemptOutcome.TIMED_OUT, NO_BODY);
  }

  // What the module does.

  @Override
  public Timestamp now() {
    return net.now();
  }

  @Override
  public void send(Attempt attempt) {
    ledger.sent(attempt);
    Timestamp now = net.now();
    Timestamp until =
        attempt.patience == null
            ? attempt.rpc.deadline
            : attempt.rpc.deadline.earlier(now.plus(attempt.patience));
    AttemptExchange exchange = exchange(attempt, until);
    attempt.door = exchange;
    exchange.endBy(net.at(until, () -> timedOut(exchange)));
    boolean moot =
        attempt.rpc.ended()
            || !until.after(now)
            || attempt.rpc.attempts.size() > settings.maxAttempts;
    if (moot) {
      endsSoon(exchange, AttemptOutcome.MOOT);
    } else {
      toUnit(exchange);
    }
  }

  @Override
  public void cancel(Attempt attempt) {
    AttemptExchange exchange = (AttemptExchange) attempt.door;
    if (exchange.over()) {
      return;
    }
    boolean never = giveUp(exchange, true);
    endsSoon(exchange, never ? AttemptOutcome.MOOT : AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(Rpc rpc, TimeSpan wait) {
    answer((Request) rpc.door, RequestOutcome.PUSHED_BACK, wait, 0, NO_BODY);
    ledger.pushedBack(rpc);
  }

  @Override
  public void fail(Rpc rpc) {
    answer((Request) rpc.door, RequestOutcome.ABORTED, TimeSpan.ZERO, 0, NO_BODY);
    ledger.aborted(rpc);
  }

  @Override
  public void schedule(Timestamp when, Runnable what) {
    net.at(when, what);
  }

  @Override
  public void schedule(Rpc rpc, Timestamp when, Runnable what) {
    ((Request) rpc.door).until(net.at(when, what));
  }

  @Override
  public void schedule(Attempt attempt, Timestamp when, Runnable what) {
    ((AttemptExchange) attempt.door).until(net.at(when, what));
  }

  @Override
  public void log(String line) {
    events.info(EventLog.Kind.MODULE, line);
  }
}
