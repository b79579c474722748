package sprucerock.lab.slope;

/**
 * A text that can't be used; the message is one line: where in the text, what is wrong, what to do.
 */
public final class BadTextException extends Exception {
  private static final long serialVersionUID = 1L;

  public BadTextException(String message) {
    super(message);
  }
}
