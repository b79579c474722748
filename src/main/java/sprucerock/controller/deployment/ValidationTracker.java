package sprucerock.controller.deployment;

import java.util.HashSet;
import java.util.Set;
import sprucerock.controller.deployment.Deployment.State;

/** Tracks which reachable relays have not validated the proposed version yet. */
final class ValidationTracker {
  private final FleetState fleet;
  private final Set<Integer> awaiting = new HashSet<>();

  ValidationTracker(FleetState fleet) {
    this.fleet = fleet;
  }

  /** Recomputes the set after a new proposal, or after the state was restored. */
  void rebuild() {
    awaiting.clear();
    for (ManagedRelay relay : fleet.examineAll()) {
      update(relay);
    }
  }

  /** Updates the entry of a relay after its state or its validation has changed. */
  void update(ManagedRelay relay) {
    Deployment proposed = fleet.pending();
    boolean isAwaiting =
        proposed != null
            && proposed.state == State.PROPOSED
            && !relay.unreachable()
            && !proposed.validated.contains(relay.number)
            && !proposed.rejections.containsKey(relay.number);
    if (isAwaiting) {
      awaiting.add(relay.number);
    } else {
      awaiting.remove(relay.number);
    }
  }

  /** Returns how many relays have yet to validate the version. */
  int awaiting() {
    return awaiting.size();
  }
}
