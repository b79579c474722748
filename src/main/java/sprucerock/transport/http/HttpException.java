package sprucerock.transport.http;

/**
 * Bytes that are no response over HTTP/1.1, or none within the limits. It has no stack trace,
 * because a faulty server can cause many of them.
 */
public final class HttpException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * An exception without cause, suppression or stack trace.
   *
   * @param message what is wrong, in one line
   */
  public HttpException(String message) {
    super(message, null, false, false);
  }
}
