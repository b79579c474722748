package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;

/** Decides whether a request gets another attempt (rule 2), and sends it. */
final class RetryPolicy {
  private final RelayActions actions;
  private final Settings settings;
  private final RetryBudget budget;
  private final EndpointSelector selector;
  private final AttemptSender sender;

  RetryPolicy(
      RelayActions actions,
      Settings settings,
      RetryBudget budget,
      EndpointSelector selector,
      AttemptSender sender) {
    this.actions = actions;
    this.settings = settings;
    this.budget = budget;
    this.selector = selector;
    this.sender = sender;
  }

  /**
   * Sends another attempt if rule 2, the remaining time and the retry budget permit one. Returns
   * whether an attempt was sent.
   */
  boolean retryIfAllowed(Rpc rpc) {
    boolean tooLate = settings.maxTimerDelay.times(4).over(rpc.deadline.since(actions.now()));
    if (tooLate || !mayRetry(rpc) || !budget.hasCapacity()) {
      return false;
    }
    Endpoint endpoint = selector.select(rpc);
    if (endpoint == null) {
      return false;
    }
    budget.spend(actions.now());
    sender.send(rpc, endpoint, false);
    return true;
  }

  // Rule 2: a request that may have run is repeated only if its method is idempotent, or within the
  // lifetime of its idempotency key.
  private boolean mayRetry(Rpc rpc) {
    boolean noMoreAttempts =
        !settings.hedgingAllowed && rpc.inFlight() > 0
            || rpc.attempts.size() >= settings.maxAttempts;
    if (rpc.ended() || rpc.streaming() || noMoreAttempts) {
      return false;
    }
    Attempt mayHaveRun = rpc.firstThatMayHaveRun();
    if (mayHaveRun == null || rpc.method.idempotent()) {
      return true;
    }
    return rpc.method.idempotency == Method.Idempotency.KEYED
        && rpc.method
            .keyLifetime
            .minus(settings.maxTimerDelay)
            .over(actions.now().since(mayHaveRun.sentAt));
  }
}
