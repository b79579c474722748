package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;

/**
 * The transition to apply next. {@link TransitionPlanner} chooses it and {@link Reconciler} applies
 * it. Each transition removes the condition that made it due, so reconciling terminates.
 */
sealed interface NextTransition {
  /** Records when a relay reached its desired state. */
  record MarkReady(ManagedRelay relay) implements NextTransition {}

  /** Moves a deployment to a state and a stage. */
  record ChangeState(Deployment deployment, State state, int stage, String cause)
      implements NextTransition {}

  /** Starts rolling a deployment back. */
  record RollBack(Deployment deployment, String cause) implements NextTransition {}

  /** Restarts a relay of the control group on the version that it runs. */
  record RestartControl(ManagedRelay relay) implements NextTransition {}

  /** Cancels the pending restart of a relay of the control group, because it is unreachable. */
  record SkipControl(int number) implements NextTransition {}

  /** Updates a relay to the new version. */
  record Update(Deployment deployment, ManagedRelay relay) implements NextTransition {}

  /** Returns a relay to the old version. */
  record Revert(Deployment deployment, ManagedRelay relay) implements NextTransition {}

  /** Completes a deployment: its version becomes the fleet's version. */
  record Complete(Deployment deployment, String cause) implements NextTransition {}
}
