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
 * The state that the parts of {@link DeploymentManager} share: the relays, the deployments, and the
 * state of the fleet as a whole. The parts that choose transitions, relays and restart budgets only
 * read it, except for {@link #entriesExamined}.
 */
final class FleetState {
  final DeploymentPlan plan;
  final TreeMap<Integer, ManagedRelay> relays = new TreeMap<>();
  final TreeMap<Long, Deployment> deployments = new TreeMap<>();

  /** Control relays that wait for restart budget before they restart on the old version. */
  final List<Integer> pendingControlRestarts = new ArrayList<>();

  /**
   * By zone, how many relays the fleet's load allows to be unavailable. A zone without an entry is
   * limited by the plan alone.
   */
  final TreeMap<Integer, Integer> restartBudgetByZone = new TreeMap<>();

  /** Sums over the relays. A relay is removed before it changes and added again afterwards. */
  final FleetStatus status = new FleetStatus();

  /** The fleet's version outside deployments; {@link Version#NONE} before the first proposal. */
  Version currentVersion = Version.NONE;

  /** The sequence number of the last transition of any deployment; 0 before the first. */
  long sequence;

  /** The number of the last proposed deployment; 0 before the first. */
  long lastDeploymentNumber;

  /** Why no relay may be updated now, whatever the budget; empty if updates are allowed. */
  String blockedReason = "";

  /**
   * Whether a build of the endpoints is on trial or being rolled back. Relays don't restart
   * meanwhile, because they judge the build.
   */
  boolean rolloutInProgress;

  /** How many relays were examined so far to find transitions; the scale tests limit it. */
  long entriesExamined;

  FleetState(DeploymentPlan plan) {
    this.plan = plan;
  }

  /** Returns the deployment that is rolling out, under observation or rolling back, or null. */
  Deployment active() {
    for (Deployment deployment : deployments.values()) {
      if (deployment.state.isActive()) {
        return deployment;
      }
    }
    return null;
  }

  /** Returns the deployment that is under validation or waits to begin, or null. */
  Deployment pending() {
    for (Deployment deployment : deployments.values()) {
      if (deployment.state == State.PROPOSED || deployment.state == State.CHECKED) {
        return deployment;
      }
    }
    return null;
  }

  /** Returns all relays and counts each as examined. */
  Collection<ManagedRelay> examineAll() {
    entriesExamined += relays.size();
    return relays.values();
  }

  /** Returns whether no restart or update may begin now, whatever the budget. */
  boolean blocked() {
    return rolloutInProgress || !blockedReason.isEmpty();
  }

  /**
   * Sets a relay's desired version under a new generation. The relay's first desired version has
   * generation 0.
   */
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

  /** Returns the updated relays of a deployment whose observed state is not the desired state. */
  List<Integer> unreconciled(Deployment deployment) {
    List<Integer> unreconciled = new ArrayList<>();
    for (int number : deployment.updated) {
      if (!relays.get(number).reconciled()) {
        unreconciled.add(number);
      }
    }
    return unreconciled;
  }

  /**
   * Returns whether the updated relays are compared with a control group. In the last stage they
   * are not, because all relays are updated.
   */
  boolean compared(Deployment deployment) {
    return deployment.stage < plan.stages().size() - 1 && !deployment.controls.isEmpty();
  }

  /** Returns the version that most serving relays run; {@link Version#NONE} if none is known. */
  Version mostCommonVersion() {
    Map<Version, Integer> counts = new HashMap<>();
    Version mostCommon = Version.NONE;
    for (ManagedRelay relay : relays.values()) {
      if (!relay.serving() || relay.observedVersion.equals(Version.NONE)) {
        continue;
      }
      int count = counts.merge(relay.observedVersion, 1, Integer::sum);
      if (count > counts.getOrDefault(mostCommon, 0)) {
        mostCommon = relay.observedVersion;
      }
    }
    return mostCommon;
  }
}
