package sprucerock.model;

/**
 * Where a build stands in its rollout, as the controller announces it. The simulator's wire has the
 * constants by their order.
 */
public enum RolloutState {
  ON_TRIAL,
  GOING_BACK,
  RELEASED,
  WITHDRAWN
}
