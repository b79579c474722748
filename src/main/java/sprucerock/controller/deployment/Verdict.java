package sprucerock.controller.deployment;

/** What the comparison says of the new version in a stage. The names are stored. */
public enum Verdict {
  NOT_SURE,
  NO_WORSE,
  WORSE
}
