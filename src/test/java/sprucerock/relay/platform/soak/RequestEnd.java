package sprucerock.relay.platform.soak;

/**
 * How a usual client's request ended.
 *
 * @param fresh it was the first one on its connection
 * @param sentNanos when its last byte was written, by {@link System#nanoTime}
 * @param endedNanos when the answer's last byte came, or the client stopped waiting
 */
record RequestEnd(
    String id,
    RequestClass requestClass,
    Kind kind,
    boolean fresh,
    long sentNanos,
    long endedNanos,
    int deadlineMs,
    String detail) {
  /** What the client saw. */
  enum Kind {
    SERVED,
    /** Served with a value that was not made for it. */
    WRONG_VALUE,
    REFUSED,
    FAILED,
    /** The relay had read it, and closed the connection without an answer. */
    READ_AND_CLOSED,
    /** The connection closed without an answer, and the request was not read. */
    CLOSED,
    /** The connection broke without an answer. */
    RESET,
    /** Nothing came in its time. */
    SILENT,
    /** The client closed its connection while the request was open. */
    LEFT
  }

  /** A final answer, of any kind. */
  boolean isAnswered() {
    return kind == Kind.SERVED || kind == Kind.REFUSED || kind == Kind.FAILED;
  }

  /** The connection ended under it. */
  boolean isClosed() {
    return kind == Kind.READ_AND_CLOSED || kind == Kind.CLOSED || kind == Kind.RESET;
  }
}
