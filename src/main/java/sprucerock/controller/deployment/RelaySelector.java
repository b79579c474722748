package sprucerock.controller.deployment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Chooses how many relays a stage updates, which relay is next, and which is its control. */
final class RelaySelector {
  /** Ranks controls after all other relays: exceeds any sum of the other rank terms. */
  private static final double CONTROL_PENALTY = 10;

  /**
   * Makes the updated share of a load class decide only between zones with equal updated shares.
   */
  private static final double LOAD_CLASS_WEIGHT = 0.01;

  /** Keeps floating-point errors from rounding a number of relays up. */
  private static final double ROUNDING_SLACK = 1e-9;

  /** Counts the relays of a group and how many of them were updated. */
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

  /** Returns how many relays run the new version at the end of the current stage. */
  int targetSize(Deployment deployment) {
    // Relays that don't serve are skipped, and updated when the deployment completes.
    int updatable = 0;
    for (ManagedRelay relay : fleet.examineAll()) {
      if (deployment.updated.contains(relay.number)
          || relay.serving() && !deployment.rejections.containsKey(relay.number)) {
        updatable++;
      }
    }
    double share = fleet.plan.stages().get(deployment.stage).share();
    return deployment.stage == 0 ? 1 : (int) Math.ceil(share * updatable - ROUNDING_SLACK);
  }

  /**
   * Returns the relay to update next, or null if none may be updated now. Zones with the smallest
   * updated share come first, then busy or quiet relays with the smallest updated share. Controls
   * come last.
   */
  ManagedRelay nextCandidate(Deployment deployment) {
    Map<Integer, Group> zones = new HashMap<>();
    Map<Integer, Group> loadClasses = new HashMap<>();
    for (ManagedRelay relay : fleet.examineAll()) {
      boolean updated = deployment.updated.contains(relay.number);
      zones.computeIfAbsent(relay.zone, zone -> new Group()).add(updated);
      loadClasses.computeIfAbsent(loadClass(relay), loadClass -> new Group()).add(updated);
    }
    Map<Integer, Boolean> hasBudgetByZone = new HashMap<>();
    Set<Integer> controls = new HashSet<>(deployment.controls.values());
    ManagedRelay best = null;
    double bestRank = 0;
    for (ManagedRelay relay : fleet.examineAll()) {
      boolean eligible =
          relay.serving()
              && !deployment.updated.contains(relay.number)
              && !deployment.rejections.containsKey(relay.number);
      if (!eligible || !hasBudgetByZone.computeIfAbsent(relay.zone, budget::available)) {
        continue;
      }
      double rank =
          rank(
              relay,
              controls.contains(relay.number),
              zones.get(relay.zone),
              loadClasses.get(loadClass(relay)),
              deployment.updated.isEmpty());
      if (best == null || rank < bestRank) {
        best = relay;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Returns the group of the busy or the quiet relays of the relay's zone. */
  private static int loadClass(ManagedRelay relay) {
    return 2 * relay.zone + (relay.busy ? 1 : 0);
  }

  /** Ranks a relay; the relay with the lowest rank is updated next. */
  private static double rank(
      ManagedRelay relay, boolean isControl, Group zone, Group loadClass, boolean isFirst) {
    // The first relay is a quiet one of the largest zone: a fault there does the least harm, and
    // the zone has other relays to compare it with.
    return (isControl ? CONTROL_PENALTY : 0)
        + zone.updated / (double) zone.size
        + LOAD_CLASS_WEIGHT * loadClass.updated / loadClass.size
        + (isFirst ? (relay.busy ? 1 : 0) + 1.0 / zone.size : 0);
  }

  /**
   * Returns the control for an updated relay, or null if there is none. Candidates serve on the old
   * version and are neither updated nor a control already; the most similar one is chosen, first by
   * zone, then by load.
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

  private static int similarity(ManagedRelay candidate, ManagedRelay updated) {
    return (candidate.zone == updated.zone ? 2 : 0) + (candidate.busy == updated.busy ? 1 : 0);
  }
}
