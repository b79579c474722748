package sprucerock.controller.deployment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Chooses the relays of a stage: how many, which one is next, and which one is its control. */
final class RelaySelector {
  /** Orders controls behind all relays that are none: above any sum of the other parts. */
  private static final double CONTROL_PENALTY = 10;

  /** Makes the share of busy and quiet relays decide only between zones that are equal. */
  private static final double LOAD_CLASS_WEIGHT = 0.01;

  /** Keeps a share of a number of relays from being rounded up by a floating-point error. */
  private static final double ROUNDING_SLACK = 1e-9;

  /** How many relays of a group there are, and how many of them were updated. */
  private static final class Group {
    private int size;
    private int updated;

    void add(boolean isUpdated) {
      size++;
      updated += isUpdated ? 1 : 0;
    }
  }

  private final FleetState fleet;
  private final RestartBudget budget;

  RelaySelector(FleetState fleet, RestartBudget budget) {
    this.fleet = fleet;
    this.budget = budget;
  }

  /** How many relays run the new version at the end of the deployment's stage. */
  int targetSize(Deployment deployment) {
    int able = 0; // who does not serve is left out, and updated at the end
    for (ManagedRelay relay : fleet.examineAll()) {
      if (deployment.updated.contains(relay.number)
          || relay.serving() && !deployment.rejections.containsKey(relay.number)) {
        able++;
      }
    }
    double share = fleet.plan.stages().get(deployment.stage).share();
    return deployment.stage == 0 ? 1 : (int) Math.ceil(share * able - ROUNDING_SLACK);
  }

  /**
   * The relay to be updated next; null where none may be. Zones, then busy and quiet relays, take
   * turns by the share of them that was updated; controls come last.
   */
  ManagedRelay nextCandidate(Deployment deployment) {
    Map<Integer, Group> zones = new HashMap<>();
    Map<Integer, Group> loadClasses = new HashMap<>();
    for (ManagedRelay relay : fleet.examineAll()) {
      boolean updated = deployment.updated.contains(relay.number);
      zones.computeIfAbsent(relay.zone, zone -> new Group()).add(updated);
      loadClasses.computeIfAbsent(loadClass(relay), any -> new Group()).add(updated);
    }
    Map<Integer, Boolean> budgetByZone = new HashMap<>();
    Set<Integer> controls = new HashSet<>(deployment.controls.values());
    ManagedRelay best = null;
    double leastRank = 0;
    for (ManagedRelay relay : fleet.examineAll()) {
      boolean eligible =
          relay.serving()
              && !deployment.updated.contains(relay.number)
              && !deployment.rejections.containsKey(relay.number);
      if (!eligible || !budgetByZone.computeIfAbsent(relay.zone, budget::available)) {
        continue;
      }
      double rank =
          rank(
              relay,
              controls.contains(relay.number),
              zones.get(relay.zone),
              loadClasses.get(loadClass(relay)),
              deployment.updated.isEmpty());
      if (best == null || rank < leastRank) {
        best = relay;
        leastRank = rank;
      }
    }
    return best;
  }

  private static int loadClass(ManagedRelay relay) {
    return 2 * relay.zone + (relay.busy ? 1 : 0);
  }

  private static double rank(
      ManagedRelay relay, boolean isControl, Group zone, Group loadClass, boolean first) {
    // the very first is a quiet relay of the largest zone: it harms least, and others are there to
    // compare it with
    return (isControl ? CONTROL_PENALTY : 0)
        + zone.updated / (double) zone.size
        + LOAD_CLASS_WEIGHT * loadClass.updated / loadClass.size
        + (first ? (relay.busy ? 1 : 0) + 1.0 / zone.size : 0);
  }

  /**
   * The control for an updated relay: of those that serve on the old version and are neither
   * updated nor a control already, the one most like it, by zone first and then by load; null where
   * there is none.
   */
  ManagedRelay chooseControl(Deployment deployment, ManagedRelay updated) {
    Set<Integer> controls = new HashSet<>(deployment.controls.values());
    ManagedRelay best = null;
    for (ManagedRelay relay : fleet.examineAll()) {
      boolean eligible =
          relay.serving()
              && !deployment.updated.contains(relay.number)
              && !controls.contains(relay.number)
              && relay.observedVersion.equals(deployment.fromVersion);
      if (eligible && (best == null || similarity(relay, updated) > similarity(best, updated))) {
        best = relay;
      }
    }
    return best;
  }

  private static int similarity(ManagedRelay one, ManagedRelay other) {
    return (one.zone == other.zone ? 2 : 0) + (one.busy == other.busy ? 1 : 0);
  }
}
