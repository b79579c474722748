package sprucerock.controller.deployment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * All of a fleet's changes as plain values, to be kept and put back: what is not in it is not
 * needed to go on.
 */
public record DeploymentSnapshot(
    Version currentVersion,
    long sequence,
    long lastNumber,
    String blockedReason,
    boolean rolloutInProgress,
    Map<Integer, Integer> restartBudgetByZone,
    List<Integer> pendingControlRestarts,
    List<RelayRecord> relays,
    List<DeploymentRecord> deployments) {
  /**
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

  /** What there is now. */
  public static DeploymentSnapshot of(DeploymentManager all) {
    return new DeploymentSnapshot(
        all.currentVersion,
        all.sequence,
        all.lastNumber,
        all.blockedReason,
        all.rolloutInProgress,
        Map.copyOf(all.restartBudgetByZone),
        List.copyOf(all.pendingControlRestarts),
        all.relays.values().stream()
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
        all.deploymentsByNumber.values().stream()
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

  /** Puts it back into one that has seen nothing yet. */
  public void restore(DeploymentManager all) {
    all.currentVersion = currentVersion;
    all.sequence = sequence;
    all.lastNumber = lastNumber;
    all.blockedReason = blockedReason;
    all.rolloutInProgress = rolloutInProgress;
    all.restartBudgetByZone.putAll(restartBudgetByZone);
    all.pendingControlRestarts.addAll(pendingControlRestarts);
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
      all.relays.put(one.number, relay);
    }
    for (DeploymentRecord one : deployments) {
      Deployment change =
          new Deployment(
              one.number,
              one.proposedBy,
              one.reason,
              one.fromVersion,
              one.toVersion,
              one.hotReload,
              one.stateSince);
      change.state = one.state;
      change.stage = one.stage;
      change.lastProgress = one.lastProgress;
      change.held = one.held;
      change.validated.addAll(one.validated);
      change.rejections.putAll(one.rejections);
      change.updated.addAll(one.updated);
      change.controls.putAll(one.controls);
      change.verdict = one.verdict;
      one.transitions.forEach(change::add);
      all.deploymentsByNumber.put(one.number, change);
    }
    all.restored();
  }
}
