package sprucerock.transport.http;

/** Bytes that are no answer over HTTP/1.1, or none within the limits. */
public final class HttpException extends Exception {
  private static final long serialVersionUID = 1L;

  public HttpException(String message) {
    super(message, null, false, false);
  }
}
