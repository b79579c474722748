package sprucerock.controller.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/**
 * The state that {@link DeploymentManager} owns: the relays, the deployments, and what holds for
 * the fleet as a whole. The parts of the manager read it; only the manager changes it.
 */
final class FleetState {
  final DeploymentPlan plan;
  final TreeMap<Integer, ManagedRelay> relays = new TreeMap<>();
  final TreeMap<Long, Deployment> deployments = new TreeMap<>();

  /** Relays of the control group that wait for restart budget to restart on the old version. */
  final List<Integer> pendingControlRestarts = new ArrayList<>();

  /**
   * How many relays of a zone may be out, as the fleet's load allows; a zone that is not in it is
   * bounded by the plan alone.
   */
  final TreeMap<Integer, Integer> restartBudgetByZone = new TreeMap<>();

  /** Sums over the relays; a relay is taken out of them before it changes, and put back after. */
  final FleetStatus status = new FleetStatus();

  Version currentVersion = Version.NONE;

  /** Of the last transition of any deployment; 0 before the first. */
  long sequence;

  /** Of the last deployment; 0 before the first. */
  long lastDeploymentNumber;

  /** Why no relay is updated now, whatever the budget; empty where nothing is in the way. */
  String blockedReason = "";

  /** A build of the endpoints is on trial or going back: relays that judge it don't restart. */
  boolean rolloutInProgress;

  /** Relays looked at so far to find transitions: what the scale tests bound. */
  long entriesExamined;

  FleetState(DeploymentPlan plan) {
    this.plan = plan;
  }

  /** The deployment that relays are moved by now; null where there is none. */
  Deployment active() {
    for (Deployment one : deployments.values()) {
      if (one.state.isActive()) {
        return one;
      }
    }
    return null;
  }

  /** The deployment under validation, or that waits to begin; null where there is none. */
  Deployment pending() {
    for (Deployment one : deployments.values()) {
      if (one.state == State.PROPOSED || one.state == State.CHECKED) {
        return one;
      }
    }
    return null;
  }

  /** All relays, each counted as examined. */
  Collection<ManagedRelay> examineAll() {
    entriesExamined += relays.size();
    return relays.values();
  }

  /** Neither restarts nor updates may begin now, whatever the budget. */
  boolean blocked() {
    return rolloutInProgress || !blockedReason.isEmpty();
  }

  /** A relay is to run a version, from the generation after the last one. */
  void setDesired(ManagedRelay relay, Version version, Timestamp now) {
    boolean first = relay.desiredVersion == null;
    status.remove(relay);
    relay.desiredVersion = version;
    if (!first) {
      relay.generation++;
    }
    relay.notifiedAt = now;
    relay.readyAt = null;
    status.add(relay);
  }

  /** The updated relays of a deployment whose observed state is not the desired one. */
  List<Integer> unreconciled(Deployment deployment) {
    List<Integer> found = new ArrayList<>();
    for (int number : deployment.updated) {
      if (!relays.get(number).reconciled()) {
        found.add(number);
      }
    }
    return found;
  }

  /** Whether the comparison has a control group to compare the updated relays with. */
  boolean compared(Deployment deployment) {
    return deployment.stage < plan.stages().size() - 1 && !deployment.controls.isEmpty();
  }

  /** The version that most serving relays run; {@link Version#NONE} where none is known. */
  Version mostCommonVersion() {
    Map<Version, Integer> counts = new HashMap<>();
    Version found = Version.NONE;
    for (ManagedRelay relay : relays.values()) {
      if (!relay.serving() || relay.observedVersion.equals(Version.NONE)) {
        continue;
      }
      int count = counts.merge(relay.observedVersion, 1, Integer::sum);
      if (count > counts.getOrDefault(found, 0)) {
        found = relay.observedVersion;
      }
    }
    return found;
  }
}
