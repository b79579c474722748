package sprucerock.simulation;

/** Input that is not the wire; the message names batch, record and what is wrong. */
public final class FrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  FrameException(String message) {
    super(message);
  }
}
