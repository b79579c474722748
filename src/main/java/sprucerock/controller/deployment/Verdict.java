package sprucerock.controller.deployment;

/** What the comparison says of the new version, stage by stage. */
public enum Verdict {
  NOT_SURE,
  NO_WORSE,
  WORSE
}
