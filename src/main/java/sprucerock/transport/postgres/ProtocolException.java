package sprucerock.transport.postgres;

/** Bytes that are not the protocol; the message says what and why in one line. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public ProtocolException(String message) {
    super(message, null, false, false); // hostile peers can ask for many: no stack is kept
  }
}
