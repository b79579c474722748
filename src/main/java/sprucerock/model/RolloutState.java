package sprucerock.model;

/**
 * The state of a build's rollout, as the controller announces it. The simulator's protocol encodes
 * the constants by their ordinals.
 */
public enum RolloutState {
  /** The build is a canary whose exposure grows by stages. */
  ON_TRIAL,

  /** The build is being rolled back. */
  GOING_BACK,

  /** The build passed its trial and serves as the baseline. */
  RELEASED,

  /** The rollback has ended, or the build was withdrawn otherwise. */
  WITHDRAWN
}
