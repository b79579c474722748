package sprucerock.transport.postgres;

/**
 * Bytes that violate the protocol or exceed its limits; the message says what and why in one line.
 * It has no stack trace, because hostile peers can cause many of them.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * An exception without cause, suppression or stack trace.
   *
   * @param message what is wrong, in one line
   */
  public ProtocolException(String message) {
    super(message, null, false, false);
  }
}
