package sprucerock.transport.http;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Parses pipelined responses: status line and headers, then a body by length or in chunks. Interim
 * responses (1xx) are skipped. Not thread-safe.
 */
final class ResponseParser {
  /** Receives the parts of each response in order; what it throws ends the parsing. */
  interface Listener {
    /** Status line and headers are complete. */
    void head(int status) throws HttpException;

    /** A piece of the body; the buffer is valid during the call only. */
    void body(ByteBuffer piece) throws HttpException;

    /** The response is complete. */
    void end() throws HttpException;
  }

  private enum State {
    STATUS,
    HEADERS,
    LENGTH_BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( .*)?");
  private static final Pattern CHUNK_SIZE_HEX = Pattern.compile("[0-9a-fA-F]{1,7}");
  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,9}");
  private static final int STATUS_START = 9;
  private static final int STATUS_END = 12;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MAX_LINE_BYTES = 4096;

  /** Headers and trailers together. */
  private static final int MAX_HEADERS = 64;

  private static final long NO_LENGTH = -1;

  private final LineReader lines = new LineReader(MAX_LINE_BYTES);
  private State state = State.STATUS;
  private int status;
  private int headers;
  private long remaining; // bytes of the body or chunk
  private boolean chunked;

  /**
   * Consumes all bytes and passes on what they complete.
   *
   * @throws HttpException if they can't be a response, or the listener threw it; the parser must
   *     not be fed after that
   */
  void feed(ByteBuffer in, Listener listener) throws HttpException {
    while (in.hasRemaining()) {
      if (state == State.LENGTH_BODY || state == State.CHUNK) {
        readBody(in, listener);
        continue;
      }
      String line = lines.nextLine(in);
      if (line != null) {
        parseLine(line, listener);
      }
    }
  }

  private void readBody(ByteBuffer in, Listener listener) throws HttpException {
    int count = (int) Math.min(remaining, in.remaining());
    ByteBuffer piece = in.slice(in.position(), count);
    in.position(in.position() + count);
    remaining -= count;
    listener.body(piece);
    if (remaining == 0 && state == State.LENGTH_BODY) {
      end(listener);
    } else if (remaining == 0) {
      state = State.CHUNK_END;
    }
  }

  private void parseLine(String line, Listener listener) throws HttpException {
    switch (state) {
      case STATUS -> parseStatus(line);
      case HEADERS -> {
        if (line.isEmpty()) {
          beginBody(listener);
        } else {
          parseHeader(line);
        }
      }
      case CHUNK_SIZE -> parseChunkSize(line);
      case CHUNK_END -> {
        if (!line.isEmpty()) {
          throw new HttpException("a chunk that is longer than it says");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILERS -> {
        if (++headers > MAX_HEADERS) {
          throw new HttpException("too many trailers");
        }
        if (line.isEmpty()) {
          end(listener);
        }
      }
      default -> throw new AssertionError("bodies have no lines");
    }
  }

  private void parseStatus(String line) throws HttpException {
    if (!STATUS_LINE.matcher(line).matches()) {
      throw new HttpException("no status line");
    }
    status = Integer.parseInt(line.substring(STATUS_START, STATUS_END));
    headers = 0;
    remaining = NO_LENGTH;
    chunked = false;
    state = State.HEADERS;
  }

  private void parseHeader(String line) throws HttpException {
    int colon = line.indexOf(':');
    if (colon <= 0 || ++headers > MAX_HEADERS) {
      throw new HttpException("a header that can't be read");
    }
    String value = line.substring(colon + 1).trim();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "content-length" -> {
        if (!CONTENT_LENGTH.matcher(value).matches()) {
          throw new HttpException("a length that is no number");
        }
        remaining = Long.parseLong(value);
      }
      case "transfer-encoding" -> {
        if (!value.equalsIgnoreCase("chunked")) {
          throw new HttpException("a transfer encoding that is not known");
        }
        chunked = true;
      }
      default -> {} // no other header changes how the response is read
    }
  }

  private void parseChunkSize(String line) throws HttpException {
    String size = line.split(";", 2)[0].trim();
    if (!CHUNK_SIZE_HEX.matcher(size).matches()) {
      throw new HttpException("a chunk without a size");
    }
    remaining = Long.parseLong(size, 16);
    state = remaining == 0 ? State.TRAILERS : State.CHUNK;
  }

  private void beginBody(Listener listener) throws HttpException {
    if (status / 100 == 1) {
      state = State.STATUS; // an interim response: the final one follows
      return;
    }
    listener.head(status);
    if (chunked) {
      state = State.CHUNK_SIZE;
    } else if (remaining > 0) {
      state = State.LENGTH_BODY;
    } else if (remaining == 0 || status == NO_CONTENT || status == NOT_MODIFIED) {
      end(listener);
    } else {
      throw new HttpException("a body without a length");
    }
  }

  private void end(Listener listener) throws HttpException {
    state = State.STATUS;
    listener.end();
  }
}
