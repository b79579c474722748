package sprucerock.model;

/**
 * A relay's verdict on a canary, which it casts as its vote: none yet, continue, hold at the
 * current stage, or roll back.
 */
public enum Verdict {
  NONE,
  ON,
  HOLD,
  BACK
}
