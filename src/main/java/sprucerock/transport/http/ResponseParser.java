package sprucerock.transport.http;

import java.nio.ByteBuffer;
import java.util.Locale;

/** Reads answers one behind the other: heads, then bodies by length or in chunks. */
final class ResponseParser {
  /** Who is told of an answer as it comes. */
  interface Listener {
    void head(int status) throws HttpException;

    void body(ByteBuffer piece) throws HttpException;

    void end() throws HttpException;
  }

  private enum At {
    STATUS,
    HEADERS,
    LENGTH,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private static final int LINE = 4096;
  private static final int HEADERS = 64;

  private final LineReader lines = new LineReader(LINE);
  private At at = At.STATUS;
  private int status;
  private int headers;
  private long left;
  private boolean chunked;

  /** Whether an answer has begun and is not whole. */
  boolean within() {
    return at != At.STATUS;
  }

  /**
   * @throws HttpException if it can't be an answer; nothing may be taken after that
   */
  void take(ByteBuffer in, Listener user) throws HttpException {
    while (in.hasRemaining()) {
      if (at == At.LENGTH || at == At.CHUNK) {
        int count = (int) Math.min(left, in.remaining());
        ByteBuffer piece = in.slice(in.position(), count);
        in.position(in.position() + count);
        left -= count;
        user.body(piece);
        if (left == 0 && at == At.LENGTH) {
          end(user);
        } else if (left == 0) {
          at = At.CHUNK_END;
        }
        continue;
      }
      String line = lines.nextLine(in);
      if (line != null) {
        line(line, user);
      }
    }
  }

  private void line(String line, Listener user) throws HttpException {
    switch (at) {
      case STATUS -> {
        if (!line.matches("HTTP/1\\.[01] [1-5][0-9]{2}( .*)?")) {
          throw new HttpException("no status line");
        }
        status = Integer.parseInt(line.substring(9, 12));
        headers = 0;
        left = -1;
        chunked = false;
        at = At.HEADERS;
      }
      case HEADERS -> {
        if (line.isEmpty()) {
          body(user);
        } else {
          header(line);
        }
      }
      case CHUNK_SIZE -> {
        String size = line.split(";", 2)[0].trim();
        if (!size.matches("[0-9a-fA-F]{1,7}")) {
          throw new HttpException("a chunk without a size");
        }
        left = Long.parseLong(size, 16);
        at = left == 0 ? At.TRAILERS : At.CHUNK;
      }
      case CHUNK_END -> {
        if (!line.isEmpty()) {
          throw new HttpException("a chunk that is longer than it says");
        }
        at = At.CHUNK_SIZE;
      }
      default -> { // trailers
        if (++headers > HEADERS) {
          throw new HttpException("too many trailers");
        }
        if (line.isEmpty()) {
          end(user);
        }
      }
    }
  }

  private void header(String line) throws HttpException {
    int colon = line.indexOf(':');
    if (colon <= 0 || ++headers > HEADERS) {
      throw new HttpException("a header that can't be read");
    }
    String value = line.substring(colon + 1).trim();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "content-length" -> {
        if (!value.matches("[0-9]{1,9}")) {
          throw new HttpException("a length that is no number");
        }
        left = Long.parseLong(value);
      }
      case "transfer-encoding" -> {
        if (!value.equalsIgnoreCase("chunked")) {
          throw new HttpException("a transfer encoding that is not known");
        }
        chunked = true;
      }
      default -> {}
    }
  }

  private void body(Listener user) throws HttpException {
    if (status / 100 == 1) { // others come before the answer
      at = At.STATUS;
      return;
    }
    user.head(status);
    if (chunked) {
      at = At.CHUNK_SIZE;
    } else if (left > 0) {
      at = At.LENGTH;
    } else if (left == 0 || status == 204 || status == 304) {
      end(user);
    } else {
      throw new HttpException("a body without a length");
    }
  }

  private void end(Listener user) throws HttpException {
    at = At.STATUS;
    user.end();
  }
}
