package sprucerock.relay.engine;

/** What a client is told at the end. */
public enum RequestOutcome {
  OK,
  REJECTED,
  ABORTED
}
