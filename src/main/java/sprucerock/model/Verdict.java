package sprucerock.model;

/** What a relay says of a build. */
public enum Verdict {
  NONE,
  ON,
  HOLD,
  BACK
}
