package sprucerock.simulation;

/**
 * The input violates the simulator's wire format. The message names the batch, the record and the
 * violation.
 */
public final class FrameException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  FrameException(String message) {
    super(message);
  }
}
