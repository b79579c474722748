package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/** Ends requests that no endpoint answered, and cancels what is still out for them. */
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
   * The final answer once nothing more can be done; at once, so that the client can use its time. A
   * rejection says that the client may safely try again; else the request fails.
   */
  void endUnanswered(Rpc rpc) {
    admission.settle(rpc);
    if (rpc.firstThatMayHaveRun() == null || rpc.method.repeatableAnywhere()) {
      // half a latency objective: about what a queue that long needs to drain
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
    for (Attempt attempt : rpc.attempts) {
      if (attempt.outcome() == null && attempt.shadowPair == null) {
        actions.cancel(attempt);
      }
    }
  }
}
