package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;

/** Decides whether a request gets a further attempt (rule 2), and sends it. */
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

  /** Sends a further attempt, if that is allowed, in time and within the budget; says if it did. */
  boolean retryIfAllowed(Rpc rpc) {
    boolean late = settings.tick.times(4).over(rpc.deadline.since(actions.now()));
    if (late || !mayRetry(rpc) || !budget.hasCapacity()) {
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

  private boolean mayRetry(Rpc rpc) {
    boolean barred =
        !settings.hedging && rpc.inFlight() > 0 || rpc.attempts.size() >= settings.maxAttempts;
    if (rpc.ended() || rpc.streaming() || barred) {
      return false;
    }
    Attempt first = rpc.firstThatMayHaveRun();
    if (first == null || rpc.method.idempotent()) {
      return true;
    }
    return rpc.method.idempotency == Method.Idempotency.KEYED
        && rpc.method.keyLifetime.minus(settings.tick).over(actions.now().since(first.sent));
  }
}
