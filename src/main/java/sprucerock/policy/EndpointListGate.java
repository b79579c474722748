package sprucerock.policy;

import sprucerock.model.EndpointListState;

/**
 * Decides whether attempts may be sent by the endpoint list that the relay has. A change that
 * discovery's agent has counts as notified from the first moment of a process, whether or not it
 * was read. So by an unconfirmed list nothing is sent (rule 3), and requests are rejected.
 */
final class EndpointListGate {
  private EndpointListState state = EndpointListState.CONFIRMED;

  void stateChanged(EndpointListState newState) {
    state = newState;
  }

  boolean allowsAttempts() {
    return state == EndpointListState.CONFIRMED;
  }
}
