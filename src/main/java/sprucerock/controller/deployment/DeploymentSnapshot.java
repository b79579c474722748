package sprucerock.controller.deployment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * The state of a {@link DeploymentManager} as plain values, to be stored and restored: what is not
 * in it is not needed to go on.
 */
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
   * One relay.
   *
   * @param silentSince null while it is heard; {@code toldAt}, {@code readyAt}, {@code wanted}:
   *     null where there is none
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

  /** One deployment. */
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

  /** The state of a manager now. */
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
                one ->
                    new RelayRecord(
                        one.number,
                        one.zone,
                        one.busy,
                        one.observedVersion,
                        one.ready,
                        one.unreachableSince,
                        one.desiredVersion,
                        one.generation,
                        one.observedGeneration,
                        one.notifiedAt,
                        one.readyAt))
            .toList(),
        manager.fleet.deployments.values().stream()
            .map(
                one ->
                    new DeploymentRecord(
                        one.number,
                        one.proposedBy,
                        one.reason,
                        one.fromVersion,
                        one.toVersion,
                        one.hotReload,
                        one.state,
                        one.stage,
                        one.stateSince,
                        one.lastProgress,
                        one.held,
                        one.validated,
                        one.rejections,
                        one.updated,
                        one.controls,
                        one.verdict,
                        one.transitions()))
            .toList());
  }

  /** Restores it into a manager that has seen nothing yet. */
  public void restore(DeploymentManager manager) {
    manager.fleet.currentVersion = currentVersion;
    manager.fleet.sequence = sequence;
    manager.fleet.lastDeploymentNumber = lastDeploymentNumber;
    manager.fleet.blockedReason = blockedReason;
    manager.fleet.rolloutInProgress = rolloutInProgress;
    manager.fleet.restartBudgetByZone.putAll(restartBudgetByZone);
    manager.fleet.pendingControlRestarts.addAll(pendingControlRestarts);
    for (RelayRecord one : relays) {
      ManagedRelay relay = new ManagedRelay(one.number);
      relay.zone = one.zone;
      relay.busy = one.busy;
      relay.observedVersion = one.observedVersion;
      relay.ready = one.ready;
      relay.unreachableSince = one.unreachableSince;
      relay.desiredVersion = one.desiredVersion;
      relay.generation = one.generation;
      relay.observedGeneration = one.observedGeneration;
      relay.notifiedAt = one.notifiedAt;
      relay.readyAt = one.readyAt;
      manager.fleet.relays.put(one.number, relay);
    }
    for (DeploymentRecord one : deployments) {
      Deployment deployment =
          new Deployment(
              one.number,
              one.proposedBy,
              one.reason,
              one.fromVersion,
              one.toVersion,
              one.hotReload,
              one.stateSince);
      deployment.state = one.state;
      deployment.stage = one.stage;
      deployment.lastProgress = one.lastProgress;
      deployment.held = one.held;
      deployment.validated.addAll(one.validated);
      deployment.rejections.putAll(one.rejections);
      deployment.updated.addAll(one.updated);
      deployment.controls.putAll(one.controls);
      deployment.verdict = one.verdict;
      one.transitions.forEach(deployment::add);
      manager.fleet.deployments.put(one.number, deployment);
    }
    manager.restored();
  }
}
