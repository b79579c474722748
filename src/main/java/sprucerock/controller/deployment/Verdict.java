package sprucerock.controller.deployment;

/** The result of comparing the new version with the old one in a stage. The names are stored. */
public enum Verdict {
  NOT_SURE,
  NO_WORSE,
  WORSE
}
