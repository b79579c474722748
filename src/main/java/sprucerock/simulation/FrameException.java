package sprucerock.simulation;

/** Input breaks the simulator's wire format; the message names batch, record and what is wrong. */
public final class FrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  FrameException(String message) {
    super(message);
  }
}
