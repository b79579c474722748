/**
 * Deployments: how a fleet of relays moves from one version (program and settings) to another.
 *
 * <p>{@link sprucerock.controller.deployment.DeploymentManager} is a reconcile loop. Agents report
 * the observed state of their relays, operators and the comparison say what should become of a
 * deployment, and the manager keeps a desired state (a version and a generation) for each relay
 * until observed and desired state agree. {@code TransitionPlanner} chooses the next transition as
 * a pure function of {@code FleetState}; only the manager applies it.
 *
 * <p>The package owns the relays' desired state and the deployments with their history. It does no
 * I/O, reads no clock and starts no thread: the same calls with the same times give the same state,
 * which is how the state comes back when the log is replayed. All of it belongs to the controller's
 * one thread.
 */
package sprucerock.controller.deployment;
