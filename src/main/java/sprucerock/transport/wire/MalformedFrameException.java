package sprucerock.transport.wire;

/** Thrown for bytes that are not this protocol; the message says what is wrong with them. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
