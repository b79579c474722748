package sprucerock.model;

/** How a pick ended. */
public enum AttemptOutcome {
  OK(false),
  ERROR(false),
  FULL(true),
  TIMED_OUT(false),
  NOT_CONNECTED(true),
  BROKEN(false),
  CANCELLED(false),
  MOOT(true);

  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
