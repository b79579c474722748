package sprucerock.model;

/** Where a build stands with the release desk. */
public enum RolloutState {
  ON_TRIAL,
  GOING_BACK,
  RELEASED,
  WITHDRAWN
}
