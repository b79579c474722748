package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;

/**
 * Limits how many relays of a zone may be unavailable at once, by the plan and by the fleet's load.
 * An unreachable relay counts as unavailable.
 */
final class RestartBudget {
  private final FleetState fleet;

  RestartBudget(FleetState fleet) {
    this.fleet = fleet;
  }

  /** Returns whether one more relay of a zone may become unavailable. */
  boolean available(int zone) {
    return fleet.status.unavailable(zone) < limit(zone);
  }

  private int limit(int zone) {
    int byPlan = Math.max(1, (int) (fleet.plan.maxUnavailableShare() * fleet.status.size(zone)));
    Deployment active = fleet.active();
    boolean rollingBack = active != null && active.state == State.GOING_BACK;
    // Even if the load leaves no budget, a rollback continues with one relay of each zone at a
    // time, because the new version does worse.
    int byLoad =
        Math.max(rollingBack ? 1 : 0, fleet.restartBudgetByZone.getOrDefault(zone, byPlan));
    return Math.min(byPlan, byLoad);
  }

  /** Describes the remaining budget of each zone, for operators. */
  String remainingText() {
    StringBuilder text = new StringBuilder();
    for (int zone : fleet.relays.values().stream().map(relay -> relay.zone).distinct().toList()) {
      text.append(text.length() == 0 ? "" : ", ")
          .append(zone)
          .append(": ")
          .append(Math.max(0, limit(zone) - fleet.status.unavailable(zone)));
    }
    return text.toString();
  }
}
