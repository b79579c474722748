package sprucerock.model;

/** How a pick ended. */
public enum Outcome {
  OK(false),
  ERROR(false),
  FULL(true),
  TIMED_OUT(false),
  NOT_CONNECTED(true),
  BROKEN(false),
  CANCELLED(false),
  MOOT(true);

  public final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
