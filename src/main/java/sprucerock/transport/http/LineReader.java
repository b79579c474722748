package sprucerock.transport.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a byte stream into lines of bounded length, ended by LF or CR LF, and decodes them as UTF-8.
 * It buffers at most one incomplete line. Not thread-safe.
 */
public final class LineReader {
  /** Receives complete lines. */
  public interface Listener {
    /**
     * A line has arrived.
     *
     * @param line the line without its end
     * @throws HttpException if the listener finds the line invalid; {@link #feed} passes it on
     */
    void onLine(String line) throws HttpException;
  }

  private static final int INITIAL_BUFFER_BYTES = 128;

  private final int maxLineBytes;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int buffered;

  /**
   * A reader at the beginning of a stream.
   *
   * @param maxLineBytes the longest line accepted, without its LF
   */
  public LineReader(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /**
   * Consumes bytes up to the end of the next line.
   *
   * @return the line without its end; null if all bytes were consumed and the line is incomplete
   * @throws HttpException if the line exceeds its limit
   */
  public String nextLine(ByteBuffer in) throws HttpException {
    while (in.hasRemaining()) {
      byte next = in.get();
      if (next == '\n') {
        int end = buffered > 0 && buffer[buffered - 1] == '\r' ? buffered - 1 : buffered;
        buffered = 0;
        return new String(buffer, 0, end, StandardCharsets.UTF_8);
      }
      if (buffered == maxLineBytes) {
        throw new HttpException("a line of more than " + maxLineBytes + " bytes");
      }
      if (buffered == buffer.length) {
        buffer = Arrays.copyOf(buffer, Math.min(2 * buffered, maxLineBytes));
      }
      buffer[buffered++] = next;
    }
    return null;
  }

  /**
   * Consumes all bytes and passes on each line that they complete.
   *
   * @throws HttpException if a line exceeds its limit, or the listener threw it
   */
  public void feed(ByteBuffer in, Listener listener) throws HttpException {
    for (String line = nextLine(in); line != null; line = nextLine(in)) {
      listener.onLine(line);
    }
  }
}
