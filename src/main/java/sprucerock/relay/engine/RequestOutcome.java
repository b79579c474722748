package sprucerock.relay.engine;

/** The final answer that a client gets to a request. */
public enum RequestOutcome {
  /** An attempt succeeded; the answer carries its body. */
  OK,
  /** Not executed: the client may retry, after the time that the answer states. */
  REJECTED,
  /** Nothing is known of its execution: only an idempotent request may be retried. */
  ABORTED
}
