package sprucerock.model;

/**
 * The state of a build's rollout, as the controller announces it. The simulator's protocol encodes
 * the constants by their ordinals.
 */
public enum RolloutState {
  ON_TRIAL,
  GOING_BACK,
  RELEASED,
  WITHDRAWN
}
