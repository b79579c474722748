package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;

/**
 * How many relays of a zone may be out at once: no more than the plan allows, and no more than the
 * fleet's load does. A relay that is lost counts as out too.
 */
final class RestartBudget {
  private final FleetState fleet;

  RestartBudget(FleetState fleet) {
    this.fleet = fleet;
  }

  /** Whether one more relay of a zone may be out. */
  boolean available(int zone) {
    return fleet.status.unavailable(zone) < limit(zone);
  }

  private int limit(int zone) {
    int byPlan = Math.max(1, (int) (fleet.plan.maxUnavailableShare() * fleet.status.size(zone)));
    Deployment active = fleet.active();
    boolean rollingBack = active != null && active.state == State.GOING_BACK;
    // what does worse is taken back even where the load leaves no budget, one relay at a time
    int byLoad =
        Math.max(rollingBack ? 1 : 0, fleet.restartBudgetByZone.getOrDefault(zone, byPlan));
    return Math.min(byPlan, byLoad);
  }

  /** What is left in each zone, for people. */
  String remainingText() {
    StringBuilder found = new StringBuilder();
    for (int zone : fleet.relays.values().stream().map(one -> one.zone).distinct().toList()) {
      found
          .append(found.length() == 0 ? "" : ", ")
          .append(zone)
          .append(": ")
          .append(Math.max(0, limit(zone) - fleet.status.unavailable(zone)));
    }
    return found.toString();
  }
}
