package sprucerock.controller.deployment;

import java.util.HashSet;
import java.util.Set;
import sprucerock.controller.deployment.Deployment.State;

/** Which reachable relays have not validated the proposed version yet, kept as relays change. */
final class ValidationTracker {
  private final FleetState fleet;
  private final Set<Integer> awaiting = new HashSet<>();

  ValidationTracker(FleetState fleet) {
    this.fleet = fleet;
  }

  /** Begins anew, with another proposed version or another fleet. */
  void rebuild() {
    awaiting.clear();
    for (ManagedRelay relay : fleet.examineAll()) {
      update(relay);
    }
  }

  /** A relay, or what its agent said of the proposed version, has changed. */
  void update(ManagedRelay relay) {
    Deployment proposed = fleet.pending();
    boolean awaits =
        proposed != null
            && proposed.state == State.PROPOSED
            && !relay.unreachable()
            && !proposed.validated.contains(relay.number)
            && !proposed.rejections.containsKey(relay.number);
    if (awaits) {
      awaiting.add(relay.number);
    } else {
      awaiting.remove(relay.number);
    }
  }

  /** How many relays have yet to answer. */
  int awaiting() {
    return awaiting.size();
  }
}
