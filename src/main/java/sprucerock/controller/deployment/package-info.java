/**
 * Deployments: how a fleet of relays moves from one version (program and settings) to another.
 *
 * <p>{@link sprucerock.controller.deployment.DeploymentManager} is a reconcile loop. Agents report
 * the observed state of their relays, the comparison reports verdicts, and operators give commands.
 * The manager keeps a desired state (a version and a generation) for each relay until the observed
 * state equals it. {@code TransitionPlanner} chooses the next transition as a pure function of
 * {@code FleetState} and the time; {@code Reconciler} applies it.
 *
 * <p>The package owns the relays' desired state and the deployments with their history. It does no
 * I/O, reads no clock and starts no thread: the same calls with the same times give the same state,
 * so replaying the log restores it. All objects belong to the controller's single thread.
 */
package sprucerock.controller.deployment;
