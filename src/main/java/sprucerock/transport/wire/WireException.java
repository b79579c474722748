package sprucerock.transport.wire;

/** Bytes that are not this protocol; the message says what is wrong with them. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
