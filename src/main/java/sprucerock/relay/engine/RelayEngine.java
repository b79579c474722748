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
 * Carries out the routing policy's decisions, alike in every relay: each attempt ends exactly once,
 * each request gets one final answer, and the timers of either are cancelled when it ends. How
 * clients and endpoints are spoken to is left to the subclasses. For the event loop's thread only.
 */
public abstract class RelayEngine implements RelayActions {
  /** Creates the routing policy of a relay. */
  public interface PolicyFactory {
    /**
     * Creates the policy, which is told of nothing yet and may do nothing before it is.
     *
     * @param actions what the policy acts through
     * @param seed of the policy's random draws
     */
    RelayEvents create(RelayActions actions, Settings settings, long seed);
  }

  /**
   * Of the heap's size, for what clients' incomplete and open requests hold together;
   * docs/CAPACITY.md has what the rest is for.
   */
  protected static final double REQUEST_MEMORY_SHARE = 1.0 / 4;

  /** Of the heap's size, for answers on their way from endpoints to clients. */
  protected static final double ANSWER_MEMORY_SHARE = 1.0 / 8;

  private static final byte[] NO_BODY = {};

  /** The event loop: its clock, timers and connections. */
  protected final Net net;

  /** What the site allows: methods, limits, rules. */
  protected final Settings settings;

  /** The open requests and attempts, their accounts, and the known endpoints. */
  protected final RequestTracker requestTracker;

  /** The relay's log. */
  protected final EventLog eventLog;

  /** What decides; null until {@link #createPolicy}. */
  protected RelayEvents policy;

  private long lastRequestId;

  /** An engine without a policy, see {@link #createPolicy}. */
  protected RelayEngine(
      Net net, Settings settings, RequestTracker requestTracker, EventLog eventLog) {
    this.net = net;
    this.settings = settings;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
  }

  /** Creates the policy; from here on it is told of all that the tracker learns. */
  protected void createPolicy(PolicyFactory factory, long seed) {
    policy = factory.create(this, settings, seed);
    requestTracker.setListener(policy);
  }

  /** Puts the attempt on a connection to its endpoint, now or once there is one. */
  protected abstract void sendToEndpoint(AttemptExchange exchange);

  /**
   * Stops waiting for an attempt that was cancelled or timed out. Its outcome follows separately.
   *
   * @param notifyEndpoint whether its endpoint may be told that it can stop
   * @return true where the attempt was provably never sent
   */
  protected abstract boolean abandon(AttemptExchange exchange, boolean notifyEndpoint);

  /**
   * Sends a client the final answer to its request. A second answer, and one to a client that has
   * left, is dropped here.
   *
   * @param retryAfter how long the client should wait before it retries; meant for {@link
   *     RequestOutcome#REJECTED}, else zero
   * @param endpoint id of the endpoint that answered; 0 where none did
   * @param body of the answer; empty unless it is {@link RequestOutcome#OK}
   */
  protected abstract void answer(
      Request request, RequestOutcome outcome, TimeSpan retryAfter, long endpoint, byte[] body);

  /** The exchange of an attempt that times out at {@code deadline}, in the subclass's own type. */
  protected AttemptExchange newExchange(Attempt attempt, Timestamp deadline) {
    return new AttemptExchange(attempt, deadline);
  }

  /** Logs a fault of the program itself. */
  public void internalError(Throwable fault) {
    eventLog.internalError(fault);
  }

  // Events, from clients and endpoints.

  /**
   * Takes a client's request and hands it to the policy.
   *
   * @param tenant number of the tenant it belongs to
   * @param key by which requests are kept together; 0: none
   * @param deadline by which it has its final answer
   * @param hint how long the client expects it to take; null: it said nothing
   */
  protected void requestArrived(
      Request request, Method method, int tenant, long key, Timestamp deadline, TimeSpan hint) {
    // guards against a fault in the policy: a request that it forgot is aborted, which is true
    // whatever became of it
    request.cancelAtEnd(net.at(deadline, () -> abortForgotten(request)));
    request.requestId(++lastRequestId);
    requestTracker.rpcArrived(
        request.requestId(), method, tenant, key, net.now(), deadline, hint, request);
  }

  private void abortForgotten(Request request) {
    eventLog.internalError(
        new IllegalStateException("an RPC had no answer at its deadline; it is aborted"));
    abort(request);
  }

  /** Aborts an open request, as its deadline or the relay's own end has come. */
  public void abort(Request request) {
    fail(requestTracker.rpc(request.requestId()));
  }

  /** The client left or withdrew the request: nobody waits for the answer. */
  public void clientLeft(Request request) {
    request.complete();
    requestTracker.clientDisconnected(requestTracker.rpc(request.requestId()));
  }

  /**
   * Ends an attempt; one that has ended before is ignored. The first that succeeds is its request's
   * answer.
   *
   * @param body of the endpoint's answer; empty unless the outcome is OK
   */
  public void attemptEnded(AttemptExchange exchange, AttemptOutcome outcome, byte[] body) {
    if (exchange.hasEnded()) {
      return;
    }
    exchange.markEnded();
    Attempt attempt = exchange.attempt();
    boolean answers = outcome == AttemptOutcome.OK && !attempt.rpc.ended();
    if (answers) {
      answer(
          (Request) attempt.rpc.attachment,
          RequestOutcome.OK,
          TimeSpan.ZERO,
          attempt.endpoint.id,
          body);
    }
    requestTracker.attemptEnded(
        attempt, outcome, net.now().since(attempt.sentAt), answers || attempt.rpc.ended());
    ((Request) attempt.rpc.attachment).attemptEnded();
  }

  /** Ends an attempt at the end of this turn of the loop, so that the policy is not re-entered. */
  public void attemptEndsAfterTurn(AttemptExchange exchange, AttemptOutcome outcome) {
    net.atTurnsEnd(() -> attemptEnded(exchange, outcome, NO_BODY));
  }

  /** The attempt has been handed to a connection. */
  public void attemptWritten(AttemptExchange exchange) {
    requestTracker.attemptWritten(exchange.attempt());
  }

  /**
   * Whether an attempt may be written to its connection now. What its selection rested on may have
   * changed while it waited for that.
   *
   * @param clock the event loop's clock, read anew where a turn may take long
   */
  public boolean mayWrite(AttemptExchange exchange, Timestamp clock) {
    return exchange.mayStart(clock) && policy.mayWrite(exchange.attempt());
  }

  private void timedOut(AttemptExchange exchange) {
    if (exchange.hasEnded()) {
      return;
    }
    // the endpoint need not be told: it knows the deadline
    boolean neverSent = abandon(exchange, false);
    attemptEnded(exchange, neverSent ? AttemptOutcome.MOOT : AttemptOutcome.TIMED_OUT, NO_BODY);
  }

  // Actions, by the policy.

  @Override
  public Timestamp now() {
    return net.now();
  }

  @Override
  public void send(Attempt attempt) {
    requestTracker.attemptSent(attempt);
    Timestamp now = net.now();
    Timestamp deadline =
        attempt.timeout == null
            ? attempt.rpc.deadline
            : attempt.rpc.deadline.earlierOf(now.plus(attempt.timeout));
    AttemptExchange exchange = newExchange(attempt, deadline);
    attempt.attachment = exchange;
    ((Request) attempt.rpc.attachment).attemptBegan();
    exchange.setTimeoutTimer(net.at(deadline, () -> timedOut(exchange)));
    boolean isMoot =
        attempt.rpc.ended()
            || !deadline.after(now)
            || attempt.rpc.attempts.size() > settings.maxAttempts;
    if (isMoot) {
      attemptEndsAfterTurn(exchange, AttemptOutcome.MOOT);
    } else {
      sendToEndpoint(exchange);
    }
  }

  @Override
  public void cancel(Attempt attempt) {
    AttemptExchange exchange = (AttemptExchange) attempt.attachment;
    if (exchange.hasEnded()) {
      return;
    }
    boolean neverSent = abandon(exchange, true);
    attemptEndsAfterTurn(exchange, neverSent ? AttemptOutcome.MOOT : AttemptOutcome.CANCELLED);
  }

  @Override
  public void reject(Rpc rpc, TimeSpan wait) {
    answer((Request) rpc.attachment, RequestOutcome.REJECTED, wait, 0, NO_BODY);
    requestTracker.rpcRejected(rpc);
  }

  @Override
  public void fail(Rpc rpc) {
    answer((Request) rpc.attachment, RequestOutcome.ABORTED, TimeSpan.ZERO, 0, NO_BODY);
    requestTracker.rpcAborted(rpc);
  }

  @Override
  public void schedule(Timestamp when, Runnable what) {
    net.at(when, what);
  }

  @Override
  public void schedule(Rpc rpc, Timestamp when, Runnable what) {
    ((Request) rpc.attachment).cancelAtEnd(net.at(when, what));
  }

  @Override
  public void schedule(Attempt attempt, Timestamp when, Runnable what) {
    ((AttemptExchange) attempt.attachment).cancelAtEnd(net.at(when, what));
  }

  @Override
  public void log(String line) {
    eventLog.info(EventLog.Event.MODULE, line);
  }
}
