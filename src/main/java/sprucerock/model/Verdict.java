package sprucerock.model;

/** A relay's vote on a canary: none yet, go on, hold, or go back. */
public enum Verdict {
  NONE,
  ON,
  HOLD,
  BACK
}
