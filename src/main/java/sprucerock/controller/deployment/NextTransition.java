package sprucerock.controller.deployment;

import sprucerock.controller.deployment.Deployment.State;

/**
 * The one thing that reconciling does next. {@link TransitionPlanner} chooses it, {@link
 * DeploymentManager} applies it; each takes its own reason away, so that reconciling ends.
 */
sealed interface NextTransition {
  /** A relay runs what it is to run: the time is noted. */
  record MarkReady(ManagedRelay relay) implements NextTransition {}

  /** A deployment goes to a state and a stage. */
  record ChangeState(Deployment deployment, State state, int stage, String cause)
      implements NextTransition {}

  /** A deployment is taken back. */
  record RollBack(Deployment deployment, String cause) implements NextTransition {}

  /** A relay of the control group restarts on the version that it runs. */
  record RestartControl(ManagedRelay relay) implements NextTransition {}

  /** A relay of the control group is unreachable, so its restart is not waited for. */
  record SkipControl(int number) implements NextTransition {}

  /** A relay is to run the new version. */
  record Update(Deployment deployment, ManagedRelay relay) implements NextTransition {}

  /** A relay is to run the old version again. */
  record Revert(Deployment deployment, ManagedRelay relay) implements NextTransition {}

  /** The new version is the fleet's. */
  record Complete(Deployment deployment, String cause) implements NextTransition {}
}
