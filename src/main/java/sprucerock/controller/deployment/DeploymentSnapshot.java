package sprucerock.controller.deployment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import sprucerock.time.Timestamp;

/** The complete state of a {@link DeploymentManager} as plain values, to be stored and restored. */
public record DeploymentSnapshot(
    Version currentVersion,
    long sequence,
    long lastDeploymentNumber,
    String blockedReason,
    boolean rolloutInProgress,
    Map<Integer, Integer> restartBudgetByZone,
    List<Integer> pendingControlRestarts,
    List<RelayRecord> relays,
    List<DeploymentRecord> deployments) {
  /**
   * The state of a {@link ManagedRelay}.
   *
   * @param unreachableSince null while the relay is reachable
   * @param desiredVersion null before the first desired state
   * @param notifiedAt null before the first desired state
   * @param readyAt null until the relay is reconciled
   */
  public record RelayRecord(
      int number,
      int zone,
      boolean busy,
      Version observedVersion,
      boolean ready,
      Timestamp unreachableSince,
      Version desiredVersion,
      int generation,
      int observedGeneration,
      Timestamp notifiedAt,
      Timestamp readyAt) {}

  /** The state of a {@link Deployment}. */
  public record DeploymentRecord(
      long number,
      String proposedBy,
      String reason,
      Version fromVersion,
      Version toVersion,
      boolean hotReload,
      Deployment.State state,
      int stage,
      Timestamp stateSince,
      Timestamp lastProgress,
      boolean held,
      Collection<Integer> validated,
      Map<Integer, String> rejections,
      Collection<Integer> updated,
      Map<Integer, Integer> controls,
      Verdict verdict,
      List<Deployment.Transition> transitions) {}

  /** Captures the current state of a manager. */
  public static DeploymentSnapshot of(DeploymentManager manager) {
    return new DeploymentSnapshot(
        manager.fleet.currentVersion,
        manager.fleet.sequence,
        manager.fleet.lastDeploymentNumber,
        manager.fleet.blockedReason,
        manager.fleet.rolloutInProgress,
        Map.copyOf(manager.fleet.restartBudgetByZone),
        List.copyOf(manager.fleet.pendingControlRestarts),
        manager.fleet.relays.values().stream()
            .map(
                relay ->
                    new RelayRecord(
                        relay.number,
                        relay.zone,
                        relay.busy,
                        relay.observedVersion,
                        relay.ready,
                        relay.unreachableSince,
                        relay.desiredVersion,
                        relay.generation,
                        relay.observedGeneration,
                        relay.notifiedAt,
                        relay.readyAt))
            .toList(),
        manager.fleet.deployments.values().stream()
            .map(
                deployment ->
                    new DeploymentRecord(
                        deployment.number,
                        deployment.proposedBy,
                        deployment.reason,
                        deployment.fromVersion,
                        deployment.toVersion,
                        deployment.hotReload,
                        deployment.state,
                        deployment.stage,
                        deployment.stateSince,
                        deployment.lastProgress,
                        deployment.held,
                        deployment.validated,
                        deployment.rejections,
                        deployment.updated,
                        deployment.controls,
                        deployment.verdict,
                        deployment.transitions()))
            .toList());
  }

  /** Restores the state into a manager that has received no input yet. */
  public void restore(DeploymentManager manager) {
    manager.fleet.currentVersion = currentVersion;
    manager.fleet.sequence = sequence;
    manager.fleet.lastDeploymentNumber = lastDeploymentNumber;
    manager.fleet.blockedReason = blockedReason;
    manager.fleet.rolloutInProgress = rolloutInProgress;
    manager.fleet.restartBudgetByZone.putAll(restartBudgetByZone);
    manager.fleet.pendingControlRestarts.addAll(pendingControlRestarts);
    for (RelayRecord stored : relays) {
      ManagedRelay relay = new ManagedRelay(stored.number);
      relay.zone = stored.zone;
      relay.busy = stored.busy;
      relay.observedVersion = stored.observedVersion;
      relay.ready = stored.ready;
      relay.unreachableSince = stored.unreachableSince;
      relay.desiredVersion = stored.desiredVersion;
      relay.generation = stored.generation;
      relay.observedGeneration = stored.observedGeneration;
      relay.notifiedAt = stored.notifiedAt;
      relay.readyAt = stored.readyAt;
      manager.fleet.relays.put(stored.number, relay);
    }
    for (DeploymentRecord stored : deployments) {
      Deployment deployment =
          new Deployment(
              stored.number,
              stored.proposedBy,
              stored.reason,
              stored.fromVersion,
              stored.toVersion,
              stored.hotReload,
              stored.stateSince);
      deployment.state = stored.state;
      deployment.stage = stored.stage;
      deployment.lastProgress = stored.lastProgress;
      deployment.held = stored.held;
      deployment.validated.addAll(stored.validated);
      deployment.rejections.putAll(stored.rejections);
      deployment.updated.addAll(stored.updated);
      deployment.controls.putAll(stored.controls);
      deployment.verdict = stored.verdict;
      stored.transitions.forEach(deployment::add);
      manager.fleet.deployments.put(stored.number, deployment);
    }
    manager.restored();
  }
}
