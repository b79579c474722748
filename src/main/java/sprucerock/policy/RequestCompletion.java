package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/** Ends requests that no endpoint answered, and cancels their attempts in flight. */
final class RequestCompletion {
  private final RelayActions actions;
  private final Settings settings;
  private final AdmissionController admission;

  RequestCompletion(RelayActions actions, Settings settings, AdmissionController admission) {
    this.actions = actions;
    this.settings = settings;
    this.admission = admission;
  }

  /**
   * Ends a request that cannot be answered any more. The request ends at once, so that the client
   * can use the remaining time. A rejection tells the client that a retry is safe; if it is not,
   * the request fails.
   */
  void endUnanswered(Rpc rpc) {
    admission.settle(rpc);
    if (rpc.firstThatMayHaveRun() == null || rpc.method.repeatableAnywhere()) {
      // A queue of the tolerated length drains in about half a latency objective.
      TimeSpan wait = rpc.method.latencyObjective.times(0.5).atMost(settings.maxRetryAfter);
      actions.reject(rpc, settings.retryAfterAllowed ? wait : TimeSpan.ZERO);
    } else {
      actions.fail(rpc);
    }
    cancelInFlight(rpc);
  }

  void clientDisconnected(Rpc rpc) {
    admission.settle(rpc);
    cancelInFlight(rpc);
  }

  private void cancelInFlight(Rpc rpc) {
    if (!settings.cancellationAllowed) {
      return;
    }
    // Attempts of shadow pairs continue, as evidence on the canary.
    for (Attempt attempt : rpc.attempts) {
      if (attempt.outcome() == null && attempt.shadowPair == null) {
        actions.cancel(attempt);
      }
    }
  }
}
